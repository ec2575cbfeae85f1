"""Latency that a node adds to a request, and costs of an idle node."""

import json
import os
import re
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import anyio
import psutil
from anyio.abc import SocketStream
from hdrh.histogram import HdrHistogram

from benchmarks.figures import Figure
from fleet.example import Example, place_example, read_address
from fleet.processes import Fleet, run_fleet

NODE_RATE_PER_S = 88.0
"""Requests per second of one node at peak load: 290,000 over 3,300 nodes."""

DURATION_S = 8.0
IDLE_S = 6.0
SATURATION_CALLERS = 16
MAX_LATENCY_US = 60_000_000
REQUEST = b"GET /bread HTTP/1.1\r\nHost: recipes.wheatsheaf.example\r\nX-Answer-Bytes: 1000\r\n\r\n"
CONTENT_LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)


def measure() -> list[Figure]:
    """Return the added latency at the peak rate and at saturation, and an idle node's costs."""
    offset = int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))
    with _place_example(offset) as example, run_fleet(example) as fleet:
        figures = _measure_idle(fleet)
        direct_address, node_address = _list_addresses(fleet)
        for label, run in (("88 requests/s", _run_paced), ("saturation", _run_saturated)):
            anyio.run(run, node_address, 1.0)
            direct = anyio.run(run, direct_address, DURATION_S)
            proxied = anyio.run(run, node_address, DURATION_S)
            figures.extend(_compare(label, direct, proxied))
    return figures


@contextmanager
def _place_example(offset: int) -> Iterator:
    with tempfile.TemporaryDirectory(prefix="path-") as folder:
        example = place_example("wheatsheaf", Path(folder), port_offset=offset)
        _raise_limit(example)
        yield example


def _raise_limit(example: Example) -> None:
    """Raise the workspaces' rate limit; its rejections would end a run at saturation."""
    document = json.loads(example.document.read_text())
    document["fleet"]["default_limit"] = {"requests_per_s": 100_000, "burst": 100_000}
    example.document.write_text(json.dumps(document))


def _list_addresses(fleet: Fleet) -> tuple[str, str]:
    targets = json.loads(fleet.example.targets.read_text())["targets"]
    direct_address = next(t["address"] for t in targets if t["service"] == "recipes")
    return direct_address, read_address(fleet.example.nodes[0], "caller_listen")


def _measure_idle(fleet: Fleet) -> list[Figure]:
    process = psutil.Process(fleet.processes[fleet.example.nodes[0].stem].pid)
    before = process.cpu_times()
    time.sleep(IDLE_S)
    after = process.cpu_times()
    busy_s = (after.user + after.system) - (before.user + before.system)
    return [
        Figure(name="idle node, resident memory", value=process.memory_info().rss / 1e6, unit="MB"),
        Figure(name="idle node, processor time", value=100 * busy_s / IDLE_S, unit="% of a core"),
    ]


def _compare(label: str, direct: HdrHistogram, proxied: HdrHistogram) -> list[Figure]:
    figures = []
    for quantile in (50.0, 99.0):
        direct_ms = direct.get_value_at_percentile(quantile) / 1_000
        proxied_ms = proxied.get_value_at_percentile(quantile) / 1_000
        figures.append(
            Figure(
                name=f"{label}, p{quantile:.0f} through the node",
                value=proxied_ms,
                unit="ms",
                baseline=direct_ms,
                baseline_name="direct to a target",
            )
        )
    count = proxied.get_total_count() / DURATION_S
    figures.append(
        Figure(
            name=f"{label}, requests through the node",
            value=count,
            unit="1/s",
            baseline=direct.get_total_count() / DURATION_S,
            baseline_name="direct to a target",
        )
    )
    return figures


async def _run_paced(address: str, duration_s: float) -> HdrHistogram:
    """Send at a fixed rate, independent of responses; latency counts from the planned send time."""
    client = _Client(address)
    async with anyio.create_task_group() as group:
        start_s = time.perf_counter()
        for number in range(round(duration_s * NODE_RATE_PER_S)):
            planned_at_s = start_s + number / NODE_RATE_PER_S
            await anyio.sleep(max(0.0, planned_at_s - time.perf_counter()))
            group.start_soon(client.send, planned_at_s)
    await client.close()
    return client.histogram


async def _run_saturated(address: str, duration_s: float) -> HdrHistogram:
    """Send from a fixed number of callers, each without a pause."""
    client = _Client(address)
    end_s = time.perf_counter() + duration_s

    async def call_repeatedly() -> None:
        while time.perf_counter() < end_s:
            await client.send(time.perf_counter())

    async with anyio.create_task_group() as group:
        for _ in range(SATURATION_CALLERS):
            group.start_soon(call_repeatedly)
    await client.close()
    return client.histogram


class _Client:
    """Sends one fixed request on persistent connections, with as little work as possible."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._idle: list[SocketStream] = []
        self.histogram = HdrHistogram(1, MAX_LATENCY_US, 3)

    async def send(self, planned_at_s: float) -> None:
        """Send a request; record the time from its planned send time to the end of the response."""
        stream = self._idle.pop() if self._idle else await self._connect()
        await stream.send(REQUEST)
        received = b""
        while b"\r\n\r\n" not in received:
            received += await stream.receive()
        head, _, body = received.partition(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(f"unexpected response: {received[:300]!r}")
        match = CONTENT_LENGTH.search(head)
        remaining_bytes = int(match[1]) - len(body)
        while remaining_bytes > 0:
            remaining_bytes -= len(await stream.receive())
        self.histogram.record_value(max(1, round((time.perf_counter() - planned_at_s) * 1e6)))
        self._idle.append(stream)

    async def close(self) -> None:
        """Close the connections."""
        for stream in self._idle:
            await stream.aclose()

    async def _connect(self) -> SocketStream:
        return await anyio.connect_tcp(self._host, self._port)
