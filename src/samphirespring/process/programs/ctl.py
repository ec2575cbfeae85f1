"""`samphirectl`: command-line client of the operator API."""

import difflib
import sys
import uuid
from pathlib import Path
from typing import Annotated, Any, TypeVar
from urllib.parse import quote, urlencode

import anyio
import msgspec
import typer
from rich.table import Table

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
)
from samphirespring.process.errors import DECODE_ERRORS, SamphireError
from samphirespring.process.ids import ReplicaId
from samphirespring.process.operation.dump_reader import read_dump
from samphirespring.process.operation.dump_tables import make_dump_tables
from samphirespring.process.operation.exit_status import ExitStatus
from samphirespring.process.operation.explanation import explain_request
from samphirespring.process.operation.session import CommandSession, exit_with_usage_error
from samphirespring.process.operation.tables import (
    make_document_table,
    make_explanation_table,
    make_history_table,
    make_host_table,
    make_progress_table,
    make_report_table,
    make_status_table,
)
from samphirespring.process.operation.waiting import wait_until_in_force
from samphirespring.process.timers import MonotonicTimerService
from samphirespring.version.document import Document
from samphirespring.version.document_changes import compare_documents
from samphirespring.version.document_check import DocumentReport, check_document
from samphirespring.version.ids import DocumentVersion, SectionName
from samphirespring.version.parser import DocumentInvalidError, build_document, split_document

BodyT = TypeVar("BodyT")

DEFAULT_CONTROL = "127.0.0.1:21002"
DEFAULT_TIMEOUT_S = 10.0
DEFAULT_WAIT_S = 60.0

app = typer.Typer(no_args_is_help=True, add_completion=False)

SectionArgument = Annotated[str, typer.Argument(help="Name of the section.")]
BaseOption = Annotated[
    int, typer.Option("--base", help="Version that the change is based on; 0 adds a section.")
]
ChangeIdOption = Annotated[
    str | None, typer.Option(help="Id of the change; repeat it to retry the same change.")
]
WaitOption = Annotated[
    bool, typer.Option("--wait", help="Wait until the version is in force everywhere.")
]
WaitTimeoutOption = Annotated[float, typer.Option(help="Longest wait, in seconds.")]
LocalOption = Annotated[
    bool, typer.Option("--local", help="Read the responding host's own copy, which may be stale.")
]
EndOption = Annotated[bool, typer.Option("--end", help="End the drain.")]


