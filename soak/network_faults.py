"""What happens to connections on their way, set from outside."""

import random
from collections.abc import Iterable
from enum import StrEnum, auto
from typing import NamedTuple

MAX_DELAY_S = 0.4
"""Longest delay of a piece of a message, in seconds."""


class NetworkEffect(StrEnum):
    """What happens to a connection."""

    DELAY = auto()
    RESET = auto()
    SILENCE = auto()
    NO_ANSWER = auto()


class NetworkFault(NamedTuple):
    """A trouble, and what it meets.

    :ivar effect: what happens.
    :ivar agent: the instance whose connections it meets; empty for all.
    :ivar addresses: the addresses that it meets; empty for all.
    :ivar share: share of the pieces that it meets.
    """

    effect: NetworkEffect
    agent: str = ''
    addresses: frozenset[str] = frozenset()
    share: float = 1.0


class NetworkFaults:
    """The troubles in force.

    :ivar active: the troubles.
    :ivar bandwidths: bytes a second that links of instances bear; others bear any.
    """

    def __init__(self, seed: int) -> None:
        """Start without troubles.

        :param seed: seed of what they meet.
        """
        self.active: list[NetworkFault] = []
        self.bandwidths: dict[str, float] = {}
        self._random = random.Random(seed)

    def effect_on(self, agent: str, address: str) -> NetworkEffect | None:
        """Tell what meets a piece of a message.

        :param agent: the instance that called.
        :param address: what it called.
        :returns: the trouble; none if it passes.
        """
        for fault in self.active:
            if self._applies(fault, agent, address):
                return fault.effect
        return None

    def draw_delay_s(self) -> float:
        """Draw a delay, in seconds."""
        return self._random.uniform(0, MAX_DELAY_S)

    def _applies(self, fault: NetworkFault, agent: str, address: str) -> bool:
        if fault.agent not in {'', agent}:
            return False
        if fault.addresses and address not in fault.addresses:
            return False
        return self._random.random() < fault.share


def sample_addresses(
    rng: random.Random, addresses: Iterable[str], count: int
) -> frozenset[str]:
    """Draw some addresses.

    :param rng: draws them.
    :param addresses: all of them.
    :param count: how many.
    :returns: the addresses.
    """
    return frozenset(rng.sample(sorted(addresses), count))
