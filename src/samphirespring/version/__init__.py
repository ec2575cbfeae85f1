"""State of one version of the document: its sections, validated content and compiled routes."""
