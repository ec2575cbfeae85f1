"""Replay of recorded traces through the detection and ejection of unhealthy targets."""
