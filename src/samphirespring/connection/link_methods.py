"""Declarations of RPC methods that processes call over links."""

from dataclasses import dataclass
from typing import Any, Generic, TypeVar

RequestT = TypeVar("RequestT")
ReplyT = TypeVar("ReplyT")


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkMethod(Generic[RequestT, ReplyT]):
    """Base of method declarations; each subclass defines the number of requests and replies.

    Attributes:
        path: gRPC path, `/service/Method`.
        request_type: Type, or tagged union of types, of each request.
        reply_type: Type, or tagged union of types, of each reply.
    """

    path: str
    request_type: Any
    reply_type: Any


class UnaryMethod(LinkMethod[RequestT, ReplyT]):
    """One request, one reply."""


class StreamMethod(LinkMethod[RequestT, ReplyT]):
    """One request, a stream of replies."""


class UploadMethod(LinkMethod[RequestT, ReplyT]):
    """A stream of requests, one reply at its end."""
