"""Where the demo plays, as its script wrote it down."""

from collections.abc import Mapping
from typing import NamedTuple, TypedDict

import msgspec

from swifthoist_cli.demo_callers import Site
from swifthoist_core.checks import check_document
from swifthoist_core.errors import raise_findings


class Scene(NamedTuple):
    """Where the demo plays.

    :ivar site: the entry instances.
    :ivar runners: addresses of the stand-ins of runners.
    :ivar workers: addresses of the stand-ins of workers, by id.
    """

    site: Site
    runners: tuple[str, ...]
    workers: Mapping[str, str]


class _SceneDocument(TypedDict):
    urls: tuple[str, ...]
    secret: str
    runners: tuple[str, ...]
    workers: dict[str, str]


def read_scene(content: object) -> Scene:
    """Read a scene that the demo's script wrote.

    :param content: a document with the fields of :class:`Scene`.
    :returns: the scene.
    :raises InvalidInputError: with every finding.
    """
    raise_findings('scene', check_document(_SceneDocument, content))
    document = msgspec.convert(content, _SceneDocument)
    return Scene(
        Site(document['urls'], document['secret']),
        document['runners'],
        document['workers'],
    )
