"""HTTP endpoints for heartbeats of the target on this host and for the node's readiness."""

from typing import Annotated

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from samphirespring.connection.http_json import (
    convert_errors,
    decode_json,
    read_body,
    respond_json,
)
from samphirespring.connection.local_http import AnnouncementInvalidError, read_target_id
from samphirespring.platform.units import parse_seconds
from samphirespring.process.agent.agent_messages import (
    AgentMessage,
    Announcement,
    AnnouncementReceipt,
    AnnounceTarget,
    WithdrawTarget,
)
from samphirespring.process.bounds import (
    BOUNDED_NAME,
    UNKNOWN_START,
    BoundedSequence,
    BoundedWallMs,
    SlotCount,
    WallMs,
)
from samphirespring.process.mailbox import Mailbox, ask
from samphirespring.process.node_readiness import NodeReadiness
from samphirespring.process.states import TargetPhase
from samphirespring.version.ids import ServiceName

MAX_HEARTBEAT_BYTES = 16_384
"""Largest body of a heartbeat or deregistration, in bytes."""

PHASE_BY_STATE = {"ready": TargetPhase.SERVING, "draining": TargetPhase.DRAINING}


class _Info(msgspec.Struct, frozen=True, kw_only=True):
    service: Annotated[ServiceName, BOUNDED_NAME]
    slots: SlotCount


class _Status(msgspec.Struct, frozen=True, kw_only=True, rename="kebab"):
    state: str
    sequence: BoundedSequence
    cold_remaining: str = "0ms"


class _Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    address: str
    info: _Info
    status: _Status
    born: BoundedWallMs = UNKNOWN_START


class _Deregistration(msgspec.Struct, frozen=True, kw_only=True):
    born: BoundedWallMs = UNKNOWN_START


class _Acknowledgement(msgspec.Struct, frozen=True, kw_only=True):
    """Empty response: it names no other address, so the target keeps sending heartbeats here."""


class AnnouncementApp:
    """Serves heartbeats, deregistrations and readiness checks.

    Args:
        agent: Inbox of the agent.
        readiness: Whether the node is ready.
        target_address: `IP:port` of the target on this host, the only one that this node contacts;
            heartbeats with another address are rejected.
    """

    def __init__(
        self, agent: Mailbox[AgentMessage], *, readiness: NodeReadiness, target_address: str
    ) -> None:
        self._agent = agent
        self._readiness = readiness
        self._target_address = target_address

    def make_app(self) -> Starlette:
        """Return the ASGI application."""
        target = "/api/instances/{target}"
        return Starlette(
            routes=[
                Route(f"{target}/heartbeat", convert_errors(self._announce), methods=["POST"]),
                Route(f"{target}/deregister", convert_errors(self._withdraw), methods=["POST"]),
                Route("/api/readiness", convert_errors(self._read_readiness), methods=["GET"]),
            ]
        )

    async def _announce(self, request: Request) -> Response:
        target = read_target_id(request)
        body = await read_body(request, limit_bytes=MAX_HEARTBEAT_BYTES)
        announcement = parse_heartbeat(body)
        if announcement.address != self._target_address:
            raise AnnouncementInvalidError(f"{announcement.address} isn't on this host")
        _: AnnouncementReceipt = await ask(
            self._agent,
            lambda reply: AnnounceTarget(target=target, announcement=announcement, reply=reply),
        )
        return respond_json(_Acknowledgement())

    async def _withdraw(self, request: Request) -> Response:
        target = read_target_id(request)
        body = await read_body(request, limit_bytes=MAX_HEARTBEAT_BYTES)
        started_ms = parse_started_ms(body)
        _: bool = await ask(
            self._agent,
            lambda reply: WithdrawTarget(target=target, started_ms=started_ms, reply=reply),
        )
        return respond_json(_Acknowledgement())

    async def _read_readiness(self, request: Request) -> Response:
        return Response(status_code=200 if self._readiness.is_ready else 503)


def parse_heartbeat(body: bytes) -> Announcement:
    """Return the announcement that a heartbeat contains.

    Args:
        body: The JSON text.

    Raises:
        AnnouncementInvalidError: The text isn't valid JSON, or a field is missing or has an
            invalid type or value.
    """
    heartbeat = decode_json(body, _Heartbeat, error_type=AnnouncementInvalidError)
    try:
        return Announcement(
            service=heartbeat.info.service,
            address=heartbeat.address,
            phase=PHASE_BY_STATE[heartbeat.status.state],
            slots=heartbeat.info.slots,
            started_ms=heartbeat.born,
            sequence=heartbeat.status.sequence,
            cold_s=parse_seconds(heartbeat.status.cold_remaining),
        )
    except ValueError as error:
        raise AnnouncementInvalidError(str(error)) from None
    except KeyError as error:
        raise AnnouncementInvalidError(f"unknown state {error}") from None


def parse_started_ms(body: bytes) -> WallMs:
    """Return when the deregistered target started, in milliseconds of wall time; 0 if not stated.

    Args:
        body: The JSON text of the deregistration, which may be empty.

    Raises:
        AnnouncementInvalidError: The text isn't valid JSON, or a field is invalid.
    """
    if not body:
        return UNKNOWN_START
    return decode_json(body, _Deregistration, error_type=AnnouncementInvalidError).born