@app.callback()
def configure(
    context: typer.Context,
    control: Annotated[
        list[str] | None,
        typer.Option(envvar="SAMPHIRE_CONTROL", help="`IP:port` of a control host; repeatable."),
    ] = None,
    token: Annotated[
        str, typer.Option(envvar="SAMPHIRE_TOKEN", help="Bearer token of the team.")
    ] = "",
    token_file: Annotated[Path | None, typer.Option(help="File with the bearer token.")] = None,
    authority_file: Annotated[
        Path | None,
        typer.Option(help="PEM file with the control hosts' certificate authority; enables TLS."),
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
    timeout_s: Annotated[
        float, typer.Option(help="Timeout of one request, in seconds.")
    ] = DEFAULT_TIMEOUT_S,
) -> None:
    """Operate a fleet: read and change the document, check what is in force, drain and dump."""
    context.obj = CommandSession(
        addresses=tuple(control or [DEFAULT_CONTROL]),
        token=token if token_file is None else _read_file(token_file).decode().strip(),
        authority_file=authority_file,
        as_json=as_json,
        timeout_s=timeout_s,
    )


@app.command()
def document(context: typer.Context, local: LocalOption = False) -> None:
    """Print the whole document."""
    session: CommandSession = context.obj
    view = _fetch_view(session, _add_local_query("/v1/document", local), DocumentView)
    session.show(view, make_document_table(view))


@app.command()
def section(context: typer.Context, name: SectionArgument, local: LocalOption = False) -> None:
    """Print one section as editable JSON; its version goes to standard error."""
    session: CommandSession = context.obj
    view = _fetch_view(session, _add_local_query(_make_section_path(name), local), SectionView)
    if session.as_json:
        session.show_json(msgspec.json.encode(view))
        return
    typer.echo(f"version {view.version}", err=True)
    session.show_json(bytes(view.content))


@app.command()
def put(
    context: typer.Context,
    name: SectionArgument,
    file: Annotated[Path, typer.Argument(help="File with the section's JSON text.")],
    base: BaseOption,
    change_id: ChangeIdOption = None,
    wait: WaitOption = False,
    wait_timeout_s: WaitTimeoutOption = DEFAULT_WAIT_S,
) -> None:
    """Add or replace a section."""
    session: CommandSession = context.obj
    text = _read_file(file)
    try:
        msgspec.json.decode(text)
    except DECODE_ERRORS as error:
        exit_with_usage_error(f"{file}: {error}")
    body = ChangeBody(
        base_version=base, change_id=change_id or uuid.uuid4().hex, content=msgspec.Raw(text)
    )
    _submit_change(
        session, "PUT", _make_section_path(name), body, wait_s=wait_timeout_s if wait else None
    )


@app.command()
def delete(
    context: typer.Context,
    name: SectionArgument,
    base: BaseOption,
    change_id: ChangeIdOption = None,
    wait: WaitOption = False,
    wait_timeout_s: WaitTimeoutOption = DEFAULT_WAIT_S,
) -> None:
    """Delete a section."""
    session: CommandSession = context.obj
    query = urlencode({"base_version": base, "change_id": change_id or uuid.uuid4().hex})
    path = f"{_make_section_path(name)}?{query}"
    _submit_change(session, "DELETE", path, None, wait_s=wait_timeout_s if wait else None)


@app.command()
def diff(
    context: typer.Context,
    name: SectionArgument,
    file: Annotated[
        Path | None, typer.Argument(help="File to compare with the section in force.")
    ] = None,
    old: Annotated[int | None, typer.Option("--from", help="Version of the old text.")] = None,
    new: Annotated[int | None, typer.Option("--to", help="Version of the new text.")] = None,
) -> None:
    """Compare a section with a file, or compare two of its versions."""
    session: CommandSession = context.obj
    if file is not None:
        view = _fetch_view(session, _make_section_path(name), SectionView)
        typer.echo(_make_diff(bytes(view.content), _read_file(file), view.version, file), nl=False)
    elif old is not None and new is not None:
        path = f"{_make_section_path(name)}/diff?{urlencode({'from': old, 'to': new})}"
        typer.echo(_send(session, "GET", path).decode(), nl=False)
    else:
        exit_with_usage_error("give a file, or --from and --to")


@app.command()
def check(
    context: typer.Context,
    files: Annotated[list[Path], typer.Argument(help="Files with JSON texts of sections by name.")],
    against: Annotated[
        Path | None, typer.Option(help="File with the document to show the differences from.")
    ] = None,
) -> None:
    """Check a document before it is sent: problems, entries without effect, odd limits."""
    session: CommandSession = context.obj
    try:
        document = _merge_files(files)
        before = None if against is None else _merge_files([against])
    except DocumentInvalidError as error:
        for problem in error.problems:
            typer.echo(problem, err=True)
        sys.exit(ExitStatus.INVALID.value)
    report = DocumentReport(
        findings=check_document(document),
        changes=() if before is None else compare_documents(before, document),
    )
    session.show(report, make_report_table(report))


@app.command()
def history(
    context: typer.Context,
    section: Annotated[str | None, typer.Option(help="Show only changes of this section.")] = None,
    limit: Annotated[int, typer.Option(help="Number of most recent changes to show.")] = 100,
) -> None:
    """Show which team changed which section, and when."""
    session: CommandSession = context.obj
    query = {"limit": limit} if section is None else {"limit": limit, "section": section}
    view = _fetch_view(session, f"/v1/document/history?{urlencode(query)}", HistoryView)
    session.show(view, make_history_table(view))


@app.command("in-force")
def show_in_force(
    context: typer.Context,
    version: Annotated[
        int | None, typer.Option(help="Version to show; default: the newest.")
    ] = None,
    wait: WaitOption = False,
    wait_timeout_s: WaitTimeoutOption = DEFAULT_WAIT_S,
) -> None:
    """Show on how many hosts of each region and failure domain a version is in force."""
    session: CommandSession = context.obj
    path = "/v1/document/in-force" + ("" if version is None else f"?version={version}")
    view = _fetch_view(session, path, InForceView)
    if wait:
        _show_once_in_force(session, view.version, wait_timeout_s)
    else:
        session.show(view, make_progress_table(view))


@app.command()
def status(context: typer.Context) -> None:
    """Show the members of the replica groups, and the progress of the newest document version."""
    session: CommandSession = context.obj
    view = _fetch_view(session, "/v1/status", StatusView)
    session.show(view, make_status_table(view))


@app.command("replace-replica")
def replace_replica(context: typer.Context, lost: str, replacement: str) -> None:
    """Replace a lost control host by one with an empty data folder, in all groups."""
    session: CommandSession = context.obj
    view = _fetch_view(session, "/v1/status", StatusView)
    for group in view.groups:
        path = f"/v1/groups/{group.group}/replicas/{quote(lost, safe='')}/replacement"
        _send(session, "PUT", path, ReplacementBody(replacement=ReplicaId(replacement)))


@app.command()
def hosts(context: typer.Context) -> None:
    """Show the hosts in the registry."""
    session: CommandSession = context.obj
    views = _fetch_view(session, "/v1/hosts", list[HostView])
    session.show(views, make_host_table(views))


@app.command("drain-host")
def drain_host(context: typer.Context, host: str, end: EndOption = False) -> None:
    """Send no new work to any target of a host."""
    _send(
        context.obj, "PUT", f"/v1/hosts/{quote(host, safe='')}/drain", DrainBody(draining=not end)
    )


@app.command("drain-target")
def drain_target(context: typer.Context, target: str, end: EndOption = False) -> None:
    """Send no new work to one target."""
    path = f"/v1/targets/{quote(target, safe='')}/drain"
    _send(context.obj, "PUT", path, DrainBody(draining=not end))


@app.command()
def dump(
    context: typer.Context,
    host: Annotated[str | None, typer.Option(help="Host whose node to dump.")] = None,
    address: Annotated[
        str | None, typer.Option(help="`IP:port` of a process to read the dump from directly.")
    ] = None,
    table: Annotated[bool, typer.Option("--table", help="Print tables instead of JSON.")] = False,
    follow: Annotated[bool, typer.Option(help="Fetch all pages of long lists.")] = True,
) -> None:
    """Print the whole state of a control host or node as JSON."""
    session: CommandSession = context.obj
    if address is not None:
        session = msgspec.structs.replace(session, addresses=(address,))
    path = "/v1/dump" if host is None else f"/v1/hosts/{quote(host, safe='')}/dump"

    def fetch(subpath: str) -> bytes:
        return _send(session, "GET", path + subpath)

    state = read_dump(fetch) if follow else msgspec.json.decode(fetch(""))
    if table:
        session.show_tables(make_dump_tables(state))
    else:
        session.show_json(msgspec.json.encode(state))


@app.command()
def explain(
    context: typer.Context,
    request: Annotated[str, typer.Argument(help="Id of the request, as the caller sent it.")],
    logs: Annotated[list[Path], typer.Argument(help="Log files of the processes.")],
) -> None:
    """Show what happened to a request and why, from collected log files alone."""
    session: CommandSession = context.obj
    try:
        steps = explain_request(request, logs)
    except OSError as error:
        exit_with_usage_error(f"{error.filename}: {error.strerror}")
    except SamphireError as error:
        session.exit_with_error(error)
    session.show(steps, make_explanation_table(request, steps))


def _send(session: CommandSession, method: str, path: str, body: Any = None) -> bytes:
    try:
        return anyio.run(session.make_client().send, method, path, body)
    except SamphireError as error:
        session.exit_with_error(error)


def _fetch_view(session: CommandSession, path: str, body_type: type[BodyT]) -> BodyT:
    return msgspec.json.decode(_send(session, "GET", path), type=body_type)


def _submit_change(
    session: CommandSession, method: str, path: str, body: Any, *, wait_s: float | None
) -> None:
    view = msgspec.json.decode(_send(session, method, path, body), type=ChangeView)
    if wait_s is not None:
        _show_once_in_force(session, DocumentVersion(view.version), wait_s)
        return
    table = Table("section", "version", "change id")
    table.add_row(view.section, str(view.version), view.change_id)
    session.show(view, table)


def _show_once_in_force(
    session: CommandSession, version: DocumentVersion, timeout_s: float
) -> None:
    async def wait() -> InForceView:
        return await wait_until_in_force(
            session.make_client(),
            version,
            timers=MonotonicTimerService(),
            timeout_s=timeout_s,
            show_progress=not session.as_json,
        )

    try:
        view = anyio.run(wait)
    except SamphireError as error:
        session.exit_with_error(error)
    session.show(view, make_progress_table(view))
    if not view.complete:
        sys.exit(ExitStatus.WAIT_EXPIRED.value)


def _make_diff(current: bytes, changed: bytes, version: int, file: Path) -> str:
    try:
        texts = [msgspec.json.format(text, indent=2).decode() for text in (current, changed)]
    except DECODE_ERRORS as error:
        exit_with_usage_error(f"{file}: {error}")
    old, new = (text.splitlines(keepends=False) for text in texts)
    lines = difflib.unified_diff(old, new, f"version {version}", str(file), lineterm="")
    return "".join(f"{line}\n" for line in lines)


def _merge_files(files: list[Path]) -> Document:
    """Return the document of all files; later ones replace the sections of earlier ones."""
    texts: dict[SectionName, bytes] = {}
    for file in files:
        texts |= split_document(_read_file(file))
    return build_document(texts, version=DocumentVersion(1))


def _read_file(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        exit_with_usage_error(f"{path}: {error.strerror}")


def _make_section_path(name: str) -> str:
    return f"/v1/document/sections/{quote(name, safe='')}"


def _add_local_query(path: str, local: bool) -> str:
    return f"{path}?local=true" if local else path


def main() -> None:
    """Run the program."""
    app()
