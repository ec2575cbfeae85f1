"""Replicated logs: consensus, storage, and the state machines that run on them."""
