"""Identifiers of things that the document names."""

from typing import NewType

SectionName = NewType("SectionName", str)
ServiceName = NewType("ServiceName", str)
TeamName = NewType("TeamName", str)
WorkspaceId = NewType("WorkspaceId", str)
"""The unit of callers that limits, routes and ledger shards are set for."""

NO_WORKSPACE = WorkspaceId("")
"""Stands for a request that names none."""

DocumentVersion = NewType("DocumentVersion", int)
SectionVersion = NewType("SectionVersion", int)
ChangeId = NewType("ChangeId", str)
"""Chosen by the operator's client; a resend of the same change carries the same id."""

Revision = NewType("Revision", int)
"""Number that an operator gives to a document which it submits as a whole; 0 stands before all."""

Generation = NewType("Generation", int)
"""Founding of a group of control hosts, in nanoseconds of wall time; a later founding is higher."""
