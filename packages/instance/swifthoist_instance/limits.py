"""Limits of what clients may hold, derived from those of the process.

The memory that an instance needs for itself comes first. Of the rest, a part
each may be held by connections, by bodies that are being received, by accepted
jobs, and by their units that are done; what is left is for copies, snapshots
and the fold.
"""

from typing import NamedTuple

from swifthoist_engine.kept_units import UNIT_BYTES
from swifthoist_platform.boot import BootSettings

BASE_BYTES = 48_000_000
"""Memory of an instance without connections and jobs, in bytes."""

MIN_SPARE_SHARE = 0.125
"""Least share of the memory that clients may use, however little it is."""

CONNECTION_SHARE = 0.25
BODY_SHARE = 0.125
JOB_SHARE = 0.25
UNIT_SHARE = 0.125

CONNECTION_BYTES = 80_000
"""Memory of a connection, in bytes: its objects, what the kernel has received
for it, a piece that is being parsed and a body that is not large."""

RECEIVE_BUFFER_BYTES = 16_384
"""Size of a connection's receive buffer, in bytes; the kernel uses up to twice
as much."""

LARGE_BODY_BYTES = 16_384
"""Size from which a body counts against the limit of all large ones, in
bytes."""

FILE_DESCRIPTORS = 200
"""Descriptors that are reserved for files."""

CALLER_DESCRIPTOR_SHARE = 0.5
INTERNAL_DESCRIPTOR_SHARE = 0.125
READY_DESCRIPTOR_SHARE = 0.0625
"""Shares of the other descriptors; the rest is for connections to the store,
the runners and other instances."""

MIN_CONNECTIONS = 8

MIN_BODY_BYTES = 1_000_000
"""Least size that all large bodies may have together, in bytes, so that one of
the largest always fits."""


class Limits(NamedTuple):
    """Limits of what clients may hold.

    :ivar callers: most connections of callers.
    :ivar internal: most connections of operators and other instances.
    :ivar ready: most connections of the load balancer.
    :ivar body_bytes: size of all large bodies that are being received or
        worked on, in bytes.
    :ivar job_bytes: memory of all accepted jobs, in bytes.
    :ivar units: most units of all jobs that are kept in full before those that
        are done are packed.
    :ivar record_bytes: largest record that the store takes, in bytes.
    """

    callers: int
    internal: int
    ready: int
    body_bytes: int
    job_bytes: int
    units: int
    record_bytes: int


def limits_of(boot: BootSettings) -> Limits:
    """Derive the limits from the settings.

    :param boot: the settings.
    :returns: the limits.
    """
    memory = boot.memory_bytes
    spare = max(memory - BASE_BYTES, memory * MIN_SPARE_SHARE)
    sockets = boot.max_descriptors - FILE_DESCRIPTORS
    affordable = spare * CONNECTION_SHARE / CONNECTION_BYTES
    return Limits(
        _count(min(affordable, sockets * CALLER_DESCRIPTOR_SHARE)),
        _count(min(affordable, sockets * INTERNAL_DESCRIPTOR_SHARE)),
        _count(min(affordable, sockets * READY_DESCRIPTOR_SHARE)),
        max(int(spare * BODY_SHARE), MIN_BODY_BYTES),
        int(spare * JOB_SHARE),
        int(spare * UNIT_SHARE / UNIT_BYTES),
        boot.store.record_bytes,
    )


def _count(connections: float) -> int:
    return max(int(connections), MIN_CONNECTIONS)
