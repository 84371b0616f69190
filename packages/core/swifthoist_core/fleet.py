"""The fleet: workers, where they stand, and what is free on them."""

from collections.abc import Iterable
from typing import NamedTuple

from swifthoist_core.records import PartPlacement
from swifthoist_core.shapes import Adjacency, Shape, WorkerSpec
from swifthoist_core.types import WorkerId

_NO_WORKERS: frozenset[WorkerId] = frozenset()


class Room(NamedTuple):
    """What is free on one worker.

    :ivar busy: bit mask of the accelerators in use, bit 0 the first.
    :ivar cores: processor cores free.
    :ivar memory_mib: memory free, in MiB.
    """

    busy: int
    cores: int
    memory_mib: int


def slot_size(accelerators: int) -> int:
    """Accelerators that a part takes from the buddy tree.

    :param accelerators: how many it asked for.
    :returns: the next power of two, 0 for none.
    """
    if accelerators == 0:
        return 0
    return 1 << (accelerators - 1).bit_length()


def find_slot(spec: WorkerSpec, room: Room, shape: Shape) -> int | None:
    """Find an aligned run of free accelerators for one part.

    :param spec: the worker.
    :param room: what is free on it.
    :param shape: what the part needs.
    :returns: index of the first accelerator, or ``None``.
    """
    if room.cores < shape.cores or room.memory_mib < shape.memory_mib:
        return None
    size = slot_size(shape.accelerators)
    if size == 0:
        return 0
    mask = (1 << size) - 1
    for first in range(0, spec.accelerators - size + 1, size):
        if not room.busy & (mask << first):
            return first
    return None


