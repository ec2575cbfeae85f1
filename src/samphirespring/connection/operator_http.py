"""Operator API of a control host, over HTTP."""

from collections.abc import Awaitable, Callable, Mapping, Sequence

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from samphirespring.connection.bearer import read_token
from samphirespring.connection.dump_pages import read_page_request
from samphirespring.connection.http_json import JsonBodyInvalidError, read_json, respond_json
from samphirespring.connection.operator_messages import (
    ChangeBody,
    ChangeView,
    DocumentView,
    DrainBody,
    HistoryView,
    HostView,
    InForceView,
    ReplacementBody,
    SectionView,
    StatusView,
    make_record_view,
)
from samphirespring.connection.operator_problems import respond_problem
from samphirespring.process.document.commands import ChangeAccepted
from samphirespring.process.document.in_force import HostLocation, summarize_progress
from samphirespring.process.document.service import DocumentService
from samphirespring.process.document.session import OperatorSession
from samphirespring.process.document.store import DocumentStore
from samphirespring.process.dump import collect_dump, read_dump_page
from samphirespring.process.errors import ErrorCode, InternalError, SamphireError
from samphirespring.process.ids import GroupId, HostId, ReplicaId, TargetId
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.node_operations_client import NodeOperationsClient
from samphirespring.process.replication.group_status import GroupOperations
from samphirespring.process.tasks import OwnerTask
from samphirespring.version.ids import (
    ChangeId,
    DocumentVersion,
    SectionName,
    SectionVersion,
)
from samphirespring.version.section_set import SECTION_BYTES
from samphirespring.version.stamp import DocumentStamp

BODY_BYTES = SECTION_BYTES + (1 << 16)
"""Largest body of a change: a section with its change id and version."""

SMALL_BODY_BYTES = 4_096
DEFAULT_HISTORY_LIMIT = 100
MAX_NUMBER_DIGITS = 18


class GroupUnknownError(SamphireError):
    """There is no replicated group with this name."""

    code = ErrorCode.GROUP_UNKNOWN


Endpoint = Callable[[Request, OperatorSession], Awaitable[Response]]

_log = EventLog()


