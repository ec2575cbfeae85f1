"""Differences between two documents, entry by entry."""

from collections.abc import Iterator, Mapping
from enum import Enum
from typing import Any

import msgspec

from samphirespring.version.document import ACCESS_SECTION, FLEET_SECTION, Document, RoutePolicy


class ChangeKind(Enum):
    """How an entry differs."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class EntryChange(msgspec.Struct, frozen=True, kw_only=True):
    """One entry that differs.

    Attributes:
        kind: How it differs.
        entry: What it is and its name.
        fields: Names of the fields that differ; empty for an added or removed entry.
    """

    kind: ChangeKind
    entry: str
    fields: tuple[str, ...] = ()


def compare_documents(before: Document, after: Document) -> tuple[EntryChange, ...]:
    """Return the entries in which two documents differ, by name.

    Args:
        before: The earlier document.
        after: The later one.
    """
    old, new = _list_entries(before), _list_entries(after)
    return tuple(_compare_entries(old, new))


def _compare_entries(old: Mapping[str, Any], new: Mapping[str, Any]) -> Iterator[EntryChange]:
    for entry in sorted(old.keys() | new.keys()):
        if entry not in old:
            yield EntryChange(kind=ChangeKind.ADDED, entry=entry)
        elif entry not in new:
            yield EntryChange(kind=ChangeKind.REMOVED, entry=entry)
        elif old[entry] != new[entry]:
            fields = tuple(
                field.name
                for field in msgspec.structs.fields(new[entry])
                if getattr(old[entry], field.name) != getattr(new[entry], field.name)
            )
            yield EntryChange(kind=ChangeKind.CHANGED, entry=entry, fields=fields)


def _list_entries(document: Document) -> dict[str, Any]:
    entries: dict[str, Any] = {
        f"section {ACCESS_SECTION}": document.access,
        f"section {FLEET_SECTION}": document.fleet,
    }
    for team in document.teams.values():
        entries |= {f"service {name}": policy for name, policy in team.services.items()}
        entries |= {f"route {_make_route_name(route)}": route for route in team.routes}
        entries |= {f"workspace {name}": policy for name, policy in team.workspaces.items()}
    return entries


def _make_route_name(route: RoutePolicy) -> str:
    methods = ",".join(sorted(route.methods)) or "any method"
    return f"{route.host.lower()}{route.path_prefix} ({methods})"
