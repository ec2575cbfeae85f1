"""Client end of a link between processes, on grpclib."""

import socket
import ssl
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Any, Generic

import anyio
import grpclib.client
import h2.exceptions
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from samphirespring.connection._cancellation import restore_cancellation_count
from samphirespring.connection.codec import MsgpackCodec
from samphirespring.connection.dead_peers import DeadPeerDetection
from samphirespring.connection.link_errors import (
    LinkMessageInvalidError,
    LinkUnavailableError,
    MethodUnknownError,
    RemoteError,
)
from samphirespring.connection.link_methods import (
    DuplexMethod,
    ReplyT,
    RequestT,
    StreamMethod,
    UnaryMethod,
    UploadMethod,
)
from samphirespring.process.errors import DECODE_ERRORS, ErrorCode, SamphireError
from samphirespring.process.metrics.metrics import Metrics

OPEN_TIMEOUT_S = 0.5
"""Longest wait for a connection and a new stream on it, in seconds."""

TLS_OPEN_TIMEOUT_S = 1.5
"""Longest wait for a connection with TLS handshake and a new stream on it, in seconds."""

DEAD_SERVER_DETECTION = DeadPeerDetection(idle_s=2, interval_s=1, probes=2, unacknowledged_s=2)

UNKNOWN_METHOD_MESSAGE = "Missing content-type header"
"""Message of grpclib's client about a response without a content type, which its server sends for a
method that it doesn't know; the status of that response is hidden."""

TCP_INFO_PREFIX_BYTES = 8
TCP_INFO_RETRANSMITS_OFFSET = 2
"""Offset in the kernel's `tcp_info` of the number of consecutive retransmission timeouts."""


class _KeepaliveChannel(grpclib.client.Channel):
    """Channel whose connection closes soon after the peer stops acknowledging packets."""

    link_socket: socket.socket | None = None

    async def _create_connection(self) -> Any:
        protocol = await super()._create_connection()
        # The library drops the transport of a connection that was lost as it opened.
        transport = getattr(protocol.connection, "_transport", None)
        if transport is None:
            raise ConnectionResetError("the connection was lost as it opened")
        link_socket = transport.get_extra_info("socket")
        if link_socket is not None:
            DEAD_SERVER_DETECTION.apply(link_socket)
        self.link_socket = link_socket
        return protocol


def has_retransmission_timeout(link_socket: socket.socket) -> bool:
    """Return whether the kernel's retransmission timeout has passed without an acknowledgement.

    Sent bytes have then been unacknowledged for about 0.2 s plus the round-trip time. The
    connection isn't broken yet: either the peer is unreachable, or only packets were lost.

    Args:
        link_socket: The socket; a closed socket has no such timeout.
    """
    try:
        tcp_info = link_socket.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_PREFIX_BYTES
        )
    except OSError:
        return False
    return tcp_info[TCP_INFO_RETRANSMITS_OFFSET] > 0