class OperatorApp:
    """Serves the operator API; every request needs the bearer token of a team.

    Args:
        replica: Id of this control host.
        documents: Reads and changes the document.
        store: Has the reports of versions in force.
        groups: The replicated groups of this host.
        hosts: Operations on nodes.
        tasks: The tasks that the dump shows.
        operator_addresses: `IP:port` of each control host's operator API.
    """

    def __init__(
        self,
        *,
        replica: ReplicaId,
        documents: DocumentService,
        store: DocumentStore,
        groups: Mapping[GroupId, GroupOperations],
        hosts: NodeOperationsClient,
        tasks: Sequence[OwnerTask],
        operator_addresses: Mapping[ReplicaId, str],
    ) -> None:
        self._replica = replica
        self._documents = documents
        self._store = store
        self._groups = groups
        self._hosts = hosts
        self._tasks = tasks
        self._operator_addresses = operator_addresses

    def make_app(self) -> Starlette:
        """Return the ASGI application."""
        section = "/v1/document/sections/{name}"
        return Starlette(
            routes=[
                self._route("/v1/document", "GET", self._read_document),
                self._route(section, "GET", self._read_section),
                self._route(section, "PUT", self._change_section),
                self._route(section, "DELETE", self._delete_section),
                self._route(f"{section}/diff", "GET", self._compare_versions),
                self._route("/v1/document/history", "GET", self._read_history),
                self._route("/v1/document/in-force", "GET", self._read_in_force),
                self._route("/v1/status", "GET", self._require_operator(self._read_status)),
                self._route(
                    "/v1/groups/{group}/replicas/{replica}/replacement",
                    "PUT",
                    self._require_operator(self._replace_replica),
                ),
                self._route("/v1/hosts", "GET", self._require_operator(self._list_hosts)),
                self._route(
                    "/v1/hosts/{host}/drain", "PUT", self._require_operator(self._drain_host)
                ),
                self._route(
                    "/v1/hosts/{host}/dump", "GET", self._require_operator(self._dump_host)
                ),
                self._route(
                    "/v1/targets/{target}/drain", "PUT", self._require_operator(self._drain_target)
                ),
                self._route("/v1/dump", "GET", self._require_operator(self._dump)),
                self._route(
                    "/v1/dump/{task}/{list}", "GET", self._require_operator(self._dump_page)
                ),
                self._route(
                    "/v1/hosts/{host}/dump/{task}/{list}",
                    "GET",
                    self._require_operator(self._dump_host_page),
                ),
            ]
        )

    def _route(self, path: str, method: str, endpoint: Endpoint) -> Route:
        async def serve(request: Request) -> Response:
            try:
                session = await self._documents.authenticate(read_token(request))
                return await endpoint(request, session)
            except SamphireError as error:
                return respond_problem(request, error, self._operator_addresses)
            except Exception:
                _log.exception(LogEvent.ENDPOINT_FAILED, path=request.url.path)
                failure = InternalError("internal error")
                return respond_problem(request, failure, self._operator_addresses)

        return Route(path, serve, methods=[method])

    def _require_operator(self, endpoint: Endpoint) -> Endpoint:
        async def serve(request: Request, session: OperatorSession) -> Response:
            session.require_operator()
            return await endpoint(request, session)

        return serve

    async def _read_document(self, request: Request, session: OperatorSession) -> Response:
        sections = await self._documents.read(session, local=_is_local(request))
        view = DocumentView(
            generation=sections.stamp.generation,
            version=sections.stamp.version,
            sections={
                name: SectionView(version=s.version, content=msgspec.Raw(s.read_text()))
                for name, s in sections.sections.items()
            },
        )
        return respond_json(view)

    async def _read_section(self, request: Request, session: OperatorSession) -> Response:
        name = SectionName(request.path_params["name"])
        section = await self._documents.read_section(name, session, local=_is_local(request))
        view = SectionView(version=section.version, content=msgspec.Raw(section.read_text()))
        return respond_json(view)

    async def _change_section(self, request: Request, session: OperatorSession) -> Response:
        body = await read_json(request, ChangeBody, limit_bytes=BODY_BYTES)
        accepted = await self._documents.change(
            SectionName(request.path_params["name"]),
            session,
            base_version=SectionVersion(body.base_version),
            change_id=ChangeId(body.change_id),
            text=bytes(body.content),
        )
        return _respond_accepted(accepted)

    async def _delete_section(self, request: Request, session: OperatorSession) -> Response:
        change_id = request.query_params.get("change_id", "")
        if not 1 <= len(change_id) <= 200:
            raise JsonBodyInvalidError("the query needs a change_id of 1 to 200 characters")
        accepted = await self._documents.change(
            SectionName(request.path_params["name"]),
            session,
            base_version=SectionVersion(_read_number(request, "base_version")),
            change_id=ChangeId(change_id),
            text=None,
        )
        return _respond_accepted(accepted)

    async def _compare_versions(self, request: Request, session: OperatorSession) -> Response:
        text = await self._documents.compare(
            SectionName(request.path_params["name"]),
            session,
            old=SectionVersion(_read_number(request, "from")),
            new=SectionVersion(_read_number(request, "to")),
        )
        return PlainTextResponse(text + "\n" if text else "")

    async def _read_history(self, request: Request, session: OperatorSession) -> Response:
        section = request.query_params.get("section")
        records = await self._documents.read_history(
            session,
            section=None if section is None else SectionName(section),
            limit=_read_number(request, "limit", default=DEFAULT_HISTORY_LIMIT),
            local=_is_local(request),
        )
        return respond_json(HistoryView(changes=tuple(map(make_record_view, records))))

    async def _read_in_force(self, request: Request, session: OperatorSession) -> Response:
        stamp = await self._documents.read_stamp()
        version = DocumentVersion(_read_number(request, "version", default=stamp.version))
        return respond_json(await self._make_in_force_view(stamp, version))

    async def _read_status(self, request: Request, session: OperatorSession) -> Response:
        stamp = await self._documents.read_stamp()
        view = await self._make_in_force_view(stamp, stamp.version)
        status = StatusView(
            replica=self._replica,
            groups=tuple([await group.read_status() for group in tuple(self._groups.values())]),
            document_version=stamp.version,
            hosts=len(await self._hosts.list_hosts()),
            domains=view.domains,
        )
        return respond_json(status)

    async def _replace_replica(self, request: Request, session: OperatorSession) -> Response:
        body = await read_json(request, ReplacementBody, limit_bytes=SMALL_BODY_BYTES)
        name = GroupId(request.path_params["group"])
        group = self._groups.get(name)
        if group is None:
            raise GroupUnknownError(f"there is no group {name}")
        lost = ReplicaId(request.path_params["replica"])
        await group.replace(lost, replacement=body.replacement)
        _log.info(LogEvent.REPLICA_REPLACED, group=name, lost=lost, replacement=body.replacement)
        return respond_json(body)

    async def _list_hosts(self, request: Request, session: OperatorSession) -> Response:
        views = [
            HostView(
                host=record.locality.host,
                region=record.locality.region,
                failure_domain=record.locality.failure_domain,
                link_address=record.link_address,
                targets=tuple(target.target for target in record.targets),
            )
            for record in await self._hosts.list_hosts()
        ]
        return respond_json(views)

    async def _drain_host(self, request: Request, session: OperatorSession) -> Response:
        body = await read_json(request, DrainBody, limit_bytes=SMALL_BODY_BYTES)
        host = HostId(request.path_params["host"])
        await self._hosts.set_host_drain(host, draining=body.draining)
        _log.info(LogEvent.HOST_DRAIN_SET, host=host, draining=body.draining, team=session.team)
        return respond_json(body)

    async def _drain_target(self, request: Request, session: OperatorSession) -> Response:
        body = await read_json(request, DrainBody, limit_bytes=SMALL_BODY_BYTES)
        target = TargetId(request.path_params["target"])
        await self._hosts.set_target_drain(target, draining=body.draining)
        _log.info(
            LogEvent.TARGET_DRAIN_SET, target=target, draining=body.draining, team=session.team
        )
        return respond_json(body)

    async def _dump_host(self, request: Request, session: OperatorSession) -> Response:
        text = await self._hosts.read_dump(HostId(request.path_params["host"]))
        return Response(text, media_type="application/json")

    async def _dump(self, request: Request, session: OperatorSession) -> Response:
        return respond_json(await collect_dump(self._tasks))

    async def _dump_host_page(self, request: Request, session: OperatorSession) -> Response:
        host = HostId(request.path_params["host"])
        text = await self._hosts.read_dump(host, page=read_page_request(request))
        return Response(text, media_type="application/json")

    async def _dump_page(self, request: Request, session: OperatorSession) -> Response:
        return respond_json(await read_dump_page(self._tasks, read_page_request(request)))

    async def _make_in_force_view(
        self, stamp: DocumentStamp, version: DocumentVersion
    ) -> InForceView:
        hosts = [
            HostLocation(
                region=record.locality.region,
                failure_domain=record.locality.failure_domain,
                host=record.locality.host,
            )
            for record in await self._hosts.list_hosts()
        ]
        wanted_stamp = msgspec.structs.replace(stamp, version=version)
        domains = summarize_progress(wanted_stamp, hosts, await self._store.read_reports())
        complete = all(domain.complete for domain in domains)
        return InForceView(version=version, complete=complete, domains=domains)


def _respond_accepted(accepted: ChangeAccepted) -> Response:
    view = ChangeView(
        section=accepted.section, version=accepted.version, change_id=accepted.change_id
    )
    return respond_json(view)


def _is_local(request: Request) -> bool:
    return request.query_params.get("local") == "true"


def _read_number(request: Request, name: str, *, default: int | None = None) -> int:
    text = request.query_params.get(name)
    if text is None and default is not None:
        return default
    if text is None or not text.isascii() or not text.isdigit() or len(text) > MAX_NUMBER_DIGITS:
        raise JsonBodyInvalidError(f"the query needs a whole number `{name}`")
    return int(text)
