"""The event loop of a process, and the watch on how much it waits."""
