"""Steps of accepting.feature."""

import asyncio
import logging
import os
import resource
import socket
import time
from collections import Counter
from contextlib import asynccontextmanager, contextmanager, suppress
from unittest import mock

import anyio
import structlog
import structlog.testing
from behave import given, then, when

from samphirespring.connection.http_server import serve_http
from samphirespring.connection.link_server import serve_link
from samphirespring.process.composition.node import RESERVED_DESCRIPTOR_SHARE
from samphirespring.process.event_loop.watched_loop import make_backend_options

ADDRESS = ("127.0.0.1", 26431)
POLL_INTERVAL_S = 0.05


async def _respond(scope, receive, send):
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b""})


@asynccontextmanager
async def _serve(kind):
    address = f"{ADDRESS[0]}:{ADDRESS[1]}"
    if kind == "requests":
        async with serve_http(_respond, address=address, reserved_share=RESERVED_DESCRIPTOR_SHARE):
            yield
    else:
        async with serve_link([], address=address):
            yield


@contextmanager
def _descriptors_left(count):
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    highest = max(int(name) for name in os.listdir("/proc/self/fd"))
    # The limit is on numbers, so all lower ones have to be in use.
    fillers = []
    while (filler := os.open(os.devnull, os.O_RDONLY)) <= highest:
        fillers.append(filler)
    os.close(filler)
    resource.setrlimit(resource.RLIMIT_NOFILE, (highest + 1 + count, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        for filler in fillers:
            os.close(filler)


def _count_spare_descriptors():
    opened = []
    with suppress(OSError):
        while True:
            opened.append(os.open(os.devnull, os.O_RDONLY))
    for descriptor in opened:
        os.close(descriptor)
    return len(opened)


class _CountedReports:
    """Counts the connections that the event loop reports as not accepted."""

    def __init__(self):
        self.count = 0

    def __call__(self, loop, report):
        self.count += "out of system resource" in report["message"]


async def _run_without_descriptors(context, count, duration_s):
    clients = [socket.socket() for _ in range(count)]
    reports = _CountedReports()
    asyncio.get_running_loop().set_exception_handler(reports)
    with _descriptors_left(context.descriptors):
        async with _serve(context.kind):
            for client in clients:
                client.setblocking(False)
                client.connect_ex(ADDRESS)
            turns = asyncio.create_task(_count_turns(context)) if context.counts_turns else None
            began_s = time.process_time()
            await anyio.sleep(duration_s)
            context.processor_s = time.process_time() - began_s
            context.failed_tries = reports.count
            if turns is not None:
                turns.cancel()
            context.accepted_by_turn = dict(context.by_turn)
            context.spare_descriptors = _count_spare_descriptors()
            for client in clients:
                client.close()
            await _connect_again(context)


async def _count_turns(context):
    while True:
        await asyncio.sleep(0)
        context.turn += 1


async def _connect_again(context):
    began_s = time.monotonic()
    # The kernel keeps closed connections in the queue of the listener: they are accepted first.
    with socket.socket() as client:
        client.setblocking(False)
        client.connect_ex(ADDRESS)
        own_port = client.getsockname()[1]
        with anyio.move_on_after(10):
            while own_port not in context.accepted_ports:
                await anyio.sleep(POLL_INTERVAL_S)
    context.accepted_after_s = time.monotonic() - began_s


@given("a server for {kind} in a process that has {descriptors:d} descriptors left")
def step_server(context, kind, descriptors):
    context.kind = kind
    context.descriptors = descriptors


@when("{count:d} connections are opened and {duration:g} s pass")
def step_open(context, count, duration):
    accept = socket.socket.accept
    context.accepted_ports = set()
    context.by_turn = Counter()
    context.turn = 0
    # Counting turns keeps the event loop awake, which other scenarios measure.
    context.counts_turns = context.descriptors >= count

    def record(listener):
        connection, peer = accept(listener)
        context.by_turn[context.turn] += 1
        context.accepted_ports.add(peer[1])
        return connection, peer

    before = structlog.get_config()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.INFO))
    try:
        with (
            structlog.testing.capture_logs() as lines,
            mock.patch.object(socket.socket, "accept", record),
        ):
            anyio.run(
                _run_without_descriptors,
                context,
                count,
                duration,
                backend_options=make_backend_options(),
            )
    finally:
        structlog.configure(**before)
    context.lines = lines


@then("at most {limit:d} tries to accept a connection failed")
def step_tries(context, limit):
    assert 1 <= context.failed_tries <= limit, context.failed_tries


@then('the log has between {least:d} and {most:d} lines "{event}"')
def step_lines(context, least, most, event):
    count = sum(line["event"] == event for line in context.lines)
    assert least <= count <= most, count


@then("the process used less than {limit:g} s of processor time")
def step_processor_time(context, limit):
    assert context.processor_s < limit, context.processor_s


@then("within {limit:d} s after the connections are closed a new one is accepted")
def step_accepted(context, limit):
    assert context.accepted_after_s < limit, context.accepted_after_s


@then("the process could open at least {count:d} more descriptors")
def step_spare(context, count):
    assert context.spare_descriptors >= count, context.spare_descriptors


@then("{count:d} connections were accepted, at most {most:d} of them in one step")
def step_accepted_in_steps(context, count, most):
    accepted = context.accepted_by_turn
    assert sum(accepted.values()) == count and max(accepted.values()) <= most, accepted
