"""Faults of the program's own, kept to the thing that brings them out.

A decision looks at many jobs, runs and runners. Where looking at one of them
fails, the decision goes on without it.
"""

from enum import StrEnum
from types import TracebackType
from typing import NamedTuple


class FaultSource(StrEnum):
    """What a decision may fail on."""

    JOB = 'job'
    RUNNER = 'runner'
    TEAM = 'team'


class Fault(NamedTuple):
    """A fault of the program's own, and what brought it out.

    :ivar kind: what kind of thing that is.
    :ivar name: its id or name.
    :ivar error: the exception, with its traceback.
    """

    kind: FaultSource
    name: str
    error: Exception


class FaultGuard:
    """Collects faults, the first of each thing."""

    def __init__(self) -> None:
        """Start without faults."""
        self._faults: dict[tuple[FaultSource, str], Fault] = {}

    @property
    def faults(self) -> tuple[Fault, ...]:
        """The faults, in the order in which they were met."""
        return tuple(self._faults.values())

    def isolate(self, kind: FaultSource, name: str) -> '_Isolation':
        """Keep a fault to what is looked at; what follows goes on.

        :param kind: what kind of thing is looked at.
        :param name: its id or name.
        :returns: a context that notes the fault.
        """
        return _Isolation(self, kind, name)

    def note(self, fault: Fault) -> None:
        """Note a fault, unless one of the same thing is noted.

        :param fault: the fault.
        """
        self._faults.setdefault((fault.kind, fault.name), fault)


class _Isolation:
    """Notes the fault of one look, and goes on."""

    __slots__ = ('_guard', '_kind', '_name')

    def __init__(self, guard: FaultGuard, kind: FaultSource, name: str) -> None:
        self._guard = guard
        self._kind = kind
        self._name = name

    def __enter__(self) -> None:
        """Begin the look."""

    def __exit__(
        self,
        _type: type[BaseException] | None,
        error: BaseException | None,
        _trace: TracebackType | None,
    ) -> bool:
        """End the look, and note what it failed on."""
        if not isinstance(error, Exception):
            return False
        self._guard.note(Fault(self._kind, self._name, error))
        return True
