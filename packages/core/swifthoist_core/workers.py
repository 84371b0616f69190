"""The workers, their states, and what is free on them."""

from swifthoist_core.room_index import Room, RoomIndex
from swifthoist_core.shapes import Shape, WorkerSpec
from swifthoist_core.types import WorkerId

_NO_ROOM = Room(-1, 0, 0)


class Workers:
    """The workers and what is free on each of them.

    :ivar version: grows whenever workers come, go, or change their state.
    """

    DERIVED = frozenset(('_index', '_ever', '_idle', '_usable'))
    """What :meth:`rebuild` computes from the rest of the state."""

    def __init__(self) -> None:
        """Start with no worker."""
        self.version = 0
        self._specs: dict[WorkerId, WorkerSpec] = {}
        self._rooms: dict[WorkerId, Room] = {}
        self._leaving: set[WorkerId] = set()
        self._aside: set[WorkerId] = set()
        self._index = RoomIndex()
        self._ever: dict[Shape, bool] = {}
        self._idle = 0
        self._usable: int | None = None

    def __len__(self) -> int:
        """Count the workers."""
        return len(self._specs)

    def rebuild(self) -> None:
        """Build what is derived anew, after the state was loaded."""
        self._index = RoomIndex()
        self._ever = {}
        self._idle = 0
        self._usable = None
        for worker, room in self._rooms.items():
            self._idle += self._specs[worker].accelerators
            self._idle -= room.busy.bit_count()
            self._note(worker, room)

    def spec(self, worker: WorkerId) -> WorkerSpec | None:
        """Find a worker.

        :param worker: id of the worker.
        :returns: what is known of it, or ``None``.
        """
        return self._specs.get(worker)

    def specs(self) -> tuple[WorkerSpec, ...]:
        """All workers that are not lost, by id."""
        return tuple(spec for _, spec in sorted(self._specs.items()))

    def room(self, worker: WorkerId) -> Room:
        """Tell what is free on a worker.

        :param worker: id of the worker.
        :returns: its room; wholly busy when it is unknown.
        """
        return self._rooms.get(worker, _NO_ROOM)

    def is_leaving(self, worker: WorkerId) -> bool:
        """Tell whether a worker drains.

        :param worker: id of the worker.
        :returns: whether it takes no new work.
        """
        return worker in self._leaving

    def is_open(self, worker: WorkerId) -> bool:
        """Tell whether a worker takes new work.

        :param worker: id of the worker.
        :returns: whether it is there, not leaving and not set aside.
        """
        shut = worker in self._leaving or worker in self._aside
        return worker in self._specs and not shut

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
        self._leaving.discard(spec.worker)
        self._put(spec.worker, Room(0, spec.cores, spec.memory_mib))
        self._changed()
        return ''

    def drain(self, worker: WorkerId) -> str:
        """Give a worker no new work.

        :param worker: id of the worker.
        :returns: why it is rejected, empty if accepted.
        """
        if worker not in self._specs:
            return 'unknown worker'
        self._leaving.add(worker)
        self._index.drop(worker)
        self._changed()
        return ''

    def set_aside(self, worker: WorkerId, aside: bool) -> None:
        """Give a worker that fails everything no work, or try it again.

        :param worker: id of the worker.
        :param aside: whether it is set aside.
        """
        if aside:
            self._aside.add(worker)
            self._index.drop(worker)
        else:
            self._aside.discard(worker)
            if worker in self._rooms:
                self._note(worker, self._rooms[worker])
        self._changed()

    def lose(self, worker: WorkerId) -> str:
        """Take a worker out; its parts must have been vacated.

        :param worker: id of the worker.
        :returns: why it is rejected, empty if accepted.
        """
        if worker not in self._specs:
            return 'unknown worker'
        self._index.drop(worker)
        self._idle -= self._specs.pop(worker).accelerators
        self._idle += self._rooms.pop(worker).busy.bit_count()
        self._leaving.discard(worker)
        self._aside.discard(worker)
        self._changed()
        return ''

    def free_accelerators(self) -> int:
        """Count the accelerators that are not in use."""
        return self._idle

    def usable_accelerators(self) -> int:
        """Count the accelerators of workers that are not leaving."""
        if self._usable is None:
            self._usable = sum(
                spec.accelerators
                for worker, spec in self._specs.items()
                if worker not in self._leaving
            )
        return self._usable

    def _changed(self) -> None:
        self.version += 1
        self._ever = {}
        self._usable = None

    def _put(self, worker: WorkerId, room: Room) -> None:
        before = self._rooms.get(worker)
        if before is None:
            self._idle += self._specs[worker].accelerators
        else:
            self._idle += before.busy.bit_count()
        self._idle -= room.busy.bit_count()
        self._rooms[worker] = room
        self._note(worker, room)

    def _note(self, worker: WorkerId, room: Room) -> None:
        if self.is_open(worker):
            self._index.put(self._specs[worker], room)
