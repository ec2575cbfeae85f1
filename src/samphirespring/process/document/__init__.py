"""The document of a process: the replicated state, its followers and its file."""
