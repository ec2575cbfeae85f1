"""Latency of actions beside that of reads, and what the ledger's decisions cost."""

import os
import statistics
import tempfile
import time
import tracemalloc
from pathlib import Path

import msgspec

from benchmarks.figures import Figure
from fleet.client import send_request
from fleet.example import place_example, read_address
from fleet.processes import run_fleet
from ledger.settled_claims import make_settled_claim
from samphirespring.process.ids import LogIndex
from samphirespring.process.ledger.claim_state_machine import ClaimStateMachine
from samphirespring.process.ledger.commands import LedgerCommand

CALLS = 150
CLAIMS = 20_000
ANSWER_BYTES = 200


def measure() -> list[Figure]:
    """Return the cost of decisions and, over real sockets, latency of actions and of reads."""
    return [*_measure_decisions(), *_measure_latency()]


def _measure_decisions() -> list[Figure]:
    state_machine = ClaimStateMachine()
    commands = [
        command
        for number in range(CLAIMS)
        for command in make_settled_claim(number, response_bytes=ANSWER_BYTES)
    ]
    started_s = time.perf_counter()
    for index, command in enumerate(commands):
        state_machine.apply(index=LogIndex(index), command=command)
    spent_s = time.perf_counter() - started_s
    snapshot = msgspec.msgpack.encode(state_machine.capture_snapshot())
    logged = sum(len(msgspec.msgpack.encode(command)) for command in commands)
    return [
        Figure(name="memory per claim", value=_measure_memory(), unit="B"),
        Figure(name="applies on one core", value=len(commands) / spent_s, unit="1/s"),
        Figure(name="log bytes per action", value=logged / CLAIMS, unit="B"),
        Figure(name="snapshot bytes per claim", value=len(snapshot) / CLAIMS, unit="B"),
    ]


def _measure_memory() -> float:
    tracemalloc.start()
    try:
        state_machine = ClaimStateMachine()
        before = tracemalloc.get_traced_memory()[0]
        for number in range(CLAIMS):
            for command in make_settled_claim(number, response_bytes=ANSWER_BYTES):
                # As they come from the log: nothing is shared between two commands.
                data = msgspec.msgpack.encode(command)
                command = msgspec.msgpack.decode(data, type=LedgerCommand)
                state_machine.apply(index=LogIndex(number), command=command)
        del command, data
        return (tracemalloc.get_traced_memory()[0] - before) / CLAIMS
    finally:
        tracemalloc.stop()


def _measure_latency() -> list[Figure]:
    offset = int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))
    with tempfile.TemporaryDirectory(prefix="ledger-") as folder:
        example = place_example("wheatsheaf", Path(folder), port_offset=offset)
        with run_fleet(example):
            address = read_address(example.nodes[0], "caller_listen")
            for number in range(10):
                _time_order(address, f"warm-{number}")
                _time_read(address)
            reads = [_time_read(address) for _ in range(CALLS)]
            orders = [_time_order(address, f"order-{number}") for number in range(CALLS)]
            resends = [_time_order(address, f"order-{number}") for number in range(CALLS)]
    return [
        _compare("new action, median", statistics.median(orders), statistics.median(reads)),
        _compare("new action, p95", _find_p95(orders), _find_p95(reads)),
        _compare("resend, median", statistics.median(resends), statistics.median(reads)),
    ]


def _compare(name: str, value_s: float, baseline_s: float) -> Figure:
    return Figure(
        name=name,
        value=value_s * 1_000,
        unit="ms",
        baseline=baseline_s * 1_000,
        baseline_name="read through the same node",
    )


def _find_p95(values: list[float]) -> float:
    return statistics.quantiles(values, n=20)[-1]


def _time_order(address: str, key: str) -> float:
    headers = {
        "Host": "orders.wheatsheaf.example",
        "Idempotency-Key": key,
        "X-Workspace": "bakers",
    }
    started_s = time.perf_counter()
    answer = send_request(address, "POST", "/kit-orders", headers=headers, body=b"{}")
    assert answer.status == 200, answer
    return time.perf_counter() - started_s


def _time_read(address: str) -> float:
    headers = {"Host": "recipes.wheatsheaf.example", "X-Workspace": "bakers"}
    started_s = time.perf_counter()
    answer = send_request(address, "GET", "/bread", headers=headers)
    assert answer.status == 200, answer
    return time.perf_counter() - started_s
