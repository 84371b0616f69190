"""Isolates unexpected exceptions to the object whose processing raised them.

A decision processes many jobs, runs and runners. If processing one of them
raises, the decision continues without it.
"""

from enum import StrEnum
from types import TracebackType
from typing import NamedTuple


class FaultSource(StrEnum):
    """The kind of object whose processing failed."""

    JOB = 'job'
    RUNNER = 'runner'
    TEAM = 'team'


class Fault(NamedTuple):
    """An unexpected exception and the object whose processing raised it.

    :ivar kind: kind of the object.
    :ivar name: its id or name.
    :ivar error: the exception, with its traceback.
    """

    kind: FaultSource
    name: str
    error: Exception


class FaultGuard:
    """Collects faults, only the first of each object."""

    def __init__(self) -> None:
        """Start without faults."""
        self._faults: dict[tuple[FaultSource, str], Fault] = {}

    @property
    def faults(self) -> tuple[Fault, ...]:
        """The faults, in the order in which they occurred."""
        return tuple(self._faults.values())

    def isolate(self, kind: FaultSource, name: str) -> '_Isolation':
        """Catch and record exceptions raised while an object is processed.

        :param kind: kind of the object.
        :param name: its id or name.
        :returns: a context manager that suppresses and records the exception.
        """
        return _Isolation(self, kind, name)

    def note(self, fault: Fault) -> None:
        """Record a fault, unless the same object has one already.

        :param fault: the fault.
        """
        self._faults.setdefault((fault.kind, fault.name), fault)


class _Isolation:
    """Context manager that records an exception and suppresses it."""

    __slots__ = ('_guard', '_kind', '_name')

    def __init__(self, guard: FaultGuard, kind: FaultSource, name: str) -> None:
        self._guard = guard
        self._kind = kind
        self._name = name

    def __enter__(self) -> None:
        """Start processing the object."""

    def __exit__(
        self,
        _type: type[BaseException] | None,
        error: BaseException | None,
        _trace: TracebackType | None,
    ) -> bool:
        """Record the exception, if any, and suppress it."""
        if not isinstance(error, Exception):
            return False
        self._guard.note(Fault(self._kind, self._name, error))
        return True
