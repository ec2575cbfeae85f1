import contextlib
import json
import os
import socket
import ssl
import subprocess
import tempfile
from pathlib import Path

import anyio
from behave import given, then, when
from cryptography import x509

from document.certificates import Authority
from document.operators import run_operators
from document.samples import OPERATORS, make_token
from fleet.client import send_request
from fleet.example import place_example, read_address
from fleet.processes import PROGRAM_FOLDER, run_fleet
from samphirespring.connection.document_link import WATCH_DOCUMENT, DocumentNotice, WatchDocument
from samphirespring.connection.http_server import serve_http
from samphirespring.connection.link_client import Link
from samphirespring.connection.link_errors import LinkUnavailableError
from samphirespring.connection.link_server import UnaryHandler, serve_link
from samphirespring.connection.operator_client import NoControlHostError, OperatorClient
from samphirespring.connection.operator_messages import DocumentView
from samphirespring.process.metrics.metrics import NullMetrics
from samphirespring.process.runtime import run_tasks
from samphirespring.process.timers import ManualTimerService, MonotonicTimerService
from samphirespring.process.tls import make_client_context
from samphirespring.process.tls_reloader import CHECK_INTERVAL_S, TlsContextStore, TlsReloader
from samphirespring.version.stamp import NO_STAMP

PORT_OFFSET = int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))
PORT = 20_900 + PORT_OFFSET
ADDRESS = f"127.0.0.1:{PORT}"


