"""Restart of all control processes after many changes of the document."""

import os
import tempfile
import time
from pathlib import Path

from benchmarks.figures import Figure
from fleet.change_series import ChangeSeries
from fleet.example import place_example
from fleet.leaders import find_leader, wait_until_initialized
from fleet.processes import Fleet

PORT_OFFSET = int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))
CHANGES = 1_000
TEAM = "recipes"


def measure_restart():
    """Return the time until the restarted processes serve all changes."""
    with tempfile.TemporaryDirectory(prefix="restart-") as folder:
        fleet = Fleet(place_example("wheatsheaf", Path(folder), port_offset=PORT_OFFSET))
        try:
            return _measure(fleet)
        finally:
            fleet.stop_all()


def _measure(fleet):
    for settings in fleet.example.controls:
        fleet.start_control(settings)
    wait_until_initialized(fleet, team=TEAM)
    series = ChangeSeries(fleet, team=TEAM)
    started_at_s = time.perf_counter()
    series.make(CHANGES)
    change_ms = (time.perf_counter() - started_at_s) / CHANGES * 1e3
    fleet.restart_controls()
    started_at_s = time.perf_counter()
    find_leader(fleet)
    leader_found_s = time.perf_counter() - started_at_s
    series.check()
    served_s = time.perf_counter() - started_at_s
    label = f"restart of 3 control processes after {CHANGES} changes"
    return [
        Figure(name="a change, one after the other, 3 processes", value=change_ms, unit="ms"),
        Figure(name=f"{label}, until one leads", value=leader_found_s, unit="s"),
        Figure(name=f"{label}, until all is checked", value=served_s, unit="s"),
    ]
