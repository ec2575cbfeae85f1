"""Simulations and fakes for the action ledger's tests."""