class Link:
    """Connection to one process; it is opened on first use, and again after it broke.

    Args:
        address: `IP:port` of the peer's link server.
        tls: Context for mutual TLS; None uses plain TCP.
        metrics: Counts the bytes of messages.
    """

    def __init__(
        self,
        address: str,
        *,
        tls: ssl.SSLContext | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._open_timeout_s = OPEN_TIMEOUT_S if tls is None else TLS_OPEN_TIMEOUT_S
        self._channel = _KeepaliveChannel(host, int(port), codec=MsgpackCodec(metrics), ssl=tls)

    def close(self) -> None:
        """Close the connection; calls in flight fail."""
        self._channel.close()

    async def call(
        self, method: UnaryMethod[RequestT, ReplyT], request: RequestT, *, timeout_s: float
    ) -> ReplyT:
        """Send a request and return the reply.

        Args:
            method: The method to call.
            request: The request.
            timeout_s: Longest wait for the reply, in seconds.

        Raises:
            LinkUnavailableError: No reply was received.
            LinkMessageInvalidError: The reply isn't of the declared type.
            RemoteError: The peer returned an error.
        """
        call = grpclib.client.UnaryUnaryMethod(
            self._channel, method.path, method.request_type, method.reply_type
        )
        with _convert_errors(self.address), anyio.fail_after(timeout_s):
            async with call.open() as stream:
                # Without this shorter timeout, a lost first packet would use up `timeout_s`.
                with anyio.fail_after(self._open_timeout_s):
                    await stream.send_request()
                await stream.send_message(request, end=True)
                reply = await stream.recv_message()
            if reply is None:
                raise LinkUnavailableError(f"{self.address}: no reply", sent=True)
            typed_reply: ReplyT = reply
            return typed_reply

    @asynccontextmanager
    async def open_stream(
        self, method: StreamMethod[RequestT, ReplyT], request: RequestT
    ) -> AsyncIterator[AsyncIterator[ReplyT]]:
        """Send a request and yield an iterator over the replies; leaving resets the stream.

        Args:
            method: The method to call.
            request: The request.

        Raises:
            LinkUnavailableError: The link can't be opened, broke, or the peer doesn't acknowledge.
            LinkMessageInvalidError: A reply isn't of the declared type.
            RemoteError: The peer returned an error.
        """
        self.check_acknowledgements()
        call = grpclib.client.UnaryStreamMethod(
            self._channel, method.path, method.request_type, method.reply_type
        )
        sent = False
        try:
            with restore_cancellation_count():
                async with call.open() as stream:
                    with anyio.fail_after(self._open_timeout_s):
                        await stream.send_request()
                    sent = True
                    await stream.send_message(request, end=True)
                    yield _iterate_replies(stream, self.address)
        except TimeoutError:
            # The headers alone don't start a call on the peer, so `sent` is still False.
            raise LinkUnavailableError(
                f"{self.address}: the stream wasn't opened in time", sent=sent
            ) from None
        except OSError as error:
            raise LinkUnavailableError(f"{self.address}: {error}", sent=sent) from None
        except (ProtocolError, StreamTerminatedError, h2.exceptions.ProtocolError) as error:
            raise LinkUnavailableError(f"{self.address}: {error}", sent=sent) from None
        except GRPCError as error:
            raise _read_remote_error(error) from None

    def check_acknowledgements(self) -> None:
        """Raise an error before anything is sent if the peer doesn't acknowledge packets.

        Raises:
            LinkUnavailableError: The kernel waits for an acknowledgement that is overdue.
        """
        link_socket = self._channel.link_socket
        if link_socket is not None and has_retransmission_timeout(link_socket):
            raise LinkUnavailableError(
                f"{self.address}: the peer doesn't acknowledge packets", sent=False
            )

    @asynccontextmanager
    async def open_duplex(
        self, method: DuplexMethod[RequestT, ReplyT]
    ) -> "AsyncIterator[Duplex[RequestT, ReplyT]]":
        """Yield independent streams of requests and replies; leaving resets them.

        Args:
            method: The method to call.

        Raises:
            LinkUnavailableError: The link can't be opened, or broke.
        """
        call = grpclib.client.StreamStreamMethod(
            self._channel, method.path, method.request_type, method.reply_type
        )
        async with self._open_call(call, timeout_s=self._open_timeout_s) as stream:
            yield Duplex(stream, self.address)

    @asynccontextmanager
    async def open_upload(
        self, method: UploadMethod[RequestT, ReplyT], *, timeout_s: float
    ) -> "AsyncIterator[Upload[RequestT]]":
        """Yield a stream for requests; leaving resets the stream.

        Args:
            method: The method to call.
            timeout_s: Longest wait for the connection and the stream, in seconds.

        Raises:
            LinkUnavailableError: The link can't be opened, or broke.
        """
        call = grpclib.client.StreamUnaryMethod(
            self._channel, method.path, method.request_type, method.reply_type
        )
        async with self._open_call(call, timeout_s=timeout_s) as stream:
            yield Upload(stream, self.address)

    @asynccontextmanager
    async def _open_call(
        self,
        call: "grpclib.client.ServiceMethod[RequestT, ReplyT]",
        *,
        timeout_s: float,
    ) -> "AsyncIterator[grpclib.client.Stream[RequestT, ReplyT]]":
        """Yield the stream of a call after its headers were sent; leaving resets it."""
        with _convert_errors(self.address):
            async with call.open() as stream:
                with anyio.fail_after(timeout_s):
                    await stream.send_request()
                yield stream


class Duplex(Generic[RequestT, ReplyT]):
    """Open streams of requests and replies to one process.

    Args:
        stream: The grpclib stream.
        address: `IP:port` of the peer.
    """

    def __init__(self, stream: "grpclib.client.Stream[RequestT, ReplyT]", address: str) -> None:
        self._stream = stream
        self._address = address

    async def send(self, request: RequestT) -> None:
        """Send a request; waits while the peer reads slowly.

        Args:
            request: The request.

        Raises:
            LinkUnavailableError: The link broke.
        """
        with _convert_errors(self._address):
            await self._stream.send_message(request)

    def iterate_replies(self) -> AsyncIterator[ReplyT]:
        """Return an iterator over the replies; it raises the errors of a broken link."""
        return _iterate_replies(self._stream, self._address)


class Upload(Generic[RequestT]):
    """Open stream of requests to one process.

    Args:
        stream: The grpclib stream.
        address: `IP:port` of the peer.
    """

    def __init__(self, stream: "grpclib.client.Stream[RequestT, Any]", address: str) -> None:
        self._stream = stream
        self._address = address

    async def send(self, request: RequestT, *, timeout_s: float) -> None:
        """Send a request.

        Args:
            request: The request.
            timeout_s: Longest wait for space in the flow control window, in seconds.

        Raises:
            LinkUnavailableError: The link broke, or its window stayed full.
        """
        with _convert_errors(self._address), anyio.fail_after(timeout_s):
            await self._stream.send_message(request)


async def _iterate_replies(
    stream: "grpclib.client.Stream[RequestT, ReplyT]", address: str
) -> AsyncIterator[ReplyT]:
    with _convert_errors(address):
        async for reply in stream:
            yield reply


@contextmanager
def _convert_errors(address: str) -> Iterator[None]:
    try:
        with restore_cancellation_count():
            yield
    except TimeoutError:
        raise LinkUnavailableError(f"{address}: no reply in time", sent=True) from None
    except OSError as error:
        raise LinkUnavailableError(f"{address}: {error}", sent=True) from None
    except (ProtocolError, StreamTerminatedError, h2.exceptions.ProtocolError) as error:
        raise LinkUnavailableError(f"{address}: {error}", sent=True) from None
    except DECODE_ERRORS as error:
        raise LinkMessageInvalidError(f"{address}: {error}") from None
    except GRPCError as error:
        raise _read_remote_error(error) from None


def _read_remote_error(error: GRPCError) -> SamphireError:
    code, _, detail = (error.message or "").partition(":")
    try:
        remote_code = ErrorCode(code)
    except ValueError:
        remote_code = ErrorCode.INTERNAL
        detail = f"{error.status.name} {error.message}"
    if error.status is Status.UNIMPLEMENTED or error.message == UNKNOWN_METHOD_MESSAGE:
        return MethodUnknownError(f"{error.status.name} {error.message}")
    if error.status is Status.UNAVAILABLE:
        return LinkUnavailableError(detail, sent=True)
    return RemoteError(detail, remote_code=remote_code)
