from itertools import pairwise

import anyio
import anyio.lowlevel
from behave import given, then, when

from samphirespring.process.errors import InternalError, SamphireError
from samphirespring.process.mailbox import Mailbox, ReplySlot, ask
from samphirespring.process.timers import ManualTimerService


@given("a manual timer service")
def step_make_timers(context):
    context.timers = ManualTimerService()


@when(
    "a task subscribes with an interval of {interval:f} s"
    " and the time advances by {duration:f} s at once"
)
def step_subscribe(context, interval, duration):
    context.ticks = []

    async def receive_ticks():
        async for tick in context.timers.subscribe(interval_s=interval):
            context.ticks.append(tick)

    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(receive_ticks)
            await anyio.wait_all_tasks_blocked()
            context.timers.advance(duration)
            await anyio.wait_all_tasks_blocked()
            group.cancel_scope.cancel()

    anyio.run(main)


@then("the task has received {count:d} tick at {now:f} s")
def step_check_ticks(context, count, now):
    assert [tick.now_s for tick in context.ticks] == [now] * count, context.ticks


class EarlyTimerService(ManualTimerService):
    """Timer service whose time moves with each wait, and whose waits end early.

    Args:
        early_s: How much earlier a wait ends than it should, in seconds.
    """

    def __init__(self, *, early_s):
        super().__init__()
        self._early_s = early_s

    async def wait_until(self, due_at_s):
        await anyio.lowlevel.checkpoint()
        self.advance(max(0.0, due_at_s - self._early_s - self.read_now_s()))


@given("a timer service whose waits end {early_ns:f} ns early")
def step_make_early_timers(context, early_ns):
    context.timers = EarlyTimerService(early_s=early_ns * 1e-9)


@when("a task receives {count:d} ticks at an interval of {interval:f} s")
def step_receive_ticks(context, count, interval):
    context.ticks = []

    async def main():
        async for tick in context.timers.subscribe(interval_s=interval):
            context.ticks.append(tick.now_s)
            if len(context.ticks) == count:
                return

    anyio.run(main)


@then("the ticks are at least {least:f} s apart")
def step_check_apart(context, least):
    gaps = [later - earlier for earlier, later in pairwise(context.ticks)]
    assert min(gaps) >= least, context.ticks


@given("an inbox that holds {capacity:d} messages")
def step_make_inbox(context, capacity):
    context.capacity = capacity


@when("{count:d} messages are posted")
def step_post(context, count):
    async def main():
        mailbox = Mailbox(name="test", capacity=context.capacity)
        context.errors = []
        for number in range(count):
            try:
                mailbox.post(number)
                context.errors.append(None)
            except SamphireError as error:
                context.errors.append(error.code.value)

    anyio.run(main)


@then('the last post fails with "{code}"')
def step_check_post(context, code):
    assert context.errors[-1] == code
    assert not any(context.errors[:-1])


@when("the owner of the inbox replies to a request with an error")
def step_ask(context):
    async def main():
        mailbox: Mailbox[ReplySlot[int]] = Mailbox(name="test", capacity=context.capacity)

        async def reply_with_error():
            slot = await mailbox.receive()
            slot.fail(InternalError("no reply"))

        async with anyio.create_task_group() as group:
            group.start_soon(reply_with_error)
            try:
                await ask(mailbox, lambda slot: slot)
            except InternalError as error:
                context.error = error

    anyio.run(main)


@then("the requester gets the error")
def step_check_error(context):
    assert context.error.detail == "no reply"
