"""RPC methods for operators' requests to one process."""

import msgspec

from samphirespring.connection.link_methods import UnaryMethod
from samphirespring.process.ids import TargetId
from samphirespring.process.paging import PageRequest


class DrainRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Starts or ends the drain of a host or of one of its targets."""

    target: TargetId | None
    draining: bool


class DrainReceipt(msgspec.Struct, frozen=True, kw_only=True):
    """Whether the host has the target."""

    known: bool


class DumpRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the state of the process."""

    page: PageRequest | None = None
    """A page of one long list; None requests the state of all tasks."""


class DumpReply(msgspec.Struct, frozen=True, kw_only=True):
    """State of the process."""

    text: bytes
    """JSON object with one member for each task, or one page."""


DRAIN: UnaryMethod[DrainRequest, DrainReceipt] = UnaryMethod(
    path="/samphire.Operation/Drain", request_type=DrainRequest, reply_type=DrainReceipt
)
DUMP: UnaryMethod[DumpRequest, DumpReply] = UnaryMethod(
    path="/samphire.Operation/Dump", request_type=DumpRequest, reply_type=DumpReply
)
