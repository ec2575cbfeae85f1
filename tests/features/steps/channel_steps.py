import tracemalloc
from contextlib import asynccontextmanager

import anyio
import msgspec
from behave import given, then, when

from front.fakes import LOAD, make_attempt_message
from samphirespring.connection.attempt_channel import RUN_ATTEMPTS
from samphirespring.connection.attempt_link import RUN_ATTEMPT
from samphirespring.connection.channel_client import AttemptChannel
from samphirespring.connection.channel_server import AttemptChannelServer
from samphirespring.connection.link_errors import LinkUnavailableError
from samphirespring.connection.link_pool import LinkPool
from samphirespring.connection.link_server import DuplexHandler, StreamHandler, serve_link
from samphirespring.process.attempt_channels import AttemptChannels
from samphirespring.process.timers import MonotonicTimerService
from samphirespring.request.attempt_starter import AttemptHandle, AttemptStarter
from samphirespring.request.body import (
    EMPTY_BODY,
    BodyAbortedError,
    StreamedBody,
    WholeBody,
)
from samphirespring.request.messages import (
    AttemptRefused,
    AttemptResult,
    FrameBatch,
    ResponseChunk,
    ResponseEnd,
    ResponseHead,
)
from samphirespring.request.states import RefusalCode

ADDRESS = "127.0.0.1:26411"
TIMEOUT_S = 15.0
CHUNK_BYTES = 65_536
PROXY_PORT = 26412


class ScriptedStarter(AttemptStarter):
    """Runs `script(starter, request, body, sink)` for each attempt."""

    def __init__(self, script, *, runs_actions=False):
        self.script = script
        self.runs_actions = runs_actions
        self.cancelled = []
        self.sent_bytes = {}
        self.body = b""
        self.aborted = anyio.Event()
        self.unread_bytes = []

    async def run(self):
        async with anyio.create_task_group() as self.group:
            await anyio.sleep_forever()

    def start(self, request, *, body, sink):
        scope = anyio.CancelScope()
        self.group.start_soon(self._run, request, body, sink, scope)
        return ScriptedHandle(self, request, scope)

    async def _run(self, request, body, sink, scope):
        with scope:
            await self.script(self, request, body, sink)
        sink.close()


class ScriptedHandle(AttemptHandle):
    def __init__(self, starter, request, scope):
        self.starter, self.request, self.scope = starter, request, scope

    def cancel(self):
        self.starter.cancelled.append(self.request.attempt)
        if not self.starter.runs_actions:
            self.scope.cancel()


def make_head(request, length=None):
    return ResponseHead(attempt=request.attempt, status=200, headers=(), body_length=length)


def make_end(request, length):
    return ResponseEnd(attempt=request.attempt, body_length=length, load=LOAD)


async def respond(request, sink, chunks):
    head = make_head(request)
    frames = [head, *(ResponseChunk(data=data) for data in chunks)]
    await sink.send(FrameBatch(frames=(*frames, make_end(request, sum(map(len, chunks))))))


def run(context, call, *, handlers=None):
    """Await `call(sender)` while the agent serves links."""
    starter = context.starter

    async def main():
        pool = LinkPool(capacity=10)
        sender = AttemptChannels(pool, timers=MonotonicTimerService())
        channels = DuplexHandler(RUN_ATTEMPTS, AttemptChannelServer(starter, table=None).serve)
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as group:
                group.start_soon(starter.run)
                group.start_soon(sender.run)
                await anyio.wait_all_tasks_blocked()
                async with serve_link(handlers or [channels], address=ADDRESS):
                    context.result = await call(sender)
                    context.channels = await sender.dump()
                group.cancel_scope.cancel()
        pool.close()

    anyio.run(main)


def make_request(name, **members):
    return msgspec.structs.replace(make_attempt_message(attempt=name), **members)


async def send(sender, name, body=EMPTY_BODY, *, address=ADDRESS):
    """Return the frames of an attempt, or the error of its link."""
    inline = body.inline
    request = make_request(name, body=inline or b"", body_follows=inline is None)
    frames = []
    try:
        async with sender.send(request, body=body, link_address=address) as received:
            frames += [frame async for frame in received]
    except LinkUnavailableError as error:
        return error
    return frames


async def send_all(sender, names):
    results = {}

    async def send_one(name):
        results[name] = await send(sender, name)

    async with anyio.create_task_group() as group:
        for name in names:
            group.start_soon(send_one, name)
    return results


@given("an agent whose attempts respond with {count:d} chunks that name them")
def step_naming_agent(context, count):
    async def script(starter, request, _, sink):
        await respond(request, sink, [request.attempt.encode()] * count)

    context.starter = ScriptedStarter(script)
    context.chunk_count = count


@when("{count:d} attempts are sent at once")
def step_send_many(context, count):
    names = [f"a{number}" for number in range(count)]
    run(context, lambda sender: send_all(sender, names))


