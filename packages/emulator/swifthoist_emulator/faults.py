"""Fault injection for calls to the emulator; tests set the faults."""

import random
from enum import StrEnum
from typing import NamedTuple

import anyio

MAX_HOLD_S = 60.0
"""Maximum time that a call without an answer is held, in seconds."""


class FaultEffect(StrEnum):
    """What a fault does to a call; a kind of call ignores some of the effects.

    :cvar NONE: the call is carried out and answered.
    :cvar BUSY: it is refused as overload.
    :cvar SILENT: it is neither carried out nor answered.
    :cvar SLOW: it is carried out and answered after a delay.
    :cvar LOST: it is carried out, but its answer is lost.
    :cvar LATE: it is carried out after a delay and gets no answer.
    :cvar REBORN: the same, right after a restart of its runner.
    """

    NONE = 'none'
    BUSY = 'busy'
    SILENT = 'silent'
    SLOW = 'slow'
    LOST = 'lost'
    LATE = 'late'
    REBORN = 'reborn'


class Fault(NamedTuple):
    """A fault that affects one kind of call.

    :ivar effect: what it does to the calls.
    :ivar share: fraction of the calls that it affects.
    :ivar delay_s: delay of slow and late calls, in seconds.
    :ivar callers: names of the callers that it affects; empty for all.
    """

    effect: FaultEffect
    share: float = 1.0
    delay_s: float = 1.0
    callers: frozenset[str] = frozenset()


NO_FAULT = Fault(FaultEffect.NONE)


class Faults:
    """The active faults, by kind of call.

    :ivar store_writes: appends to the store.
    :ivar store_reads: reads of it.
    :ivar orders: calls that start, stop or pace a run.
    :ivar looks: polls of runners.
    :ivar duties: orders for the upkeep of machines.
    :ivar cut: addresses of unreachable runners.
    :ivar unlisted: the registry entries of all runners have expired.
    :ivar over: set when the emulator stops.
    """

    def __init__(self, seed: int) -> None:
        """Start without faults.

        :param seed: seed of the choice of affected calls.
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
        """Hold a call without an answer until its caller has given up."""
        with anyio.move_on_after(MAX_HOLD_S):
            await self.over.wait()

    def draw(self, fault: Fault, caller: str = '') -> FaultEffect:
        """Draw the effect of a fault on a call.

        :param fault: the fault for this kind of call.
        :param caller: name of the caller.
        :returns: the effect.
        """
        if fault.callers and caller not in fault.callers:
            return FaultEffect.NONE
        hit = self._random.random() < fault.share
        return fault.effect if hit else FaultEffect.NONE
