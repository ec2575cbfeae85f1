"""Tables of a dump for people."""

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec
from rich.markup import escape
from rich.table import Table

VALUE_COLUMNS = ("field", "value")


def make_dump_tables(state: Mapping[str, Mapping[str, Any]]) -> Iterator[Table]:
    """Yield one table of plain values for each task, and one for each of its lists of objects.

    Args:
        state: The state of each task, by its name.
    """
    for task, values in state.items():
        yield from _make_tables(task, values)


def _make_tables(title: str, values: Mapping[str, Any]) -> Iterator[Table]:
    plain = Table(*VALUE_COLUMNS, title=escape(title))
    below: list[Table] = []
    for name, value in values.items():
        if _is_rows(value):
            below.append(_make_rows(f"{title}.{name}", value))
        elif isinstance(value, Mapping):
            below.extend(_make_tables(f"{title}.{name}", value))
        else:
            plain.add_row(escape(name), _show(value))
    if plain.row_count:
        yield plain
    yield from below


def _is_rows(value: Any) -> bool:
    return isinstance(value, list) and bool(value) and isinstance(value[0], Mapping)


def _make_rows(title: str, rows: list[Mapping[str, Any]]) -> Table:
    columns = list(dict.fromkeys(name for row in rows for name in row))
    table = Table(*(escape(name) for name in columns), title=escape(f"{title}: {len(rows)}"))
    for row in rows:
        table.add_row(*(_show(row.get(name)) for name in columns))
    return table


def _show(value: Any) -> str:
    return "-" if value is None else escape(show_text(value))


def show_text(value: object) -> str:
    """Return a text as it is, and any other value as JSON.

    Args:
        value: The value.
    """
    return value if isinstance(value, str) else msgspec.json.encode(value).decode()
