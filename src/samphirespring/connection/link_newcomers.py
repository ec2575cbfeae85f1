"""Bounds connections to a link server whose clients may not speak its protocol."""

import asyncio
from typing import Any, cast

import grpclib.server
from grpclib.protocol import H2Protocol

MAX_NEWCOMERS = 256
"""Largest number of such connections; beyond it, the oldest one is closed."""

PREFACE_TIMEOUT_S = 5.0
"""Time in which a client sends the preface of HTTP/2, in seconds; links send it at once."""

PREFACE_BYTES = 24


class Newcomers:
    """Connections that haven't sent the preface of HTTP/2, oldest first."""

    def __init__(self) -> None:
        self._transports: dict[asyncio.Transport, asyncio.TimerHandle] = {}

    def add(self, transport: asyncio.Transport) -> None:
        """Begin to wait for the preface of a connection.

        Args:
            transport: The connection.
        """
        loop = asyncio.get_running_loop()
        self._transports[transport] = loop.call_later(PREFACE_TIMEOUT_S, self._close, transport)
        if len(self._transports) > MAX_NEWCOMERS:
            self._close(next(iter(self._transports)))

    def remove(self, transport: asyncio.Transport) -> None:
        """Stop waiting for the preface of a connection, as it came or the connection ended.

        Args:
            transport: The connection.
        """
        timer = self._transports.pop(transport, None)
        if timer is not None:
            timer.cancel()

    def _close(self, transport: asyncio.Transport) -> None:
        self.remove(transport)
        transport.abort()


class _GuardedProtocol(H2Protocol):
    """Tells the newcomers of a connection, and when it has sent its preface."""

    def __init__(self, newcomers: Newcomers, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._newcomers = newcomers
        self._received_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._newcomers.add(self._transport)
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        # A wrong preface closes the connection.
        super().data_received(data)
        self._received_bytes += len(data)
        if self._received_bytes >= PREFACE_BYTES:
            self._newcomers.remove(self._transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        self._newcomers.remove(self._transport)
        super().connection_lost(exc)


class GuardedLinkServer(grpclib.server.Server):
    """Link server that closes connections of clients that don't speak its protocol."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._newcomers = Newcomers()

    def _protocol_factory(self) -> H2Protocol:
        made = super()._protocol_factory()
        return _GuardedProtocol(self._newcomers, made.handler, made.config, made.h2_config)
