"""Reduces statistics to what can be encoded.

A snapshot without some totals and estimates is better than none: what callers
were promised is in it, and nothing of that is ever left out.
"""

from collections.abc import Iterator
from dataclasses import MISSING, Field, fields, is_dataclass, replace
from typing import Any, TypeVar

import msgspec

from swifthoist_engine.cell_state import CellState

ENCODE_ERRORS = (OverflowError, TypeError, ValueError, RecursionError)
"""What encoding raises for a value that can't be encoded, now or later."""

_Data = TypeVar('_Data')


def storable_state(state: CellState) -> tuple[CellState, tuple[str, ...]]:
    """Leave out totals and estimates that can't be encoded.

    :param state: the state.
    :returns: a copy, and the paths of what it lacks.
    """
    left_out: list[str] = []
    reduced = replace(
        state,
        account=_reduce(state.account, 'account', left_out),
        experience=_reduce(state.experience, 'experience', left_out),
    )
    return reduced, tuple(left_out)


def _reduce(data: _Data, path: str, left_out: list[str]) -> _Data:
    """Replace the fields of a data class that can't be encoded."""
    changes = {
        field.name: _reduce_field(
            getattr(data, field.name), field, f'{path}.{field.name}', left_out
        )
        for field in _unstorable_fields(data)
    }
    return replace(data, **changes)  # type: ignore[type-var]


def _unstorable_fields(data: Any) -> Iterator[Field[Any]]:
    for field in fields(data):
        if not _is_storable(getattr(data, field.name)):
            yield field


def _reduce_field(
    found: Any, field: Field[Any], path: str, left_out: list[str]
) -> Any:
    if is_dataclass(found):
        return _reduce(found, path, left_out)
    if isinstance(found, dict):
        return _reduce_table(found, path, left_out)
    left_out.append(path)
    if field.default_factory is not MISSING:
        return field.default_factory()
    return field.default


def _reduce_table(
    table: dict[Any, Any], path: str, left_out: list[str]
) -> dict[Any, Any]:
    """Reduce the values of a table, and drop those that can't be reduced."""
    reduced: dict[Any, Any] = {}
    for key, entry in table.items():
        place = f'{path}[{key}]'
        if _is_storable({key: entry}):
            reduced[key] = entry
        elif _is_storable(key) and is_dataclass(entry):
            reduced[key] = _reduce(entry, place, left_out)
        else:
            left_out.append(place)
    return reduced


def _is_storable(found: object) -> bool:
    try:
        msgspec.msgpack.encode(found)
    except ENCODE_ERRORS:
        return False
    return True
