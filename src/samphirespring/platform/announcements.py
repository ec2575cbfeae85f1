"""HTTP endpoints for heartbeats of the target on this host and for the node's readiness."""

from typing import Annotated

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from samphirespring.connection.http_json import convert_errors, read_body, respond_json
from samphirespring.connection.local_http import AnnouncementInvalidError
from samphirespring.platform.units import parse_seconds
from samphirespring.process.agent_messages import (
    AgentMessage,
    Announcement,
    AnnouncementReceipt,
    AnnounceTarget,
    WithdrawTarget,
)
from samphirespring.process.ids import TargetId
from samphirespring.process.mailbox import Mailbox, ask
from samphirespring.process.node_readiness import NodeReadiness
from samphirespring.process.states import TargetPhase
from samphirespring.version.ids import ServiceName

MAX_HEARTBEAT_BYTES = 16_384
"""Largest body of a heartbeat or deregistration, in bytes."""

PHASE_BY_STATE = {"ready": TargetPhase.SERVING, "draining": TargetPhase.DRAINING}


class _Info(msgspec.Struct, frozen=True, kw_only=True):
    service: Annotated[str, msgspec.Meta(min_length=1)]
    slots: Annotated[int, msgspec.Meta(ge=1, le=10_000)]


class _Status(msgspec.Struct, frozen=True, kw_only=True, rename="kebab"):
    state: str
    sequence: Annotated[int, msgspec.Meta(ge=0)]
    cold_remaining: str = "0ms"


class _Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    address: str
    info: _Info
    status: _Status
    born: Annotated[int, msgspec.Meta(ge=0)] = 0


class _Deregistration(msgspec.Struct, frozen=True, kw_only=True):
    born: Annotated[int, msgspec.Meta(ge=0)] = 0


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
        target = TargetId(request.path_params["target"])
        body = await read_body(request.stream(), limit_bytes=MAX_HEARTBEAT_BYTES)
        announcement = parse_heartbeat(body)
        if announcement.address != self._target_address:
            raise AnnouncementInvalidError(f"{announcement.address} isn't on this host")
        _: AnnouncementReceipt = await ask(
            self._agent,
            lambda reply: AnnounceTarget(target=target, announcement=announcement, reply=reply),
        )
        return respond_json(_Acknowledgement())

    async def _withdraw(self, request: Request) -> Response:
        target = TargetId(request.path_params["target"])
        body = await read_body(request.stream(), limit_bytes=MAX_HEARTBEAT_BYTES)
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
    try:
        heartbeat = msgspec.json.decode(body, type=_Heartbeat)
        return Announcement(
            service=ServiceName(heartbeat.info.service),
            address=heartbeat.address,
            phase=PHASE_BY_STATE[heartbeat.status.state],
            slots=heartbeat.info.slots,
            started_ms=heartbeat.born,
            sequence=heartbeat.status.sequence,
            cold_s=parse_seconds(heartbeat.status.cold_remaining),
        )
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as error:
        raise AnnouncementInvalidError(str(error)) from None
    except KeyError as error:
        raise AnnouncementInvalidError(f"unknown state {error}") from None


def parse_started_ms(body: bytes) -> int:
    """Return when the deregistered target started, in milliseconds of wall time; 0 if not stated.

    Args:
        body: The JSON text of the deregistration, which may be empty.

    Raises:
        AnnouncementInvalidError: The text isn't valid JSON, or a field is invalid.
    """
    if not body:
        return 0
    try:
        return msgspec.json.decode(body, type=_Deregistration).born
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise AnnouncementInvalidError(str(error)) from None
