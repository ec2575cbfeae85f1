"""Benchmarks of the repository; `scripts/bench` runs them.

Each module has a function `measure` that returns a list of `Figure`. The features check
deterministic bounds on counts and virtual time. The figures here depend on the computer: they are
printed with a baseline from the same run and aren't bounds.
"""
