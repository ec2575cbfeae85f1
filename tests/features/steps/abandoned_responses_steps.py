import gc
import tracemalloc

import anyio
from behave import given, then, when

from front.abandoning_front import AbandoningFront
from front.fakes import LOAD, make_attempt_message
from samphirespring.connection.attempt_channel import AttemptFrames, OpenAttempt
from samphirespring.connection.channel_server import AttemptChannelServer
from samphirespring.request.attempt_starter import AttemptHandle, AttemptStarter
from samphirespring.request.messages import (
    FrameBatch,
    ResponseChunk,
    ResponseEnd,
    ResponseHead,
)

MIB = 1 << 20
TIMEOUT_S = 20.0
SETTLE_S = 0.4
IDLE_LIMIT_S = 4.0

POLL_S = 0.01
PART_BYTES = 65_536
HEAD = b"HTTP/1.1 200 OK\r\n"
LONG_BYTES = 1 << 40


def make_chunk(size_bytes):
    return b"%x\r\n%b\r\n" % (size_bytes, b"x" * size_bytes)


FRAMINGS = {
    "in chunks": (b"Transfer-Encoding: chunked\r\n\r\n", make_chunk(PART_BYTES)),
    "in chunks of a few": (b"Transfer-Encoding: chunked\r\n\r\n", make_chunk(4) * 2_000),
    "with a length": (b"Content-Length: %d\r\n\r\n" % LONG_BYTES, b"x" * PART_BYTES),
    "until it closes": (b"\r\n", b"x" * PART_BYTES),
    "before a late head": (b"Transfer-Encoding: chunked\r\n\r\n", make_chunk(PART_BYTES)),
}


@given("a target that answers {kind} with a body without end, {framing}")
def step_endless(context, kind, framing):
    head, part = FRAMINGS[framing]

    async def script(backend, stream, _):
        if framing == "before a late head":
            await anyio.sleep(SETTLE_S)
        await backend.send(stream, HEAD + head)
        await backend.send_without_end(stream, part)

    context.script, context.is_endless = script, True
    context.members = {"idempotent": kind == "a read"}


@given("a target that answers an action with {size:d} KiB after {delay_s:g} s")
def step_short(context, size, delay_s):
    async def script(backend, stream, _):
        await anyio.sleep(delay_s)
        body = b"x" * (size << 10)
        await backend.send(stream, HEAD + b"Content-Length: %d\r\n\r\n%b" % (len(body), body))

    context.script, context.is_endless = script, False
    context.members = {"idempotent": False}


def run(context, call, *, is_local=False):
    """Await `call(front)`, and record by how much the memory in use grew at most."""
    front = AbandoningFront(context.script, is_local=is_local)
    context.front = front

    async def main():
        with anyio.fail_after(TIMEOUT_S):
            async with front.serve():
                gc.collect()
                tracemalloc.start()
                try:
                    await call(front)
                finally:
                    context.grown_bytes = tracemalloc.get_traced_memory()[1]
                    tracemalloc.stop()

    anyio.run(main)


async def take(frames, size_bytes):
    """Read at least so many bytes of a response."""
    taken_bytes = 0
    while taken_bytes < size_bytes:
        frame = await anext(frames)
        if isinstance(frame, ResponseChunk):
            taken_bytes += len(frame.data)


async def leave(context, front, taken_bytes, leaving):
    async with front.send("a", **context.members) as frames:
        await take(frames, taken_bytes)
        while not front.backend.requests:
            await anyio.sleep(POLL_S)
        if leaving == "closing its channel":
            front.channels._tasks.cancel_scope.cancel()
        elif leaving == "losing its link":
            front.links.close()


async def becomes_idle(front):
    """Return whether the agent soon runs no attempt, well before the deadline of the attempts."""
    with anyio.move_on_after(IDLE_LIMIT_S):
        await front.wait_until_idle()
        return True
    return False


@when("{who} leaves it after {taken:d} KiB by {leaving}")
def step_leave(context, who, taken, leaving):
    async def call(front):
        await leave(context, front, taken << 10, leaving)
        await anyio.sleep(SETTLE_S)
        context.is_idle = await becomes_idle(front)
        if leaving == "cancelling the attempt" and not context.is_endless:
            async with front.send("b", **context.members) as frames:
                context.next_frames = [frame async for frame in frames]

    run(context, call, is_local=who.endswith("on the host"))


