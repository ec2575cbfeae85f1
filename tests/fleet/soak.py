"""Runs both examples under random faults and checks invariants against the stand-ins' counts."""

import argparse
import json
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import anyio
import anyio.to_thread

from fleet.example import place_example
from fleet.processes import Fleet, run_fleet
from fleet.soak_edits import IN_FORCE_TIMEOUT_S, SectionEditor, read_document_versions
from fleet.soak_faults import FaultInjector, list_caller_addresses
from fleet.soak_load import CallerLoad, LoadResults, ReportedOutcome, Service

RATE_PER_S = 20.0
RECOVERY_TIME_S = 15.0
SERVICES = {
    "wheatsheaf": [
        Service(host="recipes.wheatsheaf.example"),
        Service(host="orders.wheatsheaf.example", action_path="/kit-orders"),
        Service(host="scaler.wheatsheaf.example"),
    ],
    "anneau-machinerie": [
        Service(host="dispo.anneau.example"),
        Service(host="reservations.anneau.example", action_path="/reservations"),
        Service(host="facturation.anneau.example", action_path="/factures"),
    ],
}
TEAMS = {
    "wheatsheaf": ("recipes", "orders"),
    "anneau-machinerie": ("dispo", "reservations"),
}


def main() -> int:
    """Run the soak and return 0 if there was no violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seconds", type=float, default=600.0, help="time under faults, for all examples together"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--example", choices=sorted(SERVICES), action="append")
    parser.add_argument("--port-offset", type=int, default=0)
    options = parser.parse_args()
    names = options.example or sorted(SERVICES)
    violations: list[str] = []
    for name in names:
        with tempfile.TemporaryDirectory(prefix=f"soak-{name}-") as folder:
            example = place_example(name, Path(folder), port_offset=options.port_offset)
            with run_fleet(example) as fleet:
                violations += anyio.run(
                    _soak, fleet, name, options.seconds / len(names), options.seed
                )
    for violation in violations:
        print(f"VIOLATION: {violation}")
    print(f"violations: {len(violations)}")
    return 1 if violations else 0


async def _soak(fleet: Fleet, name: str, duration_s: float, seed: int) -> list[str]:
    generator = random.Random(seed)
    callers = CallerLoad(
        addresses=list_caller_addresses(fleet),
        services=SERVICES[name],
        workspace_header=json.loads(fleet.example.document.read_text())["fleet"][
            "workspace_header"
        ],
        rate_per_s=RATE_PER_S,
        generator=random.Random(seed + 1),
    )
    faults = FaultInjector(fleet=fleet, callers=callers, generator=generator)
    editors = [
        SectionEditor(fleet=fleet, team=team, generator=random.Random(seed + 2 + number))
        for number, team in enumerate(TEAMS[name])
    ]
    async with anyio.create_task_group() as group:
        group.start_soon(faults.run)
        for editor in editors:
            group.start_soon(editor.run)
        await callers.run(duration_s)
        group.cancel_scope.cancel()
    await anyio.sleep(RECOVERY_TIME_S)
    for editor in editors:
        await editor.check_last()
    violations = [*callers.results.violations, *faults.violations]
    for editor in editors:
        violations += editor.violations
    violations += await anyio.to_thread.run_sync(_check_in_force, fleet)
    violations += check_actions(callers.results, fleet.count_runs())
    _print_figures(name, seed, callers.results, faults, editors)
    return [f"{name}: {violation}" for violation in violations]


def check_actions(results: LoadResults, runs: Counter[str]) -> list[str]:
    """Return the contradictions between the reported outcomes of actions and their runs.

    Args:
        results: Results of the callers.
        runs: How often each action ran at the stand-ins.
    """
    violations = []
    if not runs:
        violations.append("no action ran, so there was nothing to check")
    for key, count in runs.items():
        if count > 1:
            violations.append(f"action {key} ran {count} times")
    for key, outcomes in results.outcomes.items():
        if all(outcome is ReportedOutcome.NOT_RUN for outcome in outcomes) and runs[key] > 0:
            violations.append(f"action {key} ran, and every response reported that it did not")
        if ReportedOutcome.RAN in outcomes and runs[key] == 0:
            violations.append(f"action {key} did not run, and a response reported that it did")
    return violations


def _check_in_force(fleet: Fleet) -> list[str]:
    deadline_at_s = time.monotonic() + IN_FORCE_TIMEOUT_S
    while True:
        versions = read_document_versions(fleet)
        if len(versions) == len(fleet.example.nodes) and len(set(versions.values())) == 1:
            return []
        if time.monotonic() > deadline_at_s:
            return [f"nodes have different documents in force after the faults: {versions}"]
        time.sleep(0.1)


def _print_figures(
    name: str, seed: int, results: LoadResults, faults: FaultInjector, editors: list[SectionEditor]
) -> None:
    print(f"{name}, seed {seed}")
    for label, count in sorted(results.statuses.items()):
        print(f"  {label}: {count}")
    durations = sorted(results.durations_ms)
    if durations:
        print(f"  reads, p50 {durations[len(durations) // 2]:.1f} ms,", end=" ")
        print(f"p99 {durations[len(durations) * 99 // 100]:.1f} ms")
    print(f"  actions: {len(results.outcomes)} keys")
    for label, count in sorted(faults.injected.items()):
        print(f"  fault {label}: {count}")
    for editor in editors:
        print(
            f"  edits accepted: {editor.accepted_count},"
            f" without an answer: {editor.unresolved_count}"
        )
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
