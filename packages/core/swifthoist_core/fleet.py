"""The fleet: workers, where they stand, and what is free on them."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from swifthoist_core.buddies import best_slot, mask_of, slot_size
from swifthoist_core.records import PartPlacement
from swifthoist_core.room_index import Room
from swifthoist_core.shapes import Adjacency, Shape
from swifthoist_core.topology import domain
from swifthoist_core.types import WorkerId
from swifthoist_core.workers import Workers

_NO_WORKERS: frozenset[WorkerId] = frozenset()


class Search(NamedTuple):
    """What a search for a place must leave alone.

    :ivar banned: workers to leave out.
    :ivar holds: room to leave free, by worker.
    :ivar beside: a second fleet in which the place must be free as well.
    """

    banned: frozenset[WorkerId] = _NO_WORKERS
    holds: dict[WorkerId, Room] = {}  # noqa: RUF012
    beside: 'Fleet | None' = None


_ANYWHERE = Search()


class Fleet(Workers):
    """The aggregate of workers and what is in use on them."""

    def copy(self) -> 'Fleet':
        """Copy the fleet, for trying a placement out."""
        twin = Fleet()
        twin._specs = dict(self._specs)
        twin._rooms = dict(self._rooms)
        twin._leaving = set(self._leaving)
        twin._aside = set(self._aside)
        twin.rebuild()
        return twin

    def occupy(self, shape: Shape, parts: Iterable[PartPlacement]) -> str:
        """Take the place of a gang, wholly or not at all.

        :param shape: what each part needs.
        :param parts: a place for each part.
        :returns: why it is rejected, empty if accepted.
        """
        rooms: dict[WorkerId, Room] = {}
        reason = self._take(shape, parts, rooms)
        if not reason:
            for worker, room in rooms.items():
                self._put(worker, room)
        return reason

    def check(self, shape: Shape, parts: Iterable[PartPlacement]) -> str:
        """Tell whether a gang could take a place.

        :param shape: what each part needs.
        :param parts: a place for each part.
        :returns: why not, empty if it could.
        """
        return self._take(shape, parts, {})

    def _take(
        self,
        shape: Shape,
        parts: Iterable[PartPlacement],
        rooms: dict[WorkerId, Room],
    ) -> str:
        for part in parts:
            room = rooms.get(part.worker) or self._rooms.get(part.worker)
            if room is None or not self.is_open(part.worker):
                return f'worker {part.worker} takes no work'
            left = room.less(mask_of(part.first, part.accelerators), shape)
            if left is None or not self._is_slot(shape, part):
                return f'no room on worker {part.worker}'
            rooms[part.worker] = left
        return ''

    def vacate(self, shape: Shape, parts: Iterable[PartPlacement]) -> None:
        """Give the place of a gang back.

        :param shape: what each part needed.
        :param parts: the place of each part.
        """
        for part in parts:
            room = self._rooms.get(part.worker)
            if room is not None:
                taken = mask_of(part.first, part.accelerators)
                self._put(part.worker, room.plus(taken, shape))

    def is_near(self, shape: Shape, parts: Iterable[PartPlacement]) -> bool:
        """Tell whether parts are as near to each other as a shape asks.

        :param shape: the shape.
        :param parts: a place for each part, on known workers.
        :returns: whether one domain of the topology holds them all.
        """
        specs = (self._specs[part.worker] for part in parts)
        domains = {domain(spec, shape.adjacency) for spec in specs}
        return len(domains) <= 1

    def find(
        self, shape: Shape, search: Search = _ANYWHERE
    ) -> tuple[PartPlacement, ...]:
        """Find a place for a whole gang, where it leaves least in pieces.

        :param shape: what the gang needs.
        :param search: what to leave alone.
        :returns: a place for each part, empty if there is none.
        """
        if shape.adjacency is Adjacency.ANY:
            return self.find_within(shape, '', search)
        for name in self._index.domains(shape):
            parts = self.find_within(shape, name, search)
            if parts:
                return parts
        return ()

    def could_ever_fit(self, shape: Shape) -> bool:
        """Tell whether the workers could hold a gang if all were idle.

        :param shape: what the gang needs.
        :returns: whether there is a place on the idle fleet.
        """
        known = self._ever.get(shape)
        if known is None:
            known = bool(self.idle().find(shape))
            self._ever[shape] = known
        return known

    def idle(self) -> 'Fleet':
        """Copy the workers without what runs on them."""
        twin = Fleet()
        twin._specs = dict(self._specs)
        twin._rooms = {
            worker: Room(0, spec.cores, spec.memory_mib)
            for worker, spec in sorted(self._specs.items())
        }
        twin.rebuild()
        return twin

    def _is_slot(self, shape: Shape, part: PartPlacement) -> bool:
        size = slot_size(shape.accelerators)
        if part.accelerators != size or part.first < 0:
            return False
        end = part.first + size
        aligned = size == 0 or part.first % size == 0
        return aligned and end <= self._specs[part.worker].accelerators

    def find_within(
        self, shape: Shape, within: str, search: Search = _ANYWHERE
    ) -> tuple[PartPlacement, ...]:
        """Find a place for a whole gang in one domain of the topology.

        :param shape: what the gang needs.
        :param within: name of the domain, empty for anywhere.
        :param search: what to leave alone.
        :returns: a place for each part, empty if there is none.
        """
        parts: list[PartPlacement] = []
        for worker in self._index.candidates(shape, within):
            parts.extend(self._slots(worker, shape, search))
            if len(parts) >= shape.parts:
                return tuple(parts[: shape.parts])
        return ()

    def _slots(
        self, worker: WorkerId, shape: Shape, search: Search
    ) -> Iterator[PartPlacement]:
        if worker in search.banned:
            return
        room = self._free(worker, search)
        width = self._specs[worker].accelerators
        size = slot_size(shape.accelerators)
        for _ in range(shape.parts):
            first = best_slot(room.busy, width, size)
            if first is None:
                return
            left = room.less(mask_of(first, size), shape)
            if left is None:
                return
            yield PartPlacement(worker, first, size)
            room = left

    def _free(self, worker: WorkerId, search: Search) -> Room:
        room = self._rooms[worker]
        held = search.holds.get(worker)
        if held is not None:
            room = room.without(held)
        if search.beside is not None:
            room = room.both(search.beside.room(worker))
        return room
