"""Fakes around the front and the agent, run in virtual time."""
