"""The agent of one host: its targets, their slots and their announcements."""
