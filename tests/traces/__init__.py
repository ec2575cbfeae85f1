"""Traces generated from fixed seeds, and baseline detectors for comparison."""
