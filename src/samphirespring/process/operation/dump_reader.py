"""Reads the complete dump of a process, page by page."""

from collections.abc import Callable
from typing import Any
from urllib.parse import quote, urlencode

import msgspec

from samphirespring.process.paging import DumpPage, PageCursor, PageInfo

ADVICE_KEY = "advice"
"""Key of the object in the target table's state that contains further paged lists."""

FetchDump = Callable[[str], bytes]
"""Returns the body of the response to a GET for a path below the dump."""

TaskState = dict[str, Any]


class _PagedState(msgspec.Struct, frozen=True, kw_only=True):
    """Paging information in the state of any task."""

    pages: tuple[PageInfo, ...] = ()


def read_dump(fetch: FetchDump) -> dict[str, TaskState]:
    """Return the state of each task with complete lists.

    Args:
        fetch: Fetches the dump, or a page of a list, from the process.
    """
    state: dict[str, TaskState] = msgspec.json.decode(fetch(""))
    for task, values in state.items():
        for info in msgspec.convert(values, _PagedState).pages:
            _append_remaining_pages(fetch, task, values, info)
        values.pop("pages", None)
    return state


def _append_remaining_pages(fetch: FetchDump, task: str, values: TaskState, info: PageInfo) -> None:
    name = info.list.value
    container = values if name in values else values[ADVICE_KEY]
    cursor = info.next
    while cursor is not None:
        text = fetch(f"/{quote(task, safe='')}/{name}?{_make_query(cursor)}")
        page = msgspec.json.decode(text, type=DumpPage[Any])
        container[name].extend(page.items)
        cursor = page.info.next


def _make_query(cursor: PageCursor) -> str:
    return urlencode({"part": cursor.part, "after": cursor.after})
