"""A target that has deregistered gets requests again after its node was killed and restarted."""

import asyncio
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

DRAIN_S = 2.5
CONTACT_S = 3.0
INTERVAL_S = 0.025
WORK_S = 0.15
RESTART_DELAY_S = 0.3
LATE_S = 2.5
"""Time from the restart to the late heartbeat, which was sent before the deregistration."""

SERVES_ON_S = 12.0
"""For how long the target serves after its deregistration."""


async def main(record, make) -> int:
    """Run the case and return its exit status."""
    deployment = make(sidecars=["orders", "orders", *["recipes"] * 4])
    for machine in (*deployment.cores, *deployment.sidecars):
        deployment.start(machine)
    routes = [make_route("order", "/orders/", "unsafe", "orders")]
    await Operator(deployment).replace(0, make_configuration(3, ["orders", "recipes"], routes))
    leaving_machine, _, client_machine, *_ = deployment.sidecars
    targets = [Target(deployment, machine, work_s=WORK_S) for machine in deployment.sidecars]
    leaving = targets[0]
    for target in targets:
        await target.start()
    for machine in deployment.sidecars:
        await deployment.wait_until_ready(machine)
    await asyncio.sleep(4.0)

    client = Client(deployment, client_machine)
    acknowledged_s = None
    restarted_s = record.now()
    async with asyncio.TaskGroup() as tasks:

        async def send_requests() -> None:
            end_s = None
            while end_s is None or record.now() < end_s:
                tasks.create_task(client.request("POST", "/orders/kit", b"kit"))
                await asyncio.sleep(INTERVAL_S)
                if acknowledged_s is not None:
                    end_s = acknowledged_s + SERVES_ON_S

        tasks.create_task(send_requests())
        await asyncio.sleep(1.0)
        leaving.stop_beats()
        late_beat = leaving.make_beat()
        status = await leaving.deliver("deregister", b'{"born": %d}' % leaving.born)
        if status != 200:
            raise CaseError(f"the deregistration was answered {status}")
        acknowledged_s = record.now()
        record.write(f"{leaving.id} is deregistered, which was acknowledged")
        await asyncio.sleep(1.0)
        if has_trouble():
            deployment.kill(leaving_machine)
            await asyncio.sleep(RESTART_DELAY_S)
            deployment.start(leaving_machine)
        restarted_s = record.now()
        await deployment.wait_until_ready(leaving_machine)
        await asyncio.sleep(max(0.0, restarted_s + LATE_S - record.now()))
        status = await leaving.deliver("heartbeat", late_beat)
        record.write(f"late heartbeat of {leaving.id} was answered {status}")

    deployment.check_running()
    bound_s = max(acknowledged_s + DRAIN_S, restarted_s + CONTACT_S)
    late = [at_s for at_s, _, _ in leaving.runs if at_s > bound_s]
    served = sum(status == 200 for status in client.answers.values())
    if not leaving.runs or served < len(client.answers) // 2:
        raise CaseError(f"only {served} of {len(client.answers)} requests were served")
    summary = (
        f"{len(client.answers)} requests, {served} served; runs at the deregistered target more"
        f" than {DRAIN_S} s after the acknowledgement: {len(late)}"
    )
    if late:
        first_s, last_s = late[0] - acknowledged_s, late[-1] - acknowledged_s
        summary += f", from {first_s:.1f} s to {last_s:.1f} s after it"
    record.write(summary)
    print(summary)
    return BROKEN if late else HELD


if __name__ == "__main__":
    run_case(__file__, main)
