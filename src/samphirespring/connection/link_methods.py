"""Declarations of RPC methods that processes call over links."""

from typing import Any, Generic, TypeVar

import msgspec

RequestT = TypeVar("RequestT")
ReplyT = TypeVar("ReplyT")


class LinkMethod(msgspec.Struct, Generic[RequestT, ReplyT], frozen=True, kw_only=True):
    """Base of method declarations; each subclass defines the number of requests and replies.

    Attributes:
        path: gRPC path, `/service/Method`.
        request_type: Type, or tagged union of types, of each request.
        reply_type: Type, or tagged union of types, of each reply.
    """

    path: str
    request_type: Any
    reply_type: Any


class UnaryMethod(LinkMethod[RequestT, ReplyT], frozen=True, kw_only=True):
    """One request, one reply."""


class StreamMethod(LinkMethod[RequestT, ReplyT], frozen=True, kw_only=True):
    """One request, a stream of replies."""


class DuplexMethod(LinkMethod[RequestT, ReplyT], frozen=True, kw_only=True):
    """Streams of requests and of replies that are independent of each other."""


class UploadMethod(LinkMethod[RequestT, ReplyT], frozen=True, kw_only=True):
    """A stream of requests, one reply at its end."""
