import asyncio
import os
import socket

import anyio
import grpclib.client
import h2.exceptions
from behave import given, then, when

from samphirespring.connection.attempt_channel import RUN_ATTEMPTS
from samphirespring.connection.attempt_link import RUN_ATTEMPT
from samphirespring.connection.document_link import WATCH_DOCUMENT, WatchDocument
from samphirespring.connection.link_client import Link
from samphirespring.connection.link_server import DuplexHandler
from samphirespring.process.errors import SamphireError
from samphirespring.version.stamp import NO_STAMP

PORT = 20_910 + int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))


@given("a peer that closes each link during a call")
def step_peer(context):
    async def close(stream):
        await stream.receive()
        await stream.aclose()

    context.close = close


@given("a peer whose connections are lost as they open")
def step_lost_connections(context):
    connect = grpclib.client.Channel._create_connection

    async def connect_and_lose(channel):
        protocol = await connect(channel)
        protocol.connection_lost(None)
        return protocol

    grpclib.client.Channel._create_connection = connect_and_lose
    context.add_cleanup(setattr, grpclib.client.Channel, "_create_connection", connect)

    async def ignore(stream):
        await anyio.sleep_forever()

    context.close = ignore


async def call_unary(link):
    await link.call(WATCH_DOCUMENT, WatchDocument(known=NO_STAMP, wait_s=0.0), timeout_s=5.0)


async def call_stream(link):
    async with link.open_stream(RUN_ATTEMPT, None) as frames:
        async for _ in frames:
            pass


@when("a task makes a {kind} call, and then uses a cancel scope")
def step_call(context, kind):
    call = {"unary": call_unary, "stream": call_stream}[kind]
    context.continued = False

    async def run_task():
        link = Link(f"127.0.0.1:{PORT}")
        try:
            await call(link)
        except SamphireError as error:
            context.code = error.code.value
        finally:
            link.close()
        context.cancellations = asyncio.current_task().cancelling()
        async with anyio.create_task_group() as group:
            group.start_soon(anyio.sleep_forever)
            await anyio.lowlevel.checkpoint()
            group.cancel_scope.cancel()
        context.continued = True

    async def main():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=PORT)
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, context.close)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(run_task)
            group.cancel_scope.cancel()

    anyio.run(main)


@then('the call fails with "{code}"')
def step_check_code(context, code):
    assert context.code == code


@then("the task continues after the scope")
def step_check_continued(context):
    assert context.continued
    assert context.cancellations == 0, "the task's cancellation count is still raised"


class FakeSocket:
    """Socket whose `tcp_info` shows a number of consecutive retransmission timeouts."""

    def __init__(self, timeouts):
        self.head = bytes([1, 0, timeouts, 0, 0, 0, 0, 0])

    def getsockopt(self, level, option, size):
        assert (level, option) == (socket.IPPROTO_TCP, socket.TCP_INFO)
        return self.head[:size]


@given("a link with {timeouts:d} retransmission timeouts in a row")
def step_unacknowledged_link(context, timeouts):
    context.link_socket = FakeSocket(timeouts)


@when("a task makes a stream call")
def step_stream_call(context):
    context.received = 0
    context.error = None

    async def receive(stream):
        context.received += len(await stream.receive())
        await stream.aclose()

    async def run_task(group):
        link = Link(f"127.0.0.1:{PORT}")
        link._channel.link_socket = context.link_socket
        try:
            await call_stream(link)
        except SamphireError as error:
            context.error = error
        link.close()
        group.cancel_scope.cancel()

    async def main():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=PORT)
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, receive)
            group.start_soon(run_task, group)

    anyio.run(main)


@then("the call fails before anything is sent")
def step_check_unsent(context):
    assert context.error.sent is False
    assert context.received == 0


@then("the request is sent")
def step_check_sent(context):
    assert context.error.sent is True
    assert context.received > 0


@given("a host that ignores connection requests")
def step_unresponsive_host(context):
    # The kernel drops SYN packets while the accept queue is full.
    listener = socket.create_server(("127.0.0.1", PORT), backlog=0)
    context.add_cleanup(listener.close)
    for _ in range(2):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(("127.0.0.1", PORT))
        context.add_cleanup(filler.close)


@when("a task makes a call with a timeout of {timeout:d} s")
def step_long_call(context, timeout):
    async def main():
        link = Link(f"127.0.0.1:{PORT}")
        start_s = anyio.current_time()
        try:
            await link.call(
                WATCH_DOCUMENT, WatchDocument(known=NO_STAMP, wait_s=0.0), timeout_s=float(timeout)
            )
        except SamphireError as error:
            context.code = error.code.value
        context.duration_s = anyio.current_time() - start_s
        link.close()

    anyio.run(main)


@then('the call fails with "{code}" within {limit:f} s')
def step_check_soon(context, code, limit):
    assert context.code == code
    assert context.duration_s <= limit, context.duration_s


class ClosedStream:
    """A server's stream that was closed while its handler prepared a reply."""

    async def recv_message(self):
        await anyio.sleep_forever()

    async def send_message(self, message):
        raise h2.exceptions.StreamClosedError(1)


@given("a call whose stream was closed just before a reply")
def step_closed_stream(context):
    context.stream = ClosedStream()


@when("the server sends the reply")
def step_send_reply(context):
    async def handle(messages, send):
        try:
            await send(None)
        except SamphireError as error:
            context.code = error.code.value

    anyio.run(DuplexHandler(RUN_ATTEMPTS, handle)._serve, context.stream)


@then('the sender is told "{code}"')
def step_check_told(context, code):
    assert context.code == code, context.code
