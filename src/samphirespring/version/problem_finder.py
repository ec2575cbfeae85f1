"""Lists all validation problems of a value for a type, each with its JSON path."""

from typing import Any

import msgspec
import msgspec.inspect

MAX_PROBLEMS = 100
"""Most problems listed for one value; a longer list is of no use to an operator."""


def find_problems(value: Any, expected: Any, *, path: str) -> list[str]:
    """Return the problems of a value, each with its JSON path.

    msgspec stops at the first problem; this function descends into the parts that fail to list all.

    Args:
        value: The value as decoded from JSON without a type.
        expected: The type that the value should have.
        path: JSON path of the value.
    """
    return _find_problems(value, msgspec.inspect.type_info(expected), expected, path)[:MAX_PROBLEMS]


def _find_problems(value: Any, info: msgspec.inspect.Type, expected: Any, path: str) -> list[str]:
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        parts = _find_part_problems(value, info, path)
        return parts or [_add_path(str(error), path)]
    return []


def _find_part_problems(value: Any, info: msgspec.inspect.Type, path: str) -> list[str]:
    match info:
        case msgspec.inspect.UnionType() if value is not None:
            options = [
                option for option in info.types if not isinstance(option, msgspec.inspect.NoneType)
            ]
            return _find_part_problems(value, options[0], path) if len(options) == 1 else []
        case msgspec.inspect.Metadata():
            return _find_part_problems(value, info.type, path)
        case msgspec.inspect.StructType() if isinstance(value, dict):
            return _find_field_problems(value, info, path)
        case msgspec.inspect.DictType() if isinstance(value, dict):
            return _find_item_problems(value, info, path)
        case msgspec.inspect.VarTupleType() if isinstance(value, list):
            return _find_element_problems(value, info, path)
    return []


def _find_field_problems(
    value: dict[str, Any], info: msgspec.inspect.StructType, path: str
) -> list[str]:
    fields = {field.encode_name: field for field in info.fields}
    types = {field.encode_name: field.type for field in msgspec.structs.fields(info.cls)}
    problems = [
        f"Object contains unknown field `{name}` - at `{path}`"
        for name in value
        if name not in fields
    ]
    for name, field in fields.items():
        if name in value:
            problems.extend(_find_problems(value[name], field.type, types[name], f"{path}.{name}"))
        elif field.required:
            problems.append(f"Object missing required field `{name}` - at `{path}`")
    return problems


def _find_item_problems(
    value: dict[str, Any], info: msgspec.inspect.DictType, path: str
) -> list[str]:
    expected = _read_type(info.value_type)
    problems: list[str] = []
    for name, item in value.items():
        problems.extend(_find_problems(item, info.value_type, expected, f"{path}.{name}"))
    return problems


def _find_element_problems(
    value: list[Any], info: msgspec.inspect.VarTupleType, path: str
) -> list[str]:
    expected = _read_type(info.item_type)
    problems: list[str] = []
    for position, item in enumerate(value):
        problems.extend(_find_problems(item, info.item_type, expected, f"{path}[{position}]"))
    return problems


def _read_type(info: msgspec.inspect.Type) -> Any:
    """Return the Python type of an element, for the types that containers of the document hold."""
    match info:
        case msgspec.inspect.StructType():
            return info.cls
        case msgspec.inspect.StrType():
            return str
        case msgspec.inspect.IntType():
            return int
        case msgspec.inspect.FloatType():
            return float
    return Any


def _add_path(text: str, path: str) -> str:
    if "`$" in text:
        return text.replace("`$", f"`{path}", 1)
    return f"{text} - at `{path}`"
