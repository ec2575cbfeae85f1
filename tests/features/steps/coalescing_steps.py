import asyncio

from behave import given, then, when

from samphirespring.connection.coalescing_transport import CoalescingTransport


class InnerTransport(asyncio.Transport):
    """Transport that records sent data, closing and aborting in order."""

    def __init__(self):
        super().__init__()
        self.events = []

    def write(self, data):
        self.events.append(bytes(data))

    def close(self):
        self.events.append("closed")

    def abort(self):
        self.events.append("aborted")

    def is_closing(self):
        return "closed" in self.events or "aborted" in self.events


def run_on_transport(steps):
    """Run each step in its own event loop iteration, and return the inner transport's events."""
    inner = InnerTransport()

    async def run():
        transport = CoalescingTransport(inner, asyncio.get_running_loop())
        for step in steps:
            step(transport)
            await asyncio.sleep(0)
        await asyncio.sleep(0)

    asyncio.run(run())
    return inner.events


@given("a coalescing transport")
def step_transport(context):
    context.events = None


@when('"{a}", "{b}" and "" are written within one event loop iteration, and "{c}" in another one')
def step_write(context, a, b, c):
    def write_first(transport):
        for text in (a, b, ""):
            transport.write(text.encode())

    context.events = run_on_transport([write_first, lambda t: t.write(c.encode())])


@then('the inner transport has sent "{first}" and "{second}", in this order')
def step_check_sent(context, first, second):
    assert context.events == [first.encode(), second.encode()], context.events


@when('"{text}" is written and the transport is closed within one event loop iteration')
def step_write_and_close(context, text):
    def write_and_close(transport):
        transport.write(text.encode())
        transport.close()

    context.events = run_on_transport([write_and_close])


@then('the inner transport has sent "{text}" before it was closed')
def step_check_closed(context, text):
    assert context.events == [text.encode(), "closed"], context.events


@then("after an abort in the same iteration nothing is sent")
def step_check_aborted(context):
    def write_and_abort(transport):
        transport.write(b"lost")
        transport.abort()

    assert run_on_transport([write_and_abort]) == ["aborted"]
