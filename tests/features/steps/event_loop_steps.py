"""Steps of event_loop.feature."""

import asyncio
import logging
import os
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from unittest import mock

import anyio
import structlog
import structlog.testing
from behave import given, then, when

from samphirespring.process.event_loop.step_watch import watch_steps
from samphirespring.process.event_loop.watched_loop import make_backend_options
from samphirespring.process.logs.log_sink import LogSink
from samphirespring.process.replication.disk import FolderDisk
from samphirespring.process.replication.errors import DiskFailedError
from samphirespring.process.timers import MonotonicTimerService

EVENT = "event_loop_busy"


async def _schedule_at_once(duration_s):
    loop = asyncio.get_running_loop()
    ends_at_s = time.monotonic() + duration_s
    ended = loop.create_future()

    def repeat():
        if time.monotonic() < ends_at_s:
            loop.call_soon(repeat)
        else:
            ended.set_result(None)

    repeat()
    await ended


async def _compute(duration_s):
    ends_at_s = time.monotonic() + duration_s
    while time.monotonic() < ends_at_s:
        pass
    await asyncio.sleep(0)


def _run(context, main, duration_s):
    before = structlog.get_config()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.INFO))
    try:
        with structlog.testing.capture_logs() as lines:
            anyio.run(main, duration_s, backend_options=make_backend_options())
    finally:
        structlog.configure(**before)
    context.lines = [line for line in lines if line["event"] == EVENT]


@given("a program on a watched event loop")
def step_program(context):
    pass


@when("a callback schedules itself again at once for {duration:g} s")
def step_schedule(context, duration):
    _run(context, _schedule_at_once, duration)


@when("one step takes {duration:g} s")
def step_compute(context, duration):
    _run(context, _compute, duration)


@when("it waits for {duration:g} s")
def step_wait(context, duration):
    _run(context, anyio.sleep, duration)


@then(
    'the log has a line "{event}" with more than {turns:d} idle turns'
    " and a longest turn below {limit:d} ms"
)
def step_many_turns(context, event, turns, limit):
    (line,) = context.lines
    assert line["event"] == event, line
    assert line["idle_turns"] > turns, line
    assert line["longest_turn_ms"] < limit, line


@then(
    'the log has a line "{event}" with fewer than {turns:d} idle turns'
    " and a longest turn above {limit:d} ms"
)
def step_long_turn(context, event, turns, limit):
    (line,) = context.lines
    assert line["event"] == event, line
    assert line["idle_turns"] < turns, line
    assert line["longest_turn_ms"] > limit, line


@then('the log has no line "{event}"')
def step_no_line(context, event):
    assert context.lines == [], context.lines


def _run_with_step_watch(context, step):
    async def main(file):
        timers = MonotonicTimerService()
        async with watch_steps(timers=timers, limit_s=context.limit_s, interval_s=0.05, file=file):
            # The limit holds from its first renewal on.
            await anyio.sleep(0.1)
            await step(file)

    with tempfile.TemporaryFile("w+") as file:
        anyio.run(main, file)


def _read_stack(file):
    file.seek(0)
    return file.read()


@given("a program whose steps may take {limit_s:g} s")
def step_limited_program(context, limit_s):
    context.limit_s = limit_s


@when("one of its steps takes {duration:g} s")
def step_long_step(context, duration):
    async def compute(file):
        ends_at_s = time.monotonic() + duration
        while time.monotonic() < ends_at_s:
            pass
        context.stack = _read_stack(file)

    _run_with_step_watch(context, compute)


@when("it only waits for {duration:g} s")
def step_short_steps(context, duration):
    async def wait(file):
        await anyio.sleep(duration)
        context.stack = _read_stack(file)

    _run_with_step_watch(context, wait)


@then("the stack names the step's function before the step has ended")
def step_check_stack(context):
    assert "in compute" in context.stack, context.stack


@then("no stack is written")
def step_check_no_stack(context):
    assert context.stack == "", context.stack


@given("a descriptor that accepts no byte")
def step_no_byte(context):
    context.tries = 0

    def write(descriptor, data):
        context.tries += 1
        assert context.tries < 100, "the write is repeated without end"
        return 0

    patch = mock.patch.object(os, "write", write)
    context.add_cleanup(patch.stop)
    context.patch = patch


@when("a log line is written to it")
def step_write_line(context):
    reading, writing = os.pipe()
    context.add_cleanup(os.close, reading)
    context.add_cleanup(os.close, writing)
    sink = LogSink(writing)
    context.patch.start()
    sink.write("line\n")


@when("a disk's entry is written to it")
def step_write_entry(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    file = FolderDisk(Path(folder.name)).open_append("log")
    context.add_cleanup(file.close)
    context.patch.start()
    with suppress(DiskFailedError):
        file.write(b"entry")


@then("at most {count:d} writes were tried")
def step_check_tries(context, count):
    assert context.tries <= count, context.tries
