"""HTTP API for the node's own host: announcements of backend servers, readiness and the dump."""

from collections.abc import Sequence

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from samphirespring.connection.bearer import read_token
from samphirespring.connection.dump_pages import read_page_request
from samphirespring.connection.http_json import (
    convert_errors,
    decode_json,
    read_body,
    respond_json,
)
from samphirespring.process.agent.agent_messages import (
    AgentDump,
    AgentMessage,
    Announcement,
    AnnouncementReceipt,
    AnnounceTarget,
    ReadAgentDump,
    WithdrawTarget,
)
from samphirespring.process.bounds import check_name
from samphirespring.process.dump import collect_dump, read_dump_page
from samphirespring.process.errors import ErrorCode, SamphireError
from samphirespring.process.front import Front
from samphirespring.process.ids import TargetId
from samphirespring.process.mailbox import Mailbox, ask
from samphirespring.process.tasks import OwnerTask
from samphirespring.version.access import authenticate, require_operator
from samphirespring.version.document import AccessSection
from samphirespring.version.ids import DocumentVersion

ANNOUNCEMENT_BYTES = 4_096


class AnnouncementInvalidError(SamphireError):
    """An announcement has invalid fields."""

    code = ErrorCode.ANNOUNCEMENT_INVALID


class TargetUnknownError(SamphireError):
    """The target isn't announced on this host."""

    code = ErrorCode.TARGET_UNKNOWN


def read_target_id(request: Request) -> TargetId:
    """Return the id of the target that a request names in its path.

    Args:
        request: The request; its path has the parameter `target`.

    Raises:
        AnnouncementInvalidError: The id is too long or has other than visible ASCII characters.
    """
    target = request.path_params["target"]
    try:
        check_name(target)
    except msgspec.ValidationError as error:
        raise AnnouncementInvalidError(f"invalid target id: {error}") from None
    return TargetId(target)


class Readiness(msgspec.Struct, frozen=True, kw_only=True):
    """State of a node that needs no credential to read."""

    document_version: DocumentVersion | None
    announced_targets: int


class LocalApp:
    """Accepts announcements, and serves the dump to teams that may operate the fleet.

    Announcements come from backend servers on the same host, which have no credential. Readiness
    needs no credential either, because it shows only two numbers.

    Args:
        agent: Inbox of the agent.
        tasks: The tasks that the dump shows.
        front: Provides the document in force, which has the teams' credentials.
    """

    def __init__(
        self, agent: Mailbox[AgentMessage], tasks: Sequence[OwnerTask], front: Front
    ) -> None:
        self._agent = agent
        self._tasks = tasks
        self._front = front

    def make_app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/v1/targets/{target}", convert_errors(self._announce), methods=["PUT"]),
                Route("/v1/targets/{target}", convert_errors(self._withdraw), methods=["DELETE"]),
                Route("/v1/ready", convert_errors(self._read_readiness), methods=["GET"]),
                Route("/v1/dump", convert_errors(self._dump), methods=["GET"]),
                Route("/v1/dump/{task}/{list}", convert_errors(self._dump_page), methods=["GET"]),
            ]
        )

    async def _announce(self, request: Request) -> Response:
        target = read_target_id(request)
        body = await read_body(request, limit_bytes=ANNOUNCEMENT_BYTES)
        announcement = decode_json(body, Announcement, error_type=AnnouncementInvalidError)
        receipt: AnnouncementReceipt = await ask(
            self._agent,
            lambda reply: AnnounceTarget(target=target, announcement=announcement, reply=reply),
        )
        return respond_json(receipt)

    async def _withdraw(self, request: Request) -> Response:
        target = read_target_id(request)
        was_announced: bool = await ask(
            self._agent, lambda reply: WithdrawTarget(target=target, reply=reply)
        )
        if not was_announced:
            raise TargetUnknownError(f"no target {target} is announced here")
        return Response(status_code=204)

    async def _read_readiness(self, request: Request) -> Response:
        compiled = self._front.read_document()
        dump: AgentDump = await ask(self._agent, lambda reply: ReadAgentDump(reply=reply))
        readiness = Readiness(
            document_version=None if compiled is None else compiled.version,
            announced_targets=len(dump.targets),
        )
        return respond_json(readiness)

    async def _dump(self, request: Request) -> Response:
        self._require_operator(request)
        return respond_json(await collect_dump(self._tasks))

    async def _dump_page(self, request: Request) -> Response:
        self._require_operator(request)
        return respond_json(await read_dump_page(self._tasks, read_page_request(request)))

    def _require_operator(self, request: Request) -> None:
        compiled = self._front.read_document()
        access = AccessSection() if compiled is None else compiled.access
        require_operator(access, authenticate(access, read_token(request)))
