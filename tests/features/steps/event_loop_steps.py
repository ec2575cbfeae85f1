"""Steps of event_loop.feature."""

import asyncio
import logging
import time

import anyio
import structlog
import structlog.testing
from behave import given, then, when

from samphirespring.process.event_loop.watched_loop import make_backend_options

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
