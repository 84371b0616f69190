"""Typed values as plain data, for JSON that names its fields."""

from collections.abc import Mapping


def plain_of(content: object) -> object:
    """Turn named tuples into objects, at any depth.

    :param content: numbers, texts, mappings, sequences and named tuples.
    :returns: the same as dictionaries and lists.
    """
    if isinstance(content, tuple) and hasattr(content, '_asdict'):
        return {
            name: plain_of(item) for name, item in content._asdict().items()
        }
    if isinstance(content, Mapping):
        return {str(key): plain_of(item) for key, item in content.items()}
    if isinstance(content, (list, tuple, set, frozenset)):
        return [plain_of(item) for item in content]
    return content
