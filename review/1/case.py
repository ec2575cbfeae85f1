"""A late second copy of a refusal is taken for the answer to the next attempt."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import (
    BROKEN,
    HELD,
    CaseError,
    Client,
    Message,
    Operator,
    Target,
    encode_answer,
    has_trouble,
    make_configuration,
    make_route,
    read_message,
    run_case,
)

REQUESTS = 165
INTERVAL_S = 0.03
"""Time between two requests: all are sent within the 5 s for which the target is faulty."""

SHED_EVERY = 12
"""One answer in so many says that the target didn't run the request."""

COPIES = 5
"""Answers with a late second copy: at most 3 in 100 of all answers."""


class CopyingTarget(Target):
    """Sheds a few requests, and sends a second copy of some of these answers.

    The copy comes late, where the answer to the next request on the connection is expected.
    """

    def __init__(self, *arguments, **named) -> None:
        super().__init__(*arguments, **named)
        self.answers = 0
        self.copies = 0

    async def serve_connection(self, reader, writer) -> None:
        """Serve one connection; a late copy goes before the next answer."""
        late_copy = b""
        while True:
            first, headers, body = await read_message(reader)
            method, path, _ = first.split()
            message = Message(method, path, headers, body)
            if late_copy:
                self.record.write("late copy of the earlier answer on this connection")
                writer.write(late_copy)
                late_copy = b""
            answer = await self.respond(message)
            if answer.startswith(b"HTTP/1.1 503") and has_trouble() and self.copies < COPIES:
                self.copies += 1
                late_copy = answer
            writer.write(answer)
            await writer.drain()

    def refuse(self, message: Message) -> bytes | None:
        """Shed one order in `SHED_EVERY`."""
        refusal = super().refuse(message)
        if refusal is not None or not message.path.startswith("/orders/"):
            return refusal
        self.answers += 1
        if self.answers % SHED_EVERY:
            return None
        request = message.headers["x-request-id"]
        self.record.write(f"shed {request} at {self.id}")
        return encode_answer(503, {"x-request-id": request, "x-not-executed": "1"}, b"")


async def main(record, make) -> int:
    """Run the case and return its exit status."""
    deployment = make(sidecars=["orders", "recipes"])
    for machine in (*deployment.cores, *deployment.sidecars):
        deployment.start(machine)
    routes = [
        make_route("order", "/orders/", "unsafe", "orders"),
        make_route("read", "/recipes/", "safe", "recipes"),
    ]
    await Operator(deployment).replace(0, make_configuration(3, ["orders", "recipes"], routes))
    orders, recipes = deployment.sidecars
    target = CopyingTarget(deployment, orders)
    other = Target(deployment, recipes)
    await target.start()
    await other.start()
    for machine in deployment.sidecars:
        await deployment.wait_until_ready(machine)
    await asyncio.sleep(4.0)
    client = Client(deployment, recipes)
    async with asyncio.TaskGroup() as tasks:
        for _ in range(REQUESTS):
            tasks.create_task(client.request("POST", "/orders/kit", b"kit"))
            await asyncio.sleep(INTERVAL_S)
    await asyncio.sleep(1.0)
    deployment.check_running()
    counts = Counter(request for _, request, _ in target.runs)
    served = sum(status == 200 for status in client.answers.values())
    if served < REQUESTS // 2:
        raise CaseError(f"only {served} requests were served")
    twice = [request for request, count in counts.items() if count > 1]
    false = [r for r, status in client.answers.items() if status in (429, 503) and counts[r]]
    summary = (
        f"{REQUESTS} orders, {served} served, {target.answers} answers, {target.copies} copies;"
        f" ran more than once: {len(twice)}; answered 429 or 503 though run: {len(false)}"
    )
    record.write(summary)
    print(summary)
    for request in twice:
        record.write(f"BROKEN TWICE {request} ran {counts[request]} times")
    for request in false:
        record.write(f"BROKEN REFUSED {request}")
    return BROKEN if twice or false else HELD


if __name__ == "__main__":
    run_case(__file__, main)
