"""Formats a dump as tables."""

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec
from rich.markup import escape
from rich.table import Table

VALUE_COLUMNS = ("field", "value")


def make_dump_tables(state: Mapping[str, Mapping[str, Any]]) -> Iterator[Table]:
    """Yield one table of scalar values for each task, and one for each of its lists of objects.

    Args:
        state: The state of each task, by its name.
    """
    for task, values in state.items():
        yield from _make_tables(task, values)


def _make_tables(title: str, values: Mapping[str, Any]) -> Iterator[Table]:
    scalars = Table(*VALUE_COLUMNS, title=escape(title))
    nested: list[Table] = []
    for name, value in values.items():
        if _is_row_list(value):
            nested.append(_make_row_table(f"{title}.{name}", value))
        elif isinstance(value, Mapping):
            nested.extend(_make_tables(f"{title}.{name}", value))
        else:
            scalars.add_row(escape(name), _format_cell(value))
    if scalars.row_count:
        yield scalars
    yield from nested


def _is_row_list(value: Any) -> bool:
    return isinstance(value, list) and bool(value) and isinstance(value[0], Mapping)


def _make_row_table(title: str, rows: list[Mapping[str, Any]]) -> Table:
    columns = list(dict.fromkeys(name for row in rows for name in row))
    table = Table(*(escape(name) for name in columns), title=escape(f"{title}: {len(rows)}"))
    for row in rows:
        table.add_row(*(_format_cell(row.get(name)) for name in columns))
    return table


def _format_cell(value: Any) -> str:
    return "-" if value is None else escape(format_value(value))


def format_value(value: object) -> str:
    """Return a string unchanged, and any other value as JSON.

    Args:
        value: The value.
    """
    return value if isinstance(value, str) else msgspec.json.encode(value).decode()
