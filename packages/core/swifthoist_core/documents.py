"""Documents: reports as JSON objects with named fields, for other programs.

Between the project's own programs a report travels as msgspec encodes it,
with the fields of a named tuple in order; people and scripts get names.
"""

from collections.abc import Mapping
from typing import TypeAlias, cast

Document: TypeAlias = (
    dict[str, 'Document'] | list['Document'] | str | int | float | bool | None
)
"""A JSON value."""


def document(value: object) -> Document:
    """Name the fields of named tuples, at every depth.

    :param value: a report or a part of one.
    :returns: a JSON value.
    """
    named = getattr(value, '_asdict', None)
    if named is not None:
        return document(named())
    match value:
        case Mapping():
            return {str(key): document(value[key]) for key in value}
        case tuple() | list():
            return [document(item) for item in value]
        case _:
            return cast(Document, value)
