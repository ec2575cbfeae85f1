"""Faulty targets send bodies without end; clients close when an answer is longer than any can be.

The node beside the target then takes all that still comes, without a bound.
TROUBLE=0: the same requests and clients; the answers of the same targets end after 2 MB.
"""

import os
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

from client import Client  # noqa: E402
from fleet import APP, CONTROL, OUTBOUND, Fleet, Record, make_config, run_case, submit, wait_for  # noqa: E402
from platform_stand_in import Platform  # noqa: E402
from server import Target  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 300
"""`memory-mb` of the settings; a process that uses more is killed (DEPLOY.md)."""

LONGEST_ANSWER_BYTES = 8_000_000
"""A client that has received more than this closes its connection."""

TARGETS = 4
FAULTY_EACH = 4
"""Each target does it in one of so many of its answers to orders."""

ENDS_PER_MACHINE = 3
RUN_S = 90.0
FINITE_BYTES = 2_000_000
orders = {}
"""Orders that each target has got."""

PART = b"%x\r\n" % 65536 + b"x" * 65536 + b"\r\n"


async def send_large(target, request, reader, writer):
    """Answer orders with a body that has no end until the caller closes, or with a finite one."""
    if request["method"] != "POST" or request["headers"].get("x-expected-instance") != target.target_id:
        return False
    orders[target.target_id] = orders.get(target.target_id, 0) + 1
    if orders[target.target_id] % FAULTY_EACH != 1:
        return False
    target.note_run(request)
    headers = "".join(f"{name}: {value}\r\n" for name, value in target.seal(request, b""))
    writer.write(f"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n{headers}\r\n".encode())
    sent = 0
    while TROUBLE or sent < FINITE_BYTES:
        writer.write(PART)
        sent += 65536
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


def order(fleet, record):
    """Send one order; close if the answer is longer than any can be."""
    received, ident, buffer = 0, None, b""
    try:
        client = Client(fleet.nodes[0].ip, OUTBOUND, record=record, timeout=7.0)
        ident = client.send("POST", "/orders/1", body=b"x" * 300, deadline=6000)
        while received <= LONGEST_ANSWER_BYTES:
            data = client.socket.recv(65536)
            received += len(data)
            buffer = (buffer + data)[:4096]
            if not data or _is_complete(buffer, data, received):
                break
        verdict = "closes an answer without end" if received > LONGEST_ANSWER_BYTES else "is answered"
        record("CLIENT", ident, verdict, "after", received, "bytes:", buffer[:12])
        client.close()
    except OSError as error:
        record("CLIENT", ident, "error", error, "after", received, "bytes")


def _is_complete(buffer, data, received):
    head, mark, _ = buffer.partition(b"\r\n\r\n")
    if not mark:
        return False
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return received >= len(head) + 4 + int(line.split(b":")[1])
    return data.endswith(b"0\r\n\r\n")


def read(fleet, record, counts):
    """Send one read, whose answer is short."""
    try:
        client = Client(fleet.nodes[0].ip, OUTBOUND, timeout=7.0)
        ident, answer = client.request("GET", "/cards/1", deadline=6000)
        client.close()
        status = None if answer is None else answer[0]
    except OSError:
        ident, status = None, None
    counts[status] = counts.get(status, 0) + 1
    if status != 200:
        record("READ", ident, "answered", status)


def main():
    record = Record(HERE / "record.txt")
    with Fleet(services=("wuno96b", *["huvo11a"] * TARGETS)) as fleet:
        targets = []
        for number, machine in enumerate(fleet.nodes):
            target = Target(machine.ip, APP, CONTROL, service=machine.fields["service"],
                            target_id=f"i-{number}", record=record)
            target.hook = send_large
            target.start()
            target.ready.wait()
            targets.append(target)
        routes = [{"host": "jepu9.example", "path-prefix": "/cards/", "service": "huvo11a"}, {"host": "jepu9.example", "path-prefix": "/orders/", "service": "huvo11a",
                   "kind": "unsafe", "timeout": "6000ms", "aim": "1000ms"}]
        if submit(fleet, make_config(1, routes, ["wuno96b", "huvo11a"]), 0) != 200:
            return 2
        if not wait_for(lambda: all(machine.is_ready() for machine in fleet.nodes), 20):
            return 2
        time.sleep(3)
        platform = Platform(fleet.nodes, memory_mb=MEMORY_MB, record=record)
        platform.start()
        ends_at = time.monotonic() + RUN_S
        reads, turn = {}, 0
        while time.monotonic() < ends_at:
            if sum(count >= ENDS_PER_MACHINE for count in platform.ends.values()) >= 2:
                break
            turn += 1
            threading.Thread(target=read, args=(fleet, record, reads), daemon=True).start()
            if turn % 2:
                threading.Thread(target=order, args=(fleet, record), daemon=True).start()
            time.sleep(0.25)
        record("READS answered, by status:", reads)
        platform.stop()
        runs = sum(len(target.runs) for target in targets)
        record("RESULT orders run:", runs, "peak MB:", {n: round(p) for n, p in platform.peaks.items()},
               "ends:", platform.ends)
        if runs == 0:
            return 2
        broken = [n for n, count in platform.ends.items() if count >= ENDS_PER_MACHINE]
        return 1 if len(broken) >= 2 else 0


if __name__ == "__main__":
    run_case(main)
