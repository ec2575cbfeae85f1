"""Three planned replacements of core machines, 2.3 s apart, end the group for good."""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import (
    BROKEN,
    HELD,
    CaseError,
    Machine,
    Operator,
    has_trouble,
    make_configuration,
    make_route,
    run_case,
)

CATCH_UP_S = 4.0
MARGIN_S = 1.0
"""Time for which the successor runs beyond `catch-up` before an old machine is stopped."""

REPLACED = 3
FIRST_REPLACED = 2
"""Position of the first machine that is replaced among the five."""

INTERVAL_S = 2.3
"""Time from one replacement to the next."""

RECOVERY_S = 15.0
READ_S = 10.0
"""Time beyond `recovery` for which the operator tries to read the configuration."""


def _make_configuration(version: int) -> dict:
    route = make_route("order", "/orders/", "unsafe", "orders", timeout=f"{3000 + version}ms")
    return make_configuration(version, ["orders"], [route])


async def main(record, make) -> int:
    """Run the case and return its exit status."""
    deployment = make(sidecars=["orders"], cores=5, spares=REPLACED)
    operator = Operator(deployment)
    for machine in (*deployment.cores, *deployment.sidecars):
        deployment.start(machine)
    await operator.replace(0, _make_configuration(3))
    await deployment.wait_until_ready(deployment.sidecars[0])
    await asyncio.sleep(10.0)

    for _ in range(REPLACED):
        deployment.start(deployment.add_core())
        await asyncio.sleep(INTERVAL_S)
    await asyncio.sleep(CATCH_UP_S + MARGIN_S)
    await operator.replace(3, _make_configuration(7))
    if has_trouble():
        for _ in range(REPLACED):
            next_s = record.now() + INTERVAL_S
            await _stop(deployment, deployment.cores.pop(FIRST_REPLACED))
            await asyncio.sleep(max(0.0, next_s - record.now()))
    deployment.check_running()
    await asyncio.sleep(RECOVERY_S)
    try:
        answer = await operator.read(limit_s=READ_S)
        version = json.loads(answer.body)["version"] if answer.status == 200 else None
    except CaseError:
        version = None
    deployment.check_running()
    came = "doesn't come" if version is None else f"is version {version}"
    summary = (
        f"acknowledged: version 7; read back {RECOVERY_S:.0f} s after the last replacement, for"
        f" {READ_S:.0f} s: the configuration {came}"
    )
    record.write(summary)
    print(summary)
    return HELD if version == 7 else BROKEN


async def _stop(deployment, machine: Machine) -> None:
    """Stop a machine as planned, and wait for its end."""
    deployment.send_signal(machine, signal.SIGTERM)
    await asyncio.to_thread(machine.process.wait, 6.0)
    deployment.record.write(f"{machine.name} has ended")


if __name__ == "__main__":
    run_case(__file__, main)
