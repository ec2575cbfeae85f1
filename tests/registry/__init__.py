"""Simulations for the registry's tests."""
