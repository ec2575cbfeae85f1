"""Bounded types of values that arrive from outside a process.

Every such value is checked where it arrives. What passes can be stored, encoded and sent on by
every process, so that one invalid entry is rejected at its writer and never reaches the readers.
"""

import ipaddress
from typing import Annotated, NewType

import msgspec

from samphirespring.process.addresses import parse_address

MAX_NAME_LENGTH = 200
MAX_ADDRESS_LENGTH = 60
MAX_WALL_MS = (1 << 53) - 1
"""Latest wall time, in milliseconds; each JSON implementation keeps integers up to this one."""

MAX_SEQUENCE = (1 << 53) - 1
MAX_SLOTS = 10_000
MAX_DURATION_S = 86_400.0

IP = r"\[[0-9a-fA-F:.]+\]|[0-9.]+"
PORT = "[1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5]"
VISIBLE_ASCII = r"^[!-~]+\Z"

BOUNDED_NAME = msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH, pattern=VISIBLE_ASCII)
"""Bounds of the name of a target or service that a backend server announces."""

IpPort = Annotated[
    str,
    msgspec.Meta(title="`IP:port`", max_length=MAX_ADDRESS_LENGTH, pattern=rf"^({IP}):({PORT})\Z"),
]
"""`IP:port` with a port that exists; `check_address` also checks the IP address."""

WallMs = NewType("WallMs", int)
"""Wall time, in milliseconds since the Unix epoch."""

AnnouncementSequence = NewType("AnnouncementSequence", int)
"""Number of an announcement since the start of its backend server."""

UNKNOWN_START = WallMs(0)
"""Start of a backend server that doesn't state it."""

BoundedWallMs = Annotated[WallMs, msgspec.Meta(ge=0, le=MAX_WALL_MS)]
BoundedSequence = Annotated[AnnouncementSequence, msgspec.Meta(ge=0, le=MAX_SEQUENCE)]
SlotCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
DurationS = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_DURATION_S)]


def check_address(text: str) -> None:
    """Check the IP address of a text in the notation of `IpPort`.

    Args:
        text: The text.

    Raises:
        ValueError: There is no such IP address.
    """
    ipaddress.ip_address(parse_address(text).host)


def check_name(text: str) -> None:
    """Check that a text can be the name of a target.

    Args:
        text: The text.

    Raises:
        msgspec.ValidationError: The text is empty, too long or has other than visible ASCII
            characters.
    """
    msgspec.convert(text, Annotated[str, BOUNDED_NAME])
