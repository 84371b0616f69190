"""Free room on workers, indexed by what still fits."""

import bisect
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from swifthoist_core.buddies import largest_slot, slot_size
from swifthoist_core.shapes import Adjacency, Shape, WorkerSpec
from swifthoist_core.topology import domain
from swifthoist_core.types import WorkerId


class Room(NamedTuple):
    """What is free on one worker.

    :ivar busy: bit mask of the accelerators in use, bit 0 the first.
    :ivar cores: processor cores free.
    :ivar memory_mib: memory free, in MiB.
    """

    busy: int
    cores: int
    memory_mib: int

    def less(self, taken: int, shape: Shape) -> 'Room | None':
        """Take one part out.

        :param taken: mask of its accelerators.
        :param shape: what it needs besides.
        :returns: what is left, ``None`` if it does not fit.
        """
        if self.busy & taken:
            return None
        if self.cores < shape.cores or self.memory_mib < shape.memory_mib:
            return None
        return Room(
            self.busy | taken,
            self.cores - shape.cores,
            self.memory_mib - shape.memory_mib,
        )

    def plus(self, taken: int, shape: Shape) -> 'Room':
        """Give one part back.

        :param taken: mask of its accelerators.
        :param shape: what it needed besides.
        :returns: what is free then.
        """
        return Room(
            self.busy & ~taken,
            self.cores + shape.cores,
            self.memory_mib + shape.memory_mib,
        )

    def without(self, held: 'Room') -> 'Room':
        """Leave out what is held.

        :param held: accelerators, cores and memory to leave free.
        :returns: what is free beside it.
        """
        return Room(
            self.busy | held.busy,
            self.cores - held.cores,
            self.memory_mib - held.memory_mib,
        )

    def both(self, other: 'Room') -> 'Room':
        """Keep what is free in two views of a worker.

        :param other: the other view.
        :returns: what is free in both.
        """
        return Room(
            self.busy | other.busy,
            min(self.cores, other.cores),
            min(self.memory_mib, other.memory_mib),
        )


class Fit(NamedTuple):
    """Class of workers with alike free room.

    :ivar slot: size of the largest free slot.
    :ivar cores_bits: bit length of the free cores.
    """

    slot: int
    cores_bits: int


_Bucket = list[WorkerId]
_MOST_RANKED = 64
_LEVELS = (Adjacency.WORKER, Adjacency.RACK, Adjacency.ZONE, Adjacency.ANY)


class RoomIndex:
    """Open workers by domain and by what fits on them."""

    def __init__(self) -> None:
        """Start with no worker."""
        self._fits: dict[WorkerId, Fit] = {}
        self._names: dict[WorkerId, tuple[str, ...]] = {}
        self._buckets: dict[str, dict[Fit, _Bucket]] = {}
        self._by_level: dict[Adjacency, dict[str, None]] = {
            level: {} for level in _LEVELS
        }

    def put(self, spec: WorkerSpec, room: Room) -> None:
        """Note what is free on a worker.

        :param spec: the worker.
        :param room: its free room.
        """
        slot = largest_slot(room.busy, spec.accelerators)
        fit = Fit(slot, max(0, room.cores).bit_length())
        if self._fits.get(spec.worker) == fit:
            return
        self.drop(spec.worker)
        self._fits[spec.worker] = fit
        names = tuple(domain(spec, level) for level in _LEVELS)
        self._names[spec.worker] = names
        for level, name in zip(_LEVELS, names, strict=True):
            self._by_level[level][name] = None
            buckets = self._buckets.setdefault(name, {})
            bisect.insort(buckets.setdefault(fit, []), spec.worker)

    def drop(self, worker: WorkerId) -> None:
        """Forget a worker.

        :param worker: id of the worker.
        """
        fit = self._fits.pop(worker, None)
        if fit is None:
            return
        for name in self._names.pop(worker):
            buckets = self._buckets[name]
            buckets[fit].pop(bisect.bisect_left(buckets[fit], worker))
            if not buckets[fit]:
                buckets.pop(fit)

    def domains(self, shape: Shape) -> list[str]:
        """Name the domains that may hold a gang, fullest first.

        :param shape: what the gang needs.
        :returns: names at the level of the shape's adjacency.
        """
        if shape.adjacency is Adjacency.WORKER:
            fitting = self.candidates(shape, '')
            return [self._names[worker][0] for worker in fitting]
        ranked = []
        for name in self._by_level[shape.adjacency]:
            workers = self._count(shape, name)
            if workers:
                ranked.append((workers, name))
        return [domain_name for _, domain_name in sorted(ranked)]

    def candidates(self, shape: Shape, within: str) -> Iterator[WorkerId]:
        """Go through workers that may hold a part, tightest fit first.

        :param shape: what the part needs.
        :param within: name of the domain.
        :returns: ids of the workers, in a stable order.
        """
        buckets = self._buckets.get(within, {})
        fits = [fit for fit in buckets if _may_hold(fit, shape)]
        for fit in sorted(fits):
            yield from self._ordered(fit, buckets[fit], within)

    def _ordered(
        self, fit: Fit, bucket: _Bucket, within: str
    ) -> Iterable[WorkerId]:
        if within or len(bucket) > _MOST_RANKED:
            return tuple(bucket)
        in_rack = {
            worker: len(self._buckets[self._names[worker][1]][fit])
            for worker in bucket
        }
        return sorted(bucket, key=lambda worker: (in_rack[worker], worker))

    def _count(self, shape: Shape, within: str) -> int:
        buckets = self._buckets.get(within, {})
        return sum(
            len(bucket)
            for fit, bucket in buckets.items()
            if _may_hold(fit, shape)
        )


def _may_hold(fit: Fit, shape: Shape) -> bool:
    enough = fit.slot >= slot_size(shape.accelerators)
    return enough and fit.cores_bits >= shape.cores.bit_length()
