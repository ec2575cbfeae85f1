"""Errors of links between processes."""

from samphirespring.process.errors import ErrorCode, SamphireError


class LinkUnavailableError(SamphireError):
    """The peer could not be reached, or the link broke before the reply.

    Args:
        detail: What happened.
        sent: Whether any byte of the request may have reached the peer.
    """

    code = ErrorCode.LINK_UNAVAILABLE

    def __init__(self, detail: str, *, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


class MethodUnknownError(LinkUnavailableError):
    """The peer runs a version that doesn't offer the method.

    Args:
        detail: What happened.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(detail, sent=False)


class LinkMessageInvalidError(SamphireError):
    """Bytes on a link aren't a valid message of the declared type."""

    code = ErrorCode.LINK_MESSAGE_INVALID


class RemoteError(SamphireError):
    """The peer returned an error.

    Args:
        detail: Message of the peer's error.
        remote_code: Code of the peer's error.
    """

    code = ErrorCode.INTERNAL

    def __init__(self, detail: str, *, remote_code: ErrorCode) -> None:
        super().__init__(f"peer returned {remote_code.value}: {detail}")
        self.remote_code = remote_code
