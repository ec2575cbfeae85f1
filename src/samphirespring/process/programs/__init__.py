"""Entry points of the programs; each composes the tasks of one process."""