class Fleet:
    """The aggregate of workers and what is in use on them."""

    def __init__(self) -> None:
        """Start with no worker."""
        self._specs: dict[WorkerId, WorkerSpec] = {}
        self._rooms: dict[WorkerId, Room] = {}
        self._leaving: set[WorkerId] = set()

    def copy(self) -> 'Fleet':
        """Copy the fleet, for trying a placement out."""
        twin = Fleet()
        twin._specs = dict(self._specs)
        twin._rooms = dict(self._rooms)
        twin._leaving = set(self._leaving)
        return twin

    def spec(self, worker: WorkerId) -> WorkerSpec | None:
        """Find a worker.

        :param worker: id of the worker.
        :returns: what is known of it, or ``None``.
        """
        return self._specs.get(worker)

    def specs(self) -> tuple[WorkerSpec, ...]:
        """All workers that are not lost, by id."""
        return tuple(spec for _, spec in sorted(self._specs.items()))

    def is_leaving(self, worker: WorkerId) -> bool:
        """Tell whether a worker drains.

        :param worker: id of the worker.
        :returns: whether it takes no new work.
        """
        return worker in self._leaving

    def join(self, spec: WorkerSpec) -> str:
        """Take a worker in.

        :param spec: the worker.
        :returns: why it is rejected, empty if accepted.
        """
        known = self._specs.get(spec.worker)
        if known is not None and known.incarnation >= spec.incarnation:
            return 'worker already known'
        if known is not None:
            return 'an older life of the worker was not lost yet'
        self._specs[spec.worker] = spec
        self._rooms[spec.worker] = Room(0, spec.cores, spec.memory_mib)
        self._leaving.discard(spec.worker)
        return ''

    def drain(self, worker: WorkerId) -> str:
        """Give a worker no new work.

        :param worker: id of the worker.
        :returns: why it is rejected, empty if accepted.
        """
        if worker not in self._specs:
            return 'unknown worker'
        self._leaving.add(worker)
        return ''

    def lose(self, worker: WorkerId) -> str:
        """Take a worker out; its parts must have been vacated.

        :param worker: id of the worker.
        :returns: why it is rejected, empty if accepted.
        """
        if worker not in self._specs:
            return 'unknown worker'
        self._specs.pop(worker)
        self._rooms.pop(worker)
        self._leaving.discard(worker)
        return ''

    def occupy(self, shape: Shape, parts: Iterable[PartPlacement]) -> str:
        """Take the place of a gang, wholly or not at all.

        :param shape: what each part needs.
        :param parts: a place for each part.
        :returns: why it is rejected, empty if accepted.
        """
        rooms: dict[WorkerId, Room] = {}
        for part in parts:
            room = rooms.get(part.worker) or self._rooms.get(part.worker)
            if room is None or part.worker in self._leaving:
                return f'worker {part.worker} takes no work'
            taken = _mask(part)
            if room.busy & taken or room.cores < shape.cores:
                return f'no room on worker {part.worker}'
            if room.memory_mib < shape.memory_mib:
                return f'no memory on worker {part.worker}'
            rooms[part.worker] = Room(
                room.busy | taken,
                room.cores - shape.cores,
                room.memory_mib - shape.memory_mib,
            )
        self._rooms.update(rooms)
        return ''

    def vacate(self, shape: Shape, parts: Iterable[PartPlacement]) -> None:
        """Give the place of a gang back.

        :param shape: what each part needed.
        :param parts: the place of each part.
        """
        for part in parts:
            room = self._rooms.get(part.worker)
            if room is None:
                continue
            self._rooms[part.worker] = Room(
                room.busy & ~_mask(part),
                room.cores + shape.cores,
                room.memory_mib + shape.memory_mib,
            )

    def find(
        self, shape: Shape, banned: frozenset[WorkerId] = _NO_WORKERS
    ) -> tuple[PartPlacement, ...]:
        """Find a place for a whole gang.

        :param shape: what the gang needs.
        :param banned: workers to leave out.
        :returns: a place for each part, empty if there is none.
        """
        for group in self._groups(shape.adjacency):
            open_workers = [
                spec
                for spec in group
                if spec.worker not in self._leaving
                and spec.worker not in banned
            ]
            parts = self._fill(shape, open_workers)
            if parts:
                return parts
        return ()

    def could_ever_fit(self, shape: Shape) -> bool:
        """Tell whether the workers could hold a gang if all were idle.

        :param shape: what the gang needs.
        :returns: whether there is a place on the idle fleet.
        """
        idle = Fleet()
        for spec in self._specs.values():
            idle.join(spec)
        return bool(idle.find(shape))

    def free_accelerators(self) -> int:
        """Count the accelerators that are not in use."""
        return sum(
            spec.accelerators - self._rooms[worker].busy.bit_count()
            for worker, spec in self._specs.items()
        )

    def _groups(self, adjacency: Adjacency) -> list[list[WorkerSpec]]:
        groups: dict[str, list[WorkerSpec]] = {}
        for spec in self.specs():
            match adjacency:
                case Adjacency.WORKER:
                    key = spec.worker
                case Adjacency.RACK:
                    key = f'{spec.zone}/{spec.rack}'
                case Adjacency.ZONE:
                    key = spec.zone
                case _:
                    key = ''
            groups.setdefault(key, []).append(spec)
        return [group for _, group in sorted(groups.items())]

    def _fill(
        self, shape: Shape, group: list[WorkerSpec]
    ) -> tuple[PartPlacement, ...]:
        parts: list[PartPlacement] = []
        for spec in group:
            room = self._rooms[spec.worker]
            while len(parts) < shape.parts:
                first = find_slot(spec, room, shape)
                if first is None:
                    break
                size = slot_size(shape.accelerators)
                part = PartPlacement(spec.worker, first, size)
                parts.append(part)
                room = Room(
                    room.busy | _mask(part),
                    room.cores - shape.cores,
                    room.memory_mib - shape.memory_mib,
                )
        return tuple(parts) if len(parts) == shape.parts else ()


def _mask(part: PartPlacement) -> int:
    return ((1 << part.accelerators) - 1) << part.first
