"""Adapter to the platform: its headers, calls and settings in the project's terms."""