@then("each attempt gets exactly its own frames, over one stream")
def step_check_frames(context):
    for name, frames in context.result.items():
        assert [type(frame) for frame in frames] == [
            ResponseHead,
            *[ResponseChunk] * context.chunk_count,
            ResponseEnd,
        ], frames
        assert frames[0].attempt == frames[-1].attempt == name
        assert {frame.data for frame in frames[1:-1]} == {name.encode()}
    assert context.channels.channels == 1, context.channels


@given("an agent whose attempts respond with {size:d} MiB")
def step_large_agent(context, size):
    async def script(starter, request, _, sink):
        await sink.send(FrameBatch(frames=(make_head(request),)))
        for _ in range((size << 20) // CHUNK_BYTES):
            await sink.send(FrameBatch(frames=(ResponseChunk(data=b"x" * CHUNK_BYTES),)))
            sent = starter.sent_bytes.get(request.attempt, 0)
            starter.sent_bytes[request.attempt] = sent + CHUNK_BYTES
        await sink.send(FrameBatch(frames=(make_end(request, size << 20),)))

    context.starter = ScriptedStarter(script)
    context.size_bytes = size << 20


@when("an attempt is read as far as its head, and {count:d} others are read to the end")
def step_stop_reading(context, count):
    async def call(sender):
        request = make_request("slow")
        async with sender.send(request, body=EMPTY_BODY, link_address=ADDRESS) as frames:
            await anext(frames)
            results = await send_all(sender, [f"a{number}" for number in range(count)])
            context.slow_bytes = context.starter.sent_bytes.get("slow", 0)
        return results

    run(context, call)


@then(
    "the {count:d} others are complete, and the agent has sent at most {size:d} MiB"
    " for the first one"
)
def step_check_slow(context, count, size):
    assert len(context.result) == count
    for frames in context.result.values():
        assert sum(len(f.data) for f in frames if isinstance(f, ResponseChunk)) == (
            context.size_bytes
        )
    assert context.slow_bytes <= size << 20, context.slow_bytes


@given("an agent whose attempts respond after {delay_s:g} s")
def step_slow_agent(context, delay_s):
    async def script(starter, request, _, sink):
        await anyio.sleep(delay_s)
        await respond(request, sink, [b"ok"])

    context.starter = ScriptedStarter(script)


@when("2 attempts are sent and the first one is left after {delay_s:g} s")
def step_leave(context, delay_s):
    async def call(sender):
        results = {}

        async def leave():
            with anyio.move_on_after(delay_s):
                await send(sender, "first")

        async def stay():
            results["second"] = await send(sender, "second")

        async with anyio.create_task_group() as group:
            group.start_soon(leave)
            group.start_soon(stay)
        return results

    run(context, call)


@then("the agent's attempt of the first one is cancelled, and the second one is complete")
def step_check_cancelled(context):
    assert "first" in context.starter.cancelled
    assert isinstance(context.result["second"][-1], ResponseEnd), context.result


@given("an agent that refuses attempts")
def step_refusing_agent(context):
    async def script(starter, request, _, sink):
        refusal = AttemptRefused(attempt=request.attempt, code=RefusalCode.NO_SLOT)
        await sink.send(FrameBatch(frames=(refusal,)))

    context.starter = ScriptedStarter(script)


@when("an attempt with a body of {size:d} MiB is sent")
def step_send_body(context, size):
    body = CountingBody(b"b" * (size << 20))
    context.body = body
    run(context, lambda sender: send(sender, "a", body))


class CountingBody(WholeBody):
    """Counts the bytes that were taken from it."""

    taken_bytes = 0

    async def iterate(self):
        async for part in super().iterate():
            self.taken_bytes += len(part)
            yield part


@then("it is refused, and less than {size:d} KiB were sent")
def step_check_refused(context, size):
    assert isinstance(context.result[-1], AttemptRefused), context.result
    assert context.body.taken_bytes < size * 1_024, context.body.taken_bytes


@given("an agent that reads bodies of attempts slowly")
def step_reading_agent(context):
    async def script(starter, request, body, sink):
        parts = []
        try:
            async for part in body.iterate():
                parts.append(part)
                starter.unread_bytes.append(sum(map(len, body._parts)))
                await anyio.sleep(0.002)
        except BodyAbortedError:
            starter.aborted.set()
            return
        starter.body = b"".join(parts)
        await respond(request, sink, [b"ok"])

    context.starter = ScriptedStarter(script, runs_actions=True)


@when("an attempt with a body of {size:d} MiB in parts is sent")
def step_send_parts(context, size):
    parts = [bytes([number % 251]) * 40_000 for number in range((size << 20) // 40_000)]
    context.whole = b"".join(parts)
    run(context, lambda sender: send(sender, "a", make_streamed(parts)))


def make_streamed(parts, *, then_stop=False):
    async def iterate():
        for part in parts[1:]:
            yield part
        if then_stop:
            await anyio.sleep_forever()

    return StreamedBody(parts[0], iterate(), length=None, part_timeout_s=0.3)


@then("the agent has read the same body, and never more than {size:d} KiB waited")
def step_check_body(context, size):
    assert isinstance(context.result[-1], ResponseEnd), context.result
    assert context.starter.body == context.whole
    assert max(context.starter.unread_bytes) <= size * 1_024, max(context.starter.unread_bytes)


@when("an attempt is sent whose body stops after {size:d} KiB")
def step_send_stopping(context, size):
    parts = [b"x" * 1_024] * size

    async def call(sender):
        result = await send(sender, "a", make_streamed(parts, then_stop=True))
        await context.starter.aborted.wait()
        return result

    run(context, call)


@then("the agent's body is aborted, and the attempt may have started")
def step_check_aborted(context):
    assert context.starter.aborted.is_set()
    assert isinstance(context.result, LinkUnavailableError) and context.result.sent


@given("an agent whose connection {end}")
def step_ending_connection(context, end):
    context.end = end

    async def script(starter, request, _, sink):
        context.started.set()
        await anyio.sleep_forever()

    context.starter = ScriptedStarter(script)


@when("an attempt is sent")
def step_send_to_ending(context):
    async def call(sender):
        context.started = anyio.Event()
        if context.end == "can't be opened":
            return await send(sender, "a", address=f"127.0.0.1:{PROXY_PORT}")
        async with anyio.create_task_group() as group:
            await group.start(forward_until, context.started)
            return await send(sender, "a", address=f"127.0.0.1:{PROXY_PORT}")

    run(context, call)


async def forward_until(event, *, task_status):
    """Forward one connection to the agent until an event, then close both sides."""
    async with await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=PROXY_PORT
    ) as listener:
        task_status.started()
        client = await listener.listeners[0].accept()
        server = await anyio.connect_tcp("127.0.0.1", int(ADDRESS.rpartition(":")[2]))
        async with client, server, anyio.create_task_group() as group:
            group.start_soon(copy, client, server)
            group.start_soon(copy, server, client)
            await event.wait()
            group.cancel_scope.cancel()


async def copy(source, sink):
    async for data in source:
        await sink.send(data)


@then("the link is unavailable, and the attempt {may} have started")
def step_check_unavailable(context, may):
    assert isinstance(context.result, LinkUnavailableError), context.result
    assert context.result.sent is (may == "may"), context.result


@given("an agent that knows no channels and responds with {count:d} chunks")
def step_old_agent(context, count):
    async def handle(request):
        chunks = tuple(ResponseChunk(data=b"x") for _ in range(count))
        yield FrameBatch(frames=(make_head(request), *chunks, make_end(request, count)))

    context.starter = ScriptedStarter(None)
    context.handlers = [StreamHandler(RUN_ATTEMPT, handle)]


@when("attempts are sent until one is complete, and then {count:d} more")
def step_send_to_old(context, count):
    async def call(sender):
        results = [await send(sender, "a0")]
        await anyio.sleep(0.05)
        return results + [await send(sender, f"a{number}") for number in range(1, count + 2)]

    run(context, call, handlers=context.handlers)


@then("at most the first one failed, and it can't have started")
def step_check_old(context):
    first, *others = context.result
    assert isinstance(first, list) or not first.sent, first
    for frames in others:
        assert isinstance(frames, list) and isinstance(frames[-1], AttemptResult), frames


class BlockedDuplex:
    """Streams to an agent that reads nothing."""

    async def send(self, message):
        await anyio.sleep_forever()

    async def iterate_replies(self):
        await anyio.sleep_forever()
        yield


class BlockedLink:
    @asynccontextmanager
    async def open_duplex(self, method):
        yield BlockedDuplex()

    def check_acknowledgements(self):
        return


@given("an agent that reads nothing from its channel")
def step_blocked_agent(context):
    context.link = BlockedLink()


@when("{count:d} attempts with bodies of {size:d} KiB are sent and left one after the other")
def step_leave_unsent(context, count, size):
    async def main():
        channel = AttemptChannel(ADDRESS)
        async with anyio.create_task_group() as group:
            group.start_soon(channel.run, context.link)
            await anyio.wait_all_tasks_blocked()
            tracemalloc.start()
            for number in range(count):
                request = make_request(f"a{number}", body=bytes(size << 10))
                async with channel.open(request, EMPTY_BODY):
                    await anyio.sleep(0)
            context.grown_bytes = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
            group.cancel_scope.cancel()

    anyio.run(main)


@then("the front's memory has grown by at most {size:d} MiB")
def step_check_grown(context, size):
    assert context.grown_bytes <= size << 20, context.grown_bytes
