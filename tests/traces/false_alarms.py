"""Counts false ejections of healthy pools over many simulated hours.

Run with `PYTHONPATH=tests .venv/bin/python -m traces.false_alarms --mode fast --seeds 100`.
"""

import argparse
import time

from samphirespring.version.states import DetectionMode
from traces.measurement import measure_scenario
from traces.scenarios import SCENARIOS

REPORT_EVERY = 20


def main():
    """Print false ejections and healthy target hours so far, every 20 seeds."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--mode", choices=["fast", "careful"], default="fast")
    parser.add_argument("--scenario", default="healthy")
    parser.add_argument("--first-seed", type=int, default=1_000_000)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=3_600.0, help="Stop after this time.")
    options = parser.parse_args()
    scenario = next(entry for entry in SCENARIOS if entry.name == options.scenario)
    mode = DetectionMode(options.mode)
    started_s = time.monotonic()
    false_count, hours = 0, 0.0
    for number in range(options.seeds):
        result = measure_scenario(scenario, mode=mode, seeds=[options.first_seed + number])
        false_count += result.false_count
        hours += result.healthy_hours
        done = time.monotonic() - started_s > options.seconds
        if done or (number + 1) % REPORT_EVERY == 0 or number + 1 == options.seeds:
            print(f"{options.mode}: {false_count} false in {hours:.1f} target hours", flush=True)
        if done:
            break


if __name__ == "__main__":
    main()
