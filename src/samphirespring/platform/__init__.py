"""Adapter that translates the platform's headers, calls and settings into the project's types."""
