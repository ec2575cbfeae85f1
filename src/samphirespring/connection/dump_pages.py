"""Parsing of HTTP requests for a page of a dump."""

from starlette.requests import Request

from samphirespring.process.errors import ErrorCode, SamphireError
from samphirespring.process.paging import (
    DumpList,
    EntryKey,
    ListUnknownError,
    PageCursor,
    PageRequest,
)

MAX_PART_DIGITS = 4


class CursorInvalidError(SamphireError):
    """The page cursor in the query is invalid."""

    code = ErrorCode.MALFORMED_REQUEST


def read_page_request(request: Request) -> PageRequest:
    """Return the page that a request with `task` and `list` in its path selects.

    Args:
        request: Its query may have the cursor's `part` and `after`; without them, the page is the
            first one.

    Raises:
        ListUnknownError: There is no list with this name.
        CursorInvalidError: `part` isn't a number.
    """
    name = request.path_params["list"]
    part = request.query_params.get("part", "0")
    if not part.isascii() or not part.isdigit() or len(part) > MAX_PART_DIGITS:
        raise CursorInvalidError("part must be a whole number")
    try:
        dump_list = DumpList(name)
    except ValueError:
        raise ListUnknownError(f"no long list is named {name}") from None
    cursor = PageCursor(part=int(part), after=EntryKey(request.query_params.get("after", "")))
    return PageRequest(task=request.path_params["task"], list=dump_list, cursor=cursor)
