"""What happens to connections on their way, set from outside."""

import random
from collections.abc import Iterable
from enum import StrEnum, auto
from typing import NamedTuple

SLOWEST_S = 0.4
"""Longest delay of a piece of a message, in seconds."""


class Trouble(StrEnum):
    """What happens to a connection."""

    DELAY = auto()
    RESET = auto()
    SILENCE = auto()
    NO_ANSWER = auto()


class Front(NamedTuple):
    """A trouble, and what it meets.

    :ivar trouble: what happens.
    :ivar agent: the instance whose connections it meets; empty for all.
    :ivar addresses: the addresses that it meets; empty for all.
    :ivar share: share of the pieces that it meets.
    """

    trouble: Trouble
    agent: str = ''
    addresses: frozenset[str] = frozenset()
    share: float = 1.0


class Weather:
    """The troubles in force.

    :ivar fronts: the troubles.
    :ivar widths: bytes a second that links of instances bear; others bear any.
    """

    def __init__(self, seed: int) -> None:
        """Start without troubles.

        :param seed: seed of what they meet.
        """
        self.fronts: list[Front] = []
        self.widths: dict[str, float] = {}
        self._random = random.Random(seed)

    def over(self, agent: str, address: str) -> Trouble | None:
        """Tell what meets a piece of a message.

        :param agent: the instance that called.
        :param address: what it called.
        :returns: the trouble; none if it passes.
        """
        for front in self.fronts:
            if self._meets(front, agent, address):
                return front.trouble
        return None

    def delay_s(self) -> float:
        """Draw a delay, in seconds."""
        return self._random.uniform(0, SLOWEST_S)

    def _meets(self, front: Front, agent: str, address: str) -> bool:
        if front.agent not in {'', agent}:
            return False
        if front.addresses and address not in front.addresses:
            return False
        return self._random.random() < front.share


def some(
    rng: random.Random, addresses: Iterable[str], count: int
) -> frozenset[str]:
    """Draw some addresses.

    :param rng: draws them.
    :param addresses: all of them.
    :param count: how many.
    :returns: the addresses.
    """
    return frozenset(rng.sample(sorted(addresses), count))
