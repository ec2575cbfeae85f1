"""A node that stops as planned accepts orders, passes them on, and cuts them off."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import (
    BROKEN,
    HELD,
    CaseError,
    Client,
    Operator,
    Target,
    has_trouble,
    make_configuration,
    make_route,
    run_case,
)

GRACE_S = 10.0
WORK_S = 5.4
FIRST_REQUEST_S = 3.2
"""Time from the SIGTERM to the first order, beyond the 3 s for which a cut may be excused."""

REQUESTS = 6
INTERVAL_S = 0.2
DEADLINE_MS = 20_000


async def main(record, make) -> int:
    """Run the case and return its exit status."""
    deployment = make(sidecars=["orders", "orders", "recipes"], bounds={"grace": "10s"})
    for machine in (*deployment.cores, *deployment.sidecars):
        deployment.start(machine)
    route = make_route("order", "/orders/", "unsafe", "orders", timeout="10000ms", aim="3000ms")
    await Operator(deployment).replace(0, make_configuration(3, ["orders", "recipes"], [route]))
    targets = [Target(deployment, machine, work_s=WORK_S) for machine in deployment.sidecars]
    for target in targets:
        await target.start()
    for machine in deployment.sidecars:
        await deployment.wait_until_ready(machine)
    await asyncio.sleep(4.0)

    stopping = deployment.sidecars[2]
    client = Client(deployment, stopping)
    if has_trouble():
        deployment.send_signal(stopping, signal.SIGTERM)
    stopped_s = record.now()
    await asyncio.sleep(FIRST_REQUEST_S)
    async with asyncio.TaskGroup() as tasks:
        for _ in range(REQUESTS):
            tasks.create_task(
                client.request("POST", "/orders/kit", b"kit", deadline_ms=DEADLINE_MS)
            )
            await asyncio.sleep(INTERVAL_S)
        sent_s = record.now() - stopped_s
    ended_s = record.now() - stopped_s
    for machine in deployment.sidecars[:2]:
        if machine.process.poll() is not None:
            raise CaseError(f"{machine.name} has ended")

    runs = {request: at_s for target in targets for at_s, request, _ in target.runs}
    cut = [r for r, status in client.answers.items() if r in runs and status != 200]
    summary = (
        f"{REQUESTS} orders sent {FIRST_REQUEST_S:.1f} s to {sent_s:.1f} s after the start of the"
        f" stop, {len(runs)} run for {WORK_S} s each; cut off: {len(cut)}, the last answer or cut"
        f" after {ended_s:.1f} s of {GRACE_S:.0f} s"
    )
    record.write(summary)
    print(summary)
    for request in cut:
        late_s = runs[request] + WORK_S - stopped_s
        record.write(f"BROKEN LOST {request}: its target would have ended after {late_s:.1f} s")
    return BROKEN if cut else HELD


if __name__ == "__main__":
    run_case(__file__, main)
