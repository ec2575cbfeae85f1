"""Fault injection for the soak: failing stand-ins, and killed, frozen and stopped processes."""

import json
import random
import signal
from collections import Counter
from pathlib import Path

import anyio
import anyio.to_thread

from fleet.client import send_json, send_request
from fleet.example import read_address
from fleet.processes import Fleet, read_host
from fleet.soak_load import CallerLoad

MODES = ("slow", "wrong", "shedding", "cutting", "resetting", "stalling", "cold")
DRAIN_LIMIT_S = 3.0
"""Time after which a draining target gets no new requests: one renewal interval and 2 s."""


class FaultInjector:
    """Injects random faults, one at a time.

    Args:
        fleet: The running fleet.
        callers: The load, in which planned stops are recorded.
        generator: Source of random numbers.
    """

    def __init__(self, *, fleet: Fleet, callers: CallerLoad, generator: random.Random) -> None:
        self._fleet = fleet
        self._callers = callers
        self._generator = generator
        self.injected: Counter[str] = Counter()
        self.violations: list[str] = []
        targets = json.loads(fleet.example.targets.read_text())["targets"]
        self._targets = [target["address"] for target in targets]

    async def run(self) -> None:
        """Inject faults until cancelled."""
        faults = (
            self._fail_target,
            self._fail_target,
            self._leave_target,
            self._kill_node,
            self._kill_control,
            self._kill_backends,
            self._freeze_process,
            self._stop_node,
        )
        while True:
            await anyio.sleep(self._generator.uniform(1.0, 4.0))
            fault = self._generator.choice(faults)
            self.injected[fault.__name__.strip("_")] += 1
            with anyio.CancelScope(shield=True):
                await fault()

    async def _fail_target(self) -> None:
        address = self._generator.choice(self._targets)
        mode = self._generator.choice(MODES)
        share = self._generator.choice((0.2, 0.5, 1.0))
        await self._set_behaviour(address, {"mode": mode, "share": share})
        await anyio.sleep(self._generator.uniform(2.0, 8.0))
        await self._set_behaviour(address, {})

    async def _leave_target(self) -> None:
        address = self._generator.choice(self._targets)
        await self._set_behaviour(address, {"mode": "draining"})
        await anyio.sleep(DRAIN_LIMIT_S)
        count_before = await self._count_started(address)
        await anyio.sleep(2.0)
        count_after = await self._count_started(address)
        if count_before is not None and count_after is not None and count_after > count_before:
            self.violations.append(
                f"draining target {address} got {count_after - count_before} new requests"
            )
        await self._set_behaviour(address, {})

    async def _kill_node(self) -> None:
        await self._restart(self._generator.choice(self._fleet.example.nodes))

    async def _kill_control(self) -> None:
        await self._restart(self._generator.choice(self._fleet.example.controls))

    async def _kill_backends(self) -> None:
        host = read_host(self._generator.choice(self._fleet.example.nodes))
        self._fleet.kill(f"backends-{host}")
        await anyio.sleep(self._generator.uniform(0.5, 4.0))
        self._fleet.start_backends(host)

    async def _freeze_process(self) -> None:
        settings = self._generator.choice(
            (*self._fleet.example.nodes, *self._fleet.example.controls)
        )
        self._fleet.signal(settings.stem, signal.SIGSTOP)
        await anyio.sleep(self._generator.uniform(1.0, 6.0))
        self._fleet.signal(settings.stem, signal.SIGCONT)

    async def _stop_node(self) -> None:
        settings = self._generator.choice(self._fleet.example.nodes)
        self._callers.stopping.add(settings.stem)
        status = await anyio.to_thread.run_sync(self._fleet.stop, settings.stem)
        if status != 0:
            self.violations.append(f"planned stop of {settings.stem} ended with status {status}")
        self._callers.stopping.discard(settings.stem)
        self._fleet.start_node(settings)

    async def _restart(self, settings: Path) -> None:
        self._fleet.kill(settings.stem)
        await anyio.sleep(self._generator.uniform(0.5, 4.0))
        if settings in self._fleet.example.nodes:
            self._fleet.start_node(settings)
        else:
            self._fleet.start_control(settings)

    async def _set_behaviour(self, address: str, behaviour: dict) -> None:
        try:
            await anyio.to_thread.run_sync(send_json, address, "POST", "/_behaviour", behaviour)
        except OSError:
            self.injected["behaviour not taken: stand-in is down"] += 1

    async def _count_started(self, address: str) -> int | None:
        try:
            response = await anyio.to_thread.run_sync(send_request, address, "GET", "/_counts")
        except OSError:
            return None
        return response.json["started"]


def list_caller_addresses(fleet: Fleet) -> dict[str, str]:
    """Return the address that each node serves callers at, by process name."""
    return {path.stem: read_address(path, "caller_listen") for path in fleet.example.nodes}
