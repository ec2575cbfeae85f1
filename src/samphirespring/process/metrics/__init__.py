"""Counters, gauges and timings of a process, and how they are exported."""
