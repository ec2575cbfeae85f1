"""Permissions of a host to run requests with API keys."""
