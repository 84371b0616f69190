"""Faults of the program's own, kept to the thing that brings them out.

A decision looks at many jobs, runs and runners. Where looking at one of them
fails, the decision goes on without it.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from enum import StrEnum
from typing import NamedTuple


class Kind(StrEnum):
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

    kind: Kind
    name: str
    error: Exception


class Guard:
    """Collects faults, the first of each thing."""

    def __init__(self) -> None:
        """Start without faults."""
        self._faults: dict[tuple[Kind, str], Fault] = {}

    @property
    def faults(self) -> tuple[Fault, ...]:
        """The faults, in the order in which they were met."""
        return tuple(self._faults.values())

    @contextmanager
    def looking_at(self, kind: Kind, name: str) -> Iterator[None]:
        """Keep a fault to what is looked at; what follows goes on.

        :param kind: what kind of thing is looked at.
        :param name: its id or name.
        """
        try:
            yield
        except Exception as exc:
            self.note(Fault(kind, name, exc))

    def note(self, fault: Fault) -> None:
        """Note a fault, unless one of the same thing is noted.

        :param fault: the fault.
        """
        self._faults.setdefault((fault.kind, fault.name), fault)
