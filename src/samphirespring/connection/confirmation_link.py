"""RPC method that confirms which version of the document is the newest.

The messages are encoded as arrays without field names, because every host sends them all the time.
New fields must be added at the end.
"""

import msgspec

from samphirespring.connection.link_methods import UnaryMethod
from samphirespring.version.stamp import NO_STAMP, DocumentStamp


class ConfirmDocument(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Requests the newest committed version, as of a time after the request was received."""


class DocumentConfirmation(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The newest committed version as of `age_s` before the reply was sent."""

    stamp: DocumentStamp = NO_STAMP
    age_s: float | None = None
    """Time since the version was confirmed, in seconds, counted through times of suspension; None
    if nothing was confirmed."""

    leader_link: str | None = None
    """Link address of the leader, if the replying control host isn't the leader; nothing was
    confirmed then."""

    next_in_s: float | None = None
    """Time until a relay expects its next confirmation, in seconds; None if it expects none."""


CONFIRM_DOCUMENT: UnaryMethod[ConfirmDocument, DocumentConfirmation] = UnaryMethod(
    path="/samphire.Document/Confirm",
    request_type=ConfirmDocument,
    reply_type=DocumentConfirmation,
)
