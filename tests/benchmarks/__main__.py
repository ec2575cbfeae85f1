"""Runs benchmarks and prints a table of figures, or JSON Lines with --json."""

import argparse
import datetime
import importlib
import json
import pkgutil
import subprocess

from rich.console import Console
from rich.table import Table

import benchmarks
from benchmarks.figures import Figure

NOT_BENCHMARKS = frozenset({"__main__", "figures", "memory_node"})


def main() -> None:
    """Run the named benchmarks, or all of them."""
    names = sorted(
        module.name
        for module in pkgutil.iter_modules(benchmarks.__path__)
        if module.name not in NOT_BENCHMARKS
    )
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help=f"one of {', '.join(names)}; all if none is named")
    parser.add_argument("--json", action="store_true", help="print JSON Lines")
    options = parser.parse_args()
    unknown = set(options.names) - set(names)
    if unknown:
        parser.error(f"no benchmark {', '.join(sorted(unknown))}")
    console = Console(width=130)
    for name in options.names or names:
        module = importlib.import_module(f"benchmarks.{name}")
        if not hasattr(module, "measure"):
            continue
        figures = module.measure()
        if options.json:
            _print_json(name, figures)
        else:
            console.print(_make_table(name, figures))


def _print_json(name: str, figures: list[Figure]) -> None:
    for figure in figures:
        row = {
            "benchmark": name,
            "date": datetime.date.today().isoformat(),
            "commit": _read_commit(),
            "name": figure.name,
            "value": figure.value,
            "unit": figure.unit,
            "baseline": figure.baseline,
            "baseline_name": figure.baseline_name,
        }
        print(json.dumps(row), flush=True)


def _make_table(name: str, figures: list[Figure]) -> Table:
    table = Table(title=f"{name} ({datetime.date.today().isoformat()}, {_read_commit()})")
    for column in ("figure", "value", "unit", "baseline", "ratio", "baseline is"):
        table.add_column(column, justify="left" if column in ("figure", "unit") else "right")
    for figure in figures:
        table.add_row(
            figure.name,
            _show(figure.value),
            figure.unit,
            "" if figure.baseline is None else _show(figure.baseline),
            "" if figure.ratio is None else f"{figure.ratio:.2f}",
            figure.baseline_name,
        )
    return table


def _show(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 1_000 else f"{value:.3g}"


def _read_commit() -> str:
    command = ["git", "rev-parse", "--short", "HEAD"]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    return result.stdout.strip() or "no commit"


if __name__ == "__main__":
    main()
