"""Pages of the long lists in a process's dump."""

from collections.abc import Callable
from enum import Enum
from heapq import nsmallest
from typing import Generic, NewType, TypeVar

import msgspec

from samphirespring.process.errors import ErrorCode, SamphireError

PAGE_SIZE = 100
"""Largest number of entries in a page."""

EntryKey = NewType("EntryKey", str)
"""Identifies an entry of a list; the entries of a part are sorted by key."""

ItemT = TypeVar("ItemT", covariant=True)


class DumpList(Enum):
    """Lists whose length grows with the fleet."""

    HOSTS = "hosts"
    SERVICES = "services"
    AVOIDED_HOSTS = "avoided_hosts"
    HELD = "held"
    PENDING = "pending"
    PROBING = "probing"
    COSTS = "costs"
    BUCKETS = "buckets"
    RETRY_BUDGETS = "retry_budgets"


class PageCursor(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """The last entry of a page; the next page starts after it."""

    part: int
    """Number of the part that contains the entry; a list without parts has only part 0."""

    after: EntryKey


FIRST_CURSOR = PageCursor(part=0, after=EntryKey(""))


class PageRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Requests one page of a task's list."""

    task: str
    """Name of the task in the dump."""

    list: DumpList
    cursor: PageCursor = FIRST_CURSOR


class PageInfo(msgspec.Struct, frozen=True, kw_only=True):
    """Total size of a list and the position of its next page."""

    list: DumpList
    total: int
    """Number of entries in the whole list."""

    next: PageCursor | None
    """Cursor for the next page; None if this is the last one."""


class DumpPage(msgspec.Struct, Generic[ItemT], frozen=True, kw_only=True):
    """One page of a list."""

    items: tuple[ItemT, ...]
    info: PageInfo


class ListUnknownError(SamphireError):
    """The process has no task with this name, or the task has no such list."""

    code = ErrorCode.LIST_UNKNOWN


class PagedList(Generic[ItemT]):
    """A long list that is read in pages.

    A very long list has several parts, so that a page reads the keys of a few parts and never of
    the whole list.

    Args:
        name: The list.
        total: Number of entries.
        part_count: Number of parts.
        read_keys: Returns the keys of a part, in any order.
        make_item: Returns the item that the dump shows for an entry.
    """

    def __init__(
        self,
        name: DumpList,
        *,
        total: int,
        part_count: int,
        read_keys: Callable[[int], list[EntryKey]],
        make_item: Callable[[int, EntryKey], ItemT],
    ) -> None:
        self._name = name
        self._total = total
        self._part_count = part_count
        self._read_keys = read_keys
        self._make_item = make_item

    def read_page(
        self, cursor: PageCursor = FIRST_CURSOR, *, size: int = PAGE_SIZE
    ) -> DumpPage[ItemT]:
        """Return the page after a cursor.

        An entry that stays in the list is in exactly one page, even if others are added or removed
        between the pages.

        Args:
            cursor: End of the previous page.
            size: Largest number of entries.
        """
        found: list[PageCursor] = []
        part, after = max(0, cursor.part), cursor.after
        while part < self._part_count and len(found) <= size:
            found += self._find_keys_in_part(part, after, size + 1 - len(found))
            part, after = part + 1, EntryKey("")
        shown = found[:size]
        next_cursor = shown[-1] if len(found) > size else None
        return DumpPage(
            items=tuple(self._make_item(entry.part, entry.after) for entry in shown),
            info=PageInfo(list=self._name, total=self._total, next=next_cursor),
        )

    def _find_keys_in_part(self, part: int, after: EntryKey, count: int) -> list[PageCursor]:
        keys = (key for key in self._read_keys(part) if key > after)
        return [PageCursor(part=part, after=key) for key in nsmallest(count, keys)]


def make_single_part_list(
    name: DumpList, keys: list[EntryKey], make_item: Callable[[EntryKey], ItemT]
) -> PagedList[ItemT]:
    """Return a list of one part.

    Args:
        name: The list.
        keys: Keys of the entries, in any order.
        make_item: Returns the item that the dump shows for an entry.
    """
    return PagedList(
        name,
        total=len(keys),
        part_count=1,
        read_keys=lambda _: keys,
        make_item=lambda _, key: make_item(key),
    )


def make_key_list(name: DumpList, keys: list[EntryKey]) -> PagedList[EntryKey]:
    """Return a list of one part whose items are the keys themselves.

    Args:
        name: The list.
        keys: Keys of the entries, in any order.
    """
    return make_single_part_list(name, keys, lambda key: key)
