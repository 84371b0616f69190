"""Shapes of work: how many accelerators, and how near to each other."""

import enum
from typing import NamedTuple

from swifthoist_core.types import Millis

MAX_PARTS = 128
"""Most parts of one gang."""


class Adjacency(enum.IntEnum):
    """The smallest part of the topology that must hold every part of a gang.

    Greater values are wider: ``WORKER`` puts all parts on one worker,
    ``RACK`` in one rack, ``ZONE`` in one availability zone, and ``ANY``
    anywhere. The accelerators of one part always share a worker.
    """

    WORKER = 1
    RACK = 2
    ZONE = 3
    ANY = 4


class Shape(NamedTuple):
    """What a gang needs.

    :ivar parts: number of parts, all of which run or none, 1 to 128.
    :ivar accelerators: accelerators of each part, on one worker, aligned
        to the next power of two; 0 for work without accelerators.
    :ivar cores: processor cores of each part.
    :ivar memory_mib: memory of each part, in MiB.
    :ivar adjacency: how near the parts must be to each other.
    """

    parts: int
    accelerators: int
    cores: int = 1
    memory_mib: int = 1024
    adjacency: Adjacency = Adjacency.ANY

    @property
    def total_accelerators(self) -> int:
        """Accelerators of all parts together."""
        return self.parts * self.accelerators


class GuaranteedShape(NamedTuple):
    """A shape that an owner can always get, some number of times over.

    :ivar shape: the shape of one gang.
    :ivar copies: how many such gangs at the same time.
    """

    shape: Shape
    copies: int = 1


class WorkerSpec(NamedTuple):
    """One worker of the platform as the system knows it.

    :ivar worker: id of the worker.
    :ivar incarnation: start of this life of the worker, ms since the epoch.
    :ivar address: ``host:port`` with an IP number.
    :ivar zone: availability zone.
    :ivar rack: rack within the zone.
    :ivar accelerators: number of accelerators, 0 or more.
    :ivar cores: processor cores.
    :ivar memory_mib: memory, in MiB.
    """

    worker: str
    incarnation: Millis
    address: str
    zone: str
    rack: str
    accelerators: int
    cores: int
    memory_mib: int
