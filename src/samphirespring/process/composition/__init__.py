"""Composition of the tasks of one process, a node or a control host, and the adapters it takes.

Nothing here parses command lines: the programs under `process/programs` and `platform` do.
"""
