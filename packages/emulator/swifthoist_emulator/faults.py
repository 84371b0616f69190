"""What goes wrong with calls to the stand-ins, set from outside."""

import random
from enum import StrEnum
from typing import NamedTuple

import anyio

MAX_HOLD_S = 60.0
"""How long a call that gets no answer is held, in seconds."""


class FaultEffect(StrEnum):
    """What becomes of a call."""

    NONE = 'none'
    BUSY = 'busy'
    SILENT = 'silent'
    SLOW = 'slow'
    LOST = 'lost'
    LATE = 'late'


class Fault(NamedTuple):
    """A fault of one kind of call.

    :ivar effect: what becomes of the calls.
    :ivar share: share of the calls that it meets.
    :ivar delay_s: how long slow calls take, and late ones wait.
    :ivar callers: names of the callers that it meets; empty for all.
    """

    effect: FaultEffect
    share: float = 1.0
    delay_s: float = 1.0
    callers: frozenset[str] = frozenset()


NO_FAULT = Fault(FaultEffect.NONE)


class Faults:
    """The faults in force, by what is called.

    :ivar store_writes: appends to the store.
    :ivar store_reads: reads of it.
    :ivar orders: starts, stops and paces at runners.
    :ivar looks: looks at runners.
    :ivar duties: orders to machines.
    :ivar cut: addresses of runners that can't be reached.
    :ivar unlisted: the entries of all runners have expired.
    :ivar over: set when the stand-ins stop.
    """

    def __init__(self, seed: int) -> None:
        """Start without faults.

        :param seed: seed of what meets which call.
        """
        self.store_writes = NO_FAULT
        self.store_reads = NO_FAULT
        self.orders = NO_FAULT
        self.looks = NO_FAULT
        self.duties = NO_FAULT
        self.cut: set[str] = set()
        self.unlisted = False
        self.over = anyio.Event()
        self._random = random.Random(seed)

    async def hold_unanswered(self) -> None:
        """Hold a call until its caller has given up."""
        with anyio.move_on_after(MAX_HOLD_S):
            await self.over.wait()

    def draw(self, fault: Fault, caller: str = '') -> FaultEffect:
        """Decide what becomes of a call.

        :param fault: the fault of its kind.
        :param caller: who calls.
        :returns: what becomes of it.
        """
        if fault.callers and caller not in fault.callers:
            return FaultEffect.NONE
        hit = self._random.random() < fault.share
        return fault.effect if hit else FaultEffect.NONE
