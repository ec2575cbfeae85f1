import anyio
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
