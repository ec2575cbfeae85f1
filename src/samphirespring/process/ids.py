"""Identifiers with the life span of a process, a host or a replica."""

from typing import NewType

RegionName = NewType("RegionName", str)
FailureDomainName = NewType("FailureDomainName", str)
HostId = NewType("HostId", str)
TargetId = NewType("TargetId", str)
"""One address of one backend server on a host, unique in the fleet."""

WorkKind = NewType("WorkKind", str)
"""Requests that are expected to cost a service about the same work."""

Incarnation = NewType("Incarnation", int)
"""Start of an agent process, in nanoseconds of wall time; a later start has a higher number."""

ReplicaId = NewType("ReplicaId", str)
GroupId = NewType("GroupId", str)
"""One replicated log, with its own replicas."""

MemberId = NewType("MemberId", str)
"""One data folder of a replica; a replica that restarts with an empty folder is a new member."""

GroupLineage = NewType("GroupLineage", str)
"""Identifies one formation of a group; messages of another formation are dropped."""

PersistToken = NewType("PersistToken", int)
"""Number of one write that a replica waits for; later writes have higher numbers."""

Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)
RegistryVersion = NewType("RegistryVersion", int)
