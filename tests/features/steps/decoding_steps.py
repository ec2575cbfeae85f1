import json
import os
import tempfile
from pathlib import Path

import anyio
import msgspec
from behave import then, when
from hypothesis import given as with_values
from hypothesis import settings
from hypothesis import strategies as st

from document.samples import make_document
from samphirespring.connection.document_link import FETCH_DELTA, WATCH_DOCUMENT
from samphirespring.connection.link_client import Link
from samphirespring.connection.link_errors import RemoteError
from samphirespring.connection.link_methods import UnaryMethod
from samphirespring.connection.link_server import UnaryHandler, serve_link
from samphirespring.process.document.store import DocumentStore
from samphirespring.process.errors import ErrorCode
from samphirespring.process.runtime import run_tasks
from samphirespring.process.settings import (
    ControlSettings,
    NodeSettings,
    SettingsInvalidError,
    load_settings,
)
from samphirespring.process.timers import MonotonicTimerService
from samphirespring.version.parser import DocumentInvalidError, parse_document

PORT = 20_920 + int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))

texts = st.text(max_size=20)
values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | texts,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(texts, inner, max_size=3),
    max_leaves=8,
)


def fits_message(value):
    """Return whether a value can be encoded: MessagePack has no integers beyond 64 bits."""
    try:
        msgspec.msgpack.encode(value)
    except OverflowError:
        return False
    return True


def list_paths(value, path=()):
    """Return the path of every part of a JSON value."""
    yield path
    if isinstance(value, dict | list):
        items = value.items() if isinstance(value, dict) else enumerate(value)
        for key, item in items:
            yield from list_paths(item, (*path, key))


def replace_part(value, path, part):
    if not path:
        return part
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = replace_part(value[path[0]], path[1:], part)
    return copy


def make_damaged_texts(value):
    """Return texts with one part of a valid value replaced, and texts that aren't JSON."""
    paths = st.sampled_from(list(list_paths(value)))
    damaged = st.builds(lambda path, part: replace_part(value, path, part), paths, values)
    return damaged.map(lambda part: json.dumps(part).encode()) | st.binary(max_size=40)


@when("{count:d} random texts are read as documents")
def step_read_documents(context, count):
    context.outcomes = []

    @settings(max_examples=count)
    @with_values(make_damaged_texts(make_document()))
    def read(text):
        try:
            context.outcomes.append(parse_document(text, version=1))
        except DocumentInvalidError as error:
            context.outcomes.append(error)

    read()


@then('each gives a document or "{code}" with at least one problem')
def step_check_documents(context, code):
    errors = [outcome for outcome in context.outcomes if isinstance(outcome, Exception)]
    assert 50 < len(errors) <= len(context.outcomes)
    assert all(error.code.value == code and error.problems for error in errors)


@when("{count:d} random texts are read as settings")
def step_read_settings(context, count):
    context.outcomes = []
    examples = Path(__file__).resolve().parents[3] / "examples" / "wheatsheaf"
    node = json.loads((examples / "node-sask-1.json").read_text())
    control = json.loads((examples / "control-1.json").read_text())
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"

        @settings(max_examples=count)
        @with_values(
            make_damaged_texts(node) | make_damaged_texts(control),
            st.sampled_from([NodeSettings, ControlSettings]),
        )
        def read(text, settings_type):
            path.write_bytes(text)
            try:
                context.outcomes.append(load_settings(path, settings_type))
            except SettingsInvalidError as error:
                context.outcomes.append(error)

        read()


@then('each gives settings or "{code}"')
def step_check_settings(context, code):
    errors = [outcome for outcome in context.outcomes if isinstance(outcome, Exception)]
    assert len(errors) > 50
    assert all(error.code.value == code for error in errors)


@when("{count:d} random messages are sent to a link server")
def step_send_messages(context, count):
    messages = []

    @settings(max_examples=count)
    @with_values(st.dictionaries(st.sampled_from(["known", "wait_s"]), values, max_size=2) | values)
    def collect(value):
        if fits_message(value):
            messages.append(value)

    collect()
    assert len(messages) > count // 2
    context.outcomes = []

    async def main():
        store = DocumentStore(timers=MonotonicTimerService())
        handlers = [
            UnaryHandler(WATCH_DOCUMENT, store.watch),
            UnaryHandler(FETCH_DELTA, store.fetch),
        ]
        link = Link(f"127.0.0.1:{PORT}")
        async with run_tasks([store]), serve_link(handlers, address=f"127.0.0.1:{PORT}"):
            for position, message in enumerate(messages):
                path = (WATCH_DOCUMENT, FETCH_DELTA)[position % 2].path
                method = UnaryMethod(path=path, request_type=None, reply_type=msgspec.Raw)
                try:
                    context.outcomes.append(await link.call(method, message, timeout_s=5.0))
                except RemoteError as error:
                    context.outcomes.append(error)
            link.close()

    anyio.run(main)


@then('each gets a reply or "{code}"')
def step_check_messages(context, code):
    errors = [outcome for outcome in context.outcomes if isinstance(outcome, RemoteError)]
    assert len(errors) > 50
    assert {error.remote_code for error in errors} == {ErrorCode(code)}
