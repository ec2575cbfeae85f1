"""Request and response bodies of the operator API."""

from datetime import UTC, datetime
from typing import Annotated

import msgspec

from samphirespring.process.document.commands import ChangeRecord
from samphirespring.process.document.in_force import DomainProgress
from samphirespring.process.ids import HostId, ReplicaId
from samphirespring.process.replication.group_status import GroupStatus
from samphirespring.version.ids import (
    ChangeId,
    DocumentVersion,
    Generation,
    SectionName,
    SectionVersion,
    TeamName,
)

ChangeIdText = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class ChangeBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A change of one section."""

    base_version: Annotated[int, msgspec.Meta(ge=0)]
    change_id: ChangeIdText
    content: msgspec.Raw


class SectionView(msgspec.Struct, frozen=True, kw_only=True):
    """One section."""

    version: SectionVersion
    content: msgspec.Raw


class DocumentView(msgspec.Struct, frozen=True, kw_only=True):
    """The sections of the document that the team may read."""

    generation: Generation
    version: DocumentVersion
    sections: dict[SectionName, SectionView]


class RecordView(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted change in the history."""

    section: SectionName
    version: SectionVersion
    team: TeamName
    change_id: ChangeId
    at: str
    """Wall time at the leader, ISO 8601 in UTC."""

    deleted: bool
    sha256: str
    """Digest of the section's text without whitespace; empty after a deletion."""


class ChangeView(msgspec.Struct, frozen=True, kw_only=True):
    """Response to an accepted change."""

    section: SectionName
    version: SectionVersion
    change_id: ChangeId


class HistoryView(msgspec.Struct, frozen=True, kw_only=True):
    """Accepted changes, oldest first."""

    changes: tuple[RecordView, ...]


class InForceView(msgspec.Struct, frozen=True, kw_only=True):
    """Progress of a version across the failure domains."""

    version: DocumentVersion
    complete: bool
    """Whether every host in the registry reported this version or a higher one."""

    domains: tuple[DomainProgress, ...]


class StatusView(msgspec.Struct, frozen=True, kw_only=True):
    """State of the control host that serves the request."""

    replica: ReplicaId
    groups: tuple[GroupStatus, ...]
    """The replica of each group and, at the group's leader, its peers."""

    document_version: DocumentVersion
    hosts: int
    domains: tuple[DomainProgress, ...]


class DrainBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Starts or ends a drain."""

    draining: bool = True


class ReplacementBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The replica that replaces a lost one."""

    replacement: ReplicaId


class HostView(msgspec.Struct, frozen=True, kw_only=True):
    """One host in the registry."""

    host: HostId
    region: str
    failure_domain: str
    link_address: str
    targets: tuple[str, ...]


def make_record_view(record: ChangeRecord) -> RecordView:
    """Return the view of a change for operators.

    Args:
        record: The change.
    """
    return RecordView(
        section=record.section,
        version=record.version,
        team=record.team,
        change_id=record.change_id,
        at=format_time(record.at_ns),
        deleted=record.deleted,
        sha256=record.digest.hex(),
    )


def format_time(at_ns: int) -> str:
    """Return a wall time in ISO 8601.

    Args:
        at_ns: Wall time, in nanoseconds since the Unix epoch.
    """
    time = datetime.fromtimestamp(at_ns / 1e9, tz=UTC)
    return time.isoformat(timespec="milliseconds")
