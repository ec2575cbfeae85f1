"""Implementation of the `samphirectl` commands."""
