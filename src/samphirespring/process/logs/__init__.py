"""Structured log lines of a process."""
