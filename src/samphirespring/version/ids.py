"""Identifiers used in the document."""

from typing import NewType

SectionName = NewType("SectionName", str)
ServiceName = NewType("ServiceName", str)
TeamName = NewType("TeamName", str)
WorkspaceId = NewType("WorkspaceId", str)
"""Customer that a request belongs to; limits and ledger shards are assigned by workspace."""

NO_WORKSPACE = WorkspaceId("")
"""Workspace of a request that names none."""

ApiKeyDigest = NewType("ApiKeyDigest", str)
"""SHA-256 of an API key, in lower-case hexadecimal; the document holds no key itself."""

DocumentVersion = NewType("DocumentVersion", int)
SectionVersion = NewType("SectionVersion", int)
ApiKeyFingerprint = NewType("ApiKeyFingerprint", bytes)
"""First bytes of the SHA-256 of an API key, by which processes of the fleet name the key."""

ChangeId = NewType("ChangeId", str)
"""Id that the operator's client gives to a change; a resend of the change carries the same id."""

Revision = NewType("Revision", int)
"""Number that an operator gives to a document submitted as a whole; 0 precedes all revisions."""

Generation = NewType("Generation", int)
"""Wall-clock time at which a group of control hosts was initialized, in nanoseconds.

A group that is initialized again has a higher generation.
"""
