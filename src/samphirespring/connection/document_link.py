"""RPC methods that distribute the document, and that count hosts with a version in force."""

import msgspec

from samphirespring.connection.link_methods import UnaryMethod
from samphirespring.process.document.in_force import InForceReport
from samphirespring.version.section_set import DocumentDelta
from samphirespring.version.stamp import DocumentStamp


class WatchDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Requests a notice once there is a version higher than `known`."""

    known: DocumentStamp
    wait_s: float
    """Longest wait for a higher version, in seconds."""


class DocumentNotice(msgspec.Struct, frozen=True, kw_only=True):
    """The newest version that the peer has."""

    stamp: DocumentStamp
    age_s: float
    """Time since the peer's last contact with a leader of the control hosts, also through relays.

    In seconds.
    """


class FetchDelta(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the changes since the version `known`."""

    known: DocumentStamp


class ReportReceipt(msgspec.Struct, frozen=True, kw_only=True):
    """Acknowledges a report."""


WATCH_DOCUMENT: UnaryMethod[WatchDocument, DocumentNotice] = UnaryMethod(
    path="/samphire.Document/Watch", request_type=WatchDocument, reply_type=DocumentNotice
)
FETCH_DELTA: UnaryMethod[FetchDelta, DocumentDelta] = UnaryMethod(
    path="/samphire.Document/FetchDelta", request_type=FetchDelta, reply_type=DocumentDelta
)
REPORT_IN_FORCE: UnaryMethod[InForceReport, ReportReceipt] = UnaryMethod(
    path="/samphire.Document/ReportInForce", request_type=InForceReport, reply_type=ReportReceipt
)
