"""Outlier detection: finds unhealthy targets from live responses and ejects them above a floor."""
