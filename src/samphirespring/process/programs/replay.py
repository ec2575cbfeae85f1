"""`samphire-replay`: replays a recorded trace through fault detection and prints the results."""

import sys
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from samphirespring.process.replay.report import ReplayReport, replay_trace
from samphirespring.process.replay.trace import Trace, TraceInvalidError, parse_trace

INVALID_EXIT_STATUS = 2
"""Exit status if the trace can't be read or is invalid."""


def run_replay(
    trace: Annotated[Path, typer.Argument(help="JSON Lines file with the trace.")],
    json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
) -> None:
    """Replay a recorded trace and print detection times and false ejections."""
    report = replay_trace(_read_trace(trace))
    if json:
        print(msgspec.json.encode(report).decode())
    else:
        _print_tables(report)


def main() -> None:
    """Run the program."""
    typer.run(run_replay)


def _read_trace(path: Path) -> Trace:
    try:
        with path.open("rb") as file:
            return parse_trace(file)
    except OSError as error:
        print(f"trace_invalid: {path}: {error.strerror}", file=sys.stderr)
    except TraceInvalidError as error:
        print(str(error).replace("\n", " "), file=sys.stderr)
    sys.exit(INVALID_EXIT_STATUS)


def _print_tables(report: ReplayReport) -> None:
    console = Console()
    console.print(_make_detection_table(report))
    console.print(_make_ejection_table(report))
    console.print(f"False ejections: {report.false_ejections}")
    console.print(f"Healthy target hours: {report.healthy_target_hours:.3f}")
    console.print(f"Floor violations: {report.floor_violations}")


def _make_detection_table(report: ReplayReport) -> Table:
    table = Table("Unhealthy target", "Detection (s)", title="Detection")
    for target, delay_s in report.detection_s.items():
        table.add_row(target, f"{delay_s:.2f}")
    for target in report.missed:
        table.add_row(target, "missed")
    return table


def _make_ejection_table(report: ReplayReport) -> Table:
    table = Table("Target", "From (s)", "Until (s)", title="Ejections")
    for entry in report.ejections:
        table.add_row(entry.target, f"{entry.at:.2f}", f"{entry.until:.2f}")
    return table