@when("{count:d} attempts are left, one after the other, after {taken:d} KiB each")
def step_leave_many(context, count, taken):
    async def call(front):
        for _ in range(count):
            await leave(context, front, taken << 10, "cancelling the attempt")
        await anyio.sleep(SETTLE_S)
        context.is_idle = await becomes_idle(front)

    run(context, call)


@then("the agent's memory has grown by at most {size:d} MiB")
def step_check_memory(context, size):
    assert context.grown_bytes <= size * MIB, f"{context.grown_bytes / MIB:.1f} MiB"


@then("no attempt runs any more")
def step_check_none(context):
    assert context.is_idle


@then("the target has sent at most {size:d} MiB, its connection is closed and its slot is free")
def step_check_sent(context, size):
    backend = context.front.backend
    assert backend.sent_bytes <= size * MIB, f"{backend.sent_bytes / MIB:.1f} MiB"
    assert backend.closed.is_set()
    assert context.is_idle


@then("the action ran once, and its connection serves the next attempt")
def step_check_next(context):
    backend = context.front.backend
    assert isinstance(context.next_frames[-1], ResponseEnd), context.next_frames
    # The second request is the next attempt's.
    assert len(backend.requests) == 2 and backend.connections == 1, backend.connections


class AnsweringStarter(AttemptStarter):
    """Answers each attempt at once, and counts the responses."""

    def __init__(self, size_bytes, group):
        self.size_bytes, self.group = size_bytes, group
        self.answered = 0

    def start(self, request, *, body, sink):
        self.group.start_soon(self._answer, request, sink)
        return IdleHandle()

    async def _answer(self, request, sink):
        self.answered += 1
        head = ResponseHead(attempt=request.attempt, status=200, headers=(), body_length=None)
        chunk = ResponseChunk(data=bytes(self.size_bytes))
        end = ResponseEnd(attempt=request.attempt, body_length=self.size_bytes, load=LOAD)
        await sink.send(FrameBatch(frames=(head, chunk, end)))
        sink.close()


class IdleHandle(AttemptHandle):
    def cancel(self):
        return


class DirectChannel:
    """A channel without a link, whose front reads only if told to."""

    def __init__(self, server, *, reads):
        self._send, self._receive = anyio.create_memory_object_stream(1_000)
        self._server, self._reads = server, reads
        self.received = []

    async def run(self):
        await self._server.serve(self._receive, self._take)

    async def _take(self, message):
        if not self._reads:
            await anyio.sleep_forever()
        self.received.append(message)

    async def open_attempts(self, count):
        for number in range(1, count + 1):
            request = make_attempt_message(attempt=f"a{number}")
            await self._send.send(OpenAttempt(number=number, request=request))
            await anyio.sleep(0)

    def close(self):
        self._send.close()


@given("an agent whose attempts respond with {size:d} KiB each")
def step_answering(context, size):
    context.size_bytes = size << 10


@when("a front that reads nothing sends {count:d} attempts")
def step_send_unread(context, count):
    context.sent_count = count

    async def main():
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as group:
                starter = AnsweringStarter(context.size_bytes, group)
                server = AttemptChannelServer(starter, table=None)
                silent = DirectChannel(server, reads=False)
                other = DirectChannel(server, reads=True)
                group.start_soon(silent.run)
                group.start_soon(other.run)
                await silent.open_attempts(count)
                await anyio.sleep(SETTLE_S)
                context.answered, context.waiting_bytes = starter.answered, server.unsent_bytes
                await other.open_attempts(3)
                await anyio.sleep(SETTLE_S)
                context.received = other.received
                silent.close()
                await anyio.sleep(SETTLE_S)
                context.left_bytes = server.unsent_bytes
                group.cancel_scope.cancel()

    anyio.run(main)


@then("at most {size:d} MiB wait for it, and the other attempts are refused as not run")
def step_check_waiting(context, size):
    assert context.waiting_bytes <= size * MIB, f"{context.waiting_bytes / MIB:.1f} MiB"
    # An attempt that is refused isn't started.
    assert 0 < context.answered < context.sent_count, context.answered


@then("another front is served at the same time")
def step_check_other(context):
    ends = [m.frames[-1] for m in context.received if isinstance(m, AttemptFrames)]
    assert [type(end) for end in ends] == [ResponseEnd] * 3, ends


@then("nothing waits any more once it has disconnected")
def step_check_nothing(context):
    assert context.left_bytes == 0, context.left_bytes