@given("two authorities and a link server with mutual TLS")
@given("two authorities and the operator API over TLS")
def step_make_authorities(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.own_authority = Authority(Path(folder.name), "own")
    context.other_authority = Authority(Path(folder.name), "other")
    context.server_files = context.own_authority.issue("server")


async def reply_with_notice(request):
    return DocumentNotice(stamp=request.known, age_s=0.0)


async def call(tls):
    link = Link(ADDRESS, tls=tls)
    try:
        request = WatchDocument(known=NO_STAMP, wait_s=0.0)
        return await link.call(WATCH_DOCUMENT, request, timeout_s=5.0)
    finally:
        link.close()


@contextlib.asynccontextmanager
async def run_server(context):
    store = TlsContextStore()
    tls = store.make_server(context.server_files, mutual=True)
    timers = ManualTimerService()
    reloader = TlsReloader(contexts=store.contexts, timers=timers, metrics=NullMetrics())
    handlers = [UnaryHandler(WATCH_DOCUMENT, reply_with_notice)]
    async with (
        run_tasks([reloader]),
        serve_link(handlers, address=ADDRESS, tls=tls),
    ):
        await anyio.wait_all_tasks_blocked()
        yield timers, reloader


def call_server(context, tls):
    async def main():
        async with run_server(context):
            try:
                return await call(tls)
            except LinkUnavailableError as error:
                return error

    return anyio.run(main)


@then("a peer of the same authority gets a reply")
def step_same_authority(context):
    notice = call_server(context, make_client_context(context.own_authority.issue("peer")))
    assert notice.stamp == NO_STAMP


@then("a peer of another authority is refused")
def step_other_authority(context):
    # The peer trusts the server's authority, so that only its own certificate is wrong.
    settings = context.other_authority.issue("foreign", authority_file=context.own_authority.file)
    expect_refusal(context, make_client_context(settings))


@then("a peer without TLS is refused")
def step_no_tls(context):
    expect_refusal(context, None)


def expect_refusal(context, tls):
    result = call_server(context, tls)
    assert isinstance(result, LinkUnavailableError), result


async def read_serial():
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE

    def connect():
        with (
            socket.create_connection(("127.0.0.1", PORT), timeout=5.0) as plain,
            context.wrap_socket(plain) as secure,
        ):
            return secure.getpeercert(binary_form=True)

    certificate = await anyio.to_thread.run_sync(connect)
    return x509.load_der_x509_certificate(certificate).serial_number


def touch(path):
    """Advance a file's modification time by 1 s, so that coarse file times show the change."""
    status = os.stat(path)
    os.utime(path, ns=(status.st_atime_ns, status.st_mtime_ns + 1_000_000_000))


@when("the server's files are replaced and its reloader checks them")
def step_replace(context):
    async def main():
        async with run_server(context) as (timers, reloader):
            context.serials = [await read_serial()]
            context.own_authority.issue("server")
            touch(context.server_files.key_file)
            timers.advance(CHECK_INTERVAL_S)
            await anyio.wait_all_tasks_blocked()
            context.serials.append(await read_serial())
            Path(context.server_files.key_file).write_text("no key")
            touch(context.server_files.key_file)
            timers.advance(CHECK_INTERVAL_S)
            await anyio.wait_all_tasks_blocked()
            context.serials.append(await read_serial())
            context.dump = await reloader.dump()

    anyio.run(main)


@then("the server presents the new certificate")
def step_check_new(context):
    assert context.serials[0] != context.serials[1]
    assert context.dump.reload_count == 1


@then("a damaged key file doesn't replace the certificate")
def step_check_damaged(context):
    assert context.serials[2] == context.serials[1]
    assert context.dump.failed_files == (context.server_files.certificate_file,)


async def read_document(authority_file):
    tls = ssl.create_default_context(cafile=str(authority_file))
    client = OperatorClient(
        addresses=[ADDRESS],
        token=make_token(OPERATORS),
        tls=tls,
        timers=MonotonicTimerService(),
        timeout_s=0.1,
    )
    return await client.read("/v1/document", DocumentView)


def read_over_tls(context, authority_file):
    async def main():
        tls = TlsContextStore().make_server(context.server_files, mutual=False)
        async with run_operators() as fixture, serve_http(fixture.app, address=ADDRESS, tls=tls):
            try:
                return await read_document(authority_file)
            except NoControlHostError as error:
                return error

    return anyio.run(main)


@then("a client that trusts the authority reads the document")
def step_read_trusted(context):
    assert read_over_tls(context, context.own_authority.file).version == 1


@then("a client that trusts another authority can't read it")
def step_read_untrusted(context):
    result = read_over_tls(context, context.other_authority.file)
    assert isinstance(result, NoControlHostError), result


@given("settings of a control host whose key file is missing")
def step_missing_key(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    server_files = Authority(Path(folder.name), "own").issue("server")
    Path(server_files.key_file).unlink()
    files = make_tls_settings(server_files)
    example = place_example(
        "wheatsheaf", Path(folder.name), overrides={"control-1.json": {"link_tls": files}}
    )
    context.settings_file = example.controls[0]
    assert json.loads(context.settings_file.read_text())["link_tls"] == files


@then('"{program}" exits with status {status:d} and "{code}"')
def step_check_program(context, program, status, code):
    result = subprocess.run(
        [str(PROGRAM_FOLDER / program), "--settings", str(context.settings_file)],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert result.returncode == status, result
    assert code in result.stderr
    assert "Traceback" not in result.stderr


def make_tls_settings(settings):
    return {
        "certificate_file": settings.certificate_file,
        "key_file": settings.key_file,
        "authority_file": settings.authority_file,
    }


@given("a fleet whose links use mutual TLS and whose operators use TLS")
def step_tls_fleet(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.own_authority = Authority(Path(folder.name), "own")
    example = place_example("wheatsheaf", Path(folder.name), port_offset=PORT_OFFSET)
    for path in (*example.controls, *example.nodes):
        settings = json.loads(path.read_text())
        identity = make_tls_settings(context.own_authority.issue(path.stem))
        settings["link_tls"] = identity
        if path in example.controls:
            settings["operator_tls"] = identity
        path.write_text(json.dumps(settings))
    fleet = run_fleet(example)
    context.fleet = fleet.__enter__()
    context.add_cleanup(fleet.__exit__, None, None, None)


@then("each node serves a caller's request")
def step_tls_requests(context):
    for path in context.fleet.example.nodes:
        response = send_request(
            read_address(path, "caller_listen"),
            "GET",
            "/bread",
            headers={"Host": "recipes.wheatsheaf.example"},
        )
        assert response.status == 200, response


@then('"samphirectl" changes a section over TLS, and it comes into force everywhere')
def step_tls_change(context):
    section = json.loads(context.fleet.example.document.read_text())["recipes"]
    section["routes"][0]["deadline_ms"] = 1_234
    file = context.fleet.example.folder / "section.txt"
    file.write_text(json.dumps(section))
    addresses = [read_address(path, "operator_listen") for path in context.fleet.example.controls]
    result = subprocess.run(
        [
            str(PROGRAM_FOLDER / "samphirectl"),
            *[part for address in addresses for part in ("--control", address)],
            *("--authority-file", str(context.own_authority.file)),
            *("put", "recipes", str(file), "--base", "1", "--wait"),
        ],
        env={**os.environ, "SAMPHIRE_TOKEN": "example-token-recipes"},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert result.returncode == 0, result
    assert "in force everywhere" in result.stdout, result
