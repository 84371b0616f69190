"""Checks of documents from outside that report every finding at once."""

import typing
from collections.abc import Iterator

import msgspec

from swifthoist_core.errors import Finding


def parse_json(subject: str, body: bytes) -> object | Finding:
    """Read JSON.

    :param subject: what is read, as the place of a finding.
    :param body: the bytes.
    :returns: the content, or what is wrong with it.
    """
    try:
        return typing.cast(object, msgspec.json.decode(body))
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Finding(subject, f'is not JSON: {exc}')


def check_document(
    kind: type, content: object, place: str = ''
) -> tuple[Finding, ...]:
    """Check a document against a typed dictionary, field by field.

    The library that converts the fields stops at the first error, so each
    field is converted by itself.

    :param kind: a ``TypedDict`` with constraints as annotations.
    :param content: what came from outside.
    :param place: where the document stands in a larger one.
    :returns: every finding, with its place.
    """
    if not isinstance(content, dict):
        return (Finding(place or 'document', 'must be an object'),)
    return tuple(_check_fields(kind, content, place))


def _check_fields(
    kind: type, content: dict[str, object], place: str
) -> Iterator[Finding]:
    hints = typing.get_type_hints(kind, include_extras=True)
    required: frozenset[str] = getattr(kind, '__required_keys__')  # noqa: B009
    for unknown in sorted(set(content) - set(hints)):
        yield Finding(_join(place, unknown), 'is not a known field')
    for missing in sorted(required - set(content)):
        yield Finding(_join(place, missing), 'is missing')
    for name, hint in hints.items():
        if name in content:
            yield from _check_field(hint, content[name], _join(place, name))


def _check_field(
    hint: typing.Any, content: object, place: str
) -> Iterator[Finding]:
    bare = _without(hint, typing.Required, typing.NotRequired)
    plain = _without(bare, typing.Annotated)
    if typing.is_typeddict(plain):
        yield from check_document(plain, content, place)
        return
    if typing.get_origin(plain) is list and isinstance(content, list):
        inner = typing.get_args(plain)[0]
        for index, item in enumerate(content):
            yield from _check_field(inner, item, f'{place}[{index}]')
        return
    try:
        msgspec.convert(content, bare)
    except msgspec.ValidationError as exc:
        yield Finding(place, str(exc))


def _without(hint: typing.Any, *wrappers: typing.Any) -> typing.Any:
    while typing.get_origin(hint) in wrappers:
        hint = typing.get_args(hint)[0]
    return hint


def _join(place: str, name: str) -> str:
    return f'{place}.{name}' if place else name
