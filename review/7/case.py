"""Three of five core machines are removed for good, one second apart, after their successors have run for long.

The acknowledged configuration can't be read or changed any more. TROUBLE=0: the successors are added, none is removed.
"""

import json
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

from fleet import (  # noqa: E402
    CONTROL, SERVICE_ZONES, Fleet, Machine, Record, call, make_config, run_case, submit, wait_for,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REMOVED = 3
INTERVAL_S = 1.0
SUCCESSORS_RUN_S = 12.0
"""Three times `catch-up` (4 s)."""

RECOVERY_S = 15.0
READ_S = 20.0


def read_version(fleet, record):
    """Read the configuration once from any running machine; None without it."""
    for machine in fleet.controls:
        ip = machine.ip
        for _ in range(3):
            answer = call(ip, CONTROL, "GET", "/api/config/read")
            if answer is None or answer[0] != 307:
                break
            ip = answer[1]["location"].split("//")[1].split(":")[0]
        record("READ at", machine.name, answer and answer[0])
        if answer is not None and answer[0] == 200:
            return json.loads(answer[2])["version"]
    return None


def configure(version):
    routes = [{"host": "jepu9.example", "path-prefix": "/orders/", "kind": "unsafe", "service": "wuno96b",
               "timeout": f"{5000 + version}ms"}]
    return make_config(version, routes, ["wuno96b"])


def main():
    record = Record(HERE / "record.txt")
    with Fleet(controls=5, services=("wuno96b",)) as fleet:
        record("ACK of version 1:", submit(fleet, configure(1), 0))
        time.sleep(8)
        old = list(fleet.controls)
        for number in range(REMOVED):
            machine = Machine(fleet, "samphire-control", f"core-new-{number}", f"{fleet.prefix}.{20 + number}",
                              SERVICE_ZONES[number])
            # A successor starts with an empty disk, and `bootstrap` is false.
            fleet.first_start = False
            machine.start()
            fleet.controls.append(machine)
            record("ADDED", machine.name)
            time.sleep(1.0)
        time.sleep(SUCCESSORS_RUN_S)
        status = submit(fleet, configure(2), 1)
        record("ACK of version 2:", status)
        if status != 200:
            return 2
        if TROUBLE:
            for machine in old[1 : 1 + REMOVED]:
                machine.kill()
                fleet.controls.remove(machine)
                record("REMOVED for good", machine.name)
                time.sleep(INTERVAL_S)
        time.sleep(RECOVERY_S)
        ended = [machine.name for machine in fleet.controls if machine.exit_status is not None]
        version = None
        until = time.monotonic() + READ_S
        while version is None and time.monotonic() < until:
            version = read_version(fleet, record)
            time.sleep(0.5)
        status = submit(fleet, configure(3), 2, timeout=10.0)
        record("RESULT running core machines:", len(fleet.controls), "ended by themselves:", ended,
               "acknowledged: 2, read back:", version, "- the next change:", status)
        return 0 if version == 2 else 1


if __name__ == "__main__":
    run_case(main)
