"""Events of a simulation."""

from enum import StrEnum, auto
from typing import NamedTuple


class EventKind(StrEnum):
    """Kind of an event."""

    WAIT = auto()
    SUBMIT = auto()
    CANCEL = auto()
    KILL = auto()
    START = auto()
    FREEZE = auto()
    THAW = auto()
    CUT_STORE = auto()
    CUT_RUNNERS = auto()
    CUT_HOST = auto()
    HEAL = auto()
    HARM_WRITES = auto()
    HARM_READS = auto()
    HARM_ORDERS = auto()
    HARM_LOOKS = auto()
    UNLIST = auto()
    OUTAGE = auto()
    CRASH = auto()
    DRAIN = auto()
    JUMP = auto()


class Event(NamedTuple):
    """An event and the pause after it.

    :ivar kind: kind of the event.
    :ivar choice: number that selects the node, runner, job or fault.
    :ivar pause_s: pause after the event, in seconds.
    """

    kind: EventKind
    choice: int
    pause_s: float
