"""What may happen in a simulated play."""

from enum import StrEnum, auto
from typing import NamedTuple


class EventKind(StrEnum):
    """What happens."""

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
    """Something that happens, and the pause behind it.

    :ivar kind: what happens.
    :ivar choice: to whom, or of which kind.
    :ivar pause_s: pause behind it, in seconds.
    """

    kind: EventKind
    choice: int
    pause_s: float
