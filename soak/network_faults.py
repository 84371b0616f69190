"""Faults that the proxies apply to connections, set by the soak."""

import random
from collections.abc import Iterable
from enum import StrEnum, auto
from typing import NamedTuple

MAX_DELAY_S = 0.4
"""Longest delay of a chunk, in seconds."""


class NetworkEffect(StrEnum):
    """What a fault does to a connection."""

    DELAY = auto()
    RESET = auto()
    SILENCE = auto()
    NO_ANSWER = auto()


class NetworkFault(NamedTuple):
    """A fault, and the connections that it affects.

    :ivar effect: what it does.
    :ivar agent: user agent of the instance affected; empty for all.
    :ivar addresses: proxy addresses affected; empty for all.
    :ivar share: share of the chunks affected.
    """

    effect: NetworkEffect
    agent: str = ''
    addresses: frozenset[str] = frozenset()
    share: float = 1.0


class NetworkFaults:
    """The network faults in force.

    :ivar active: the faults; the first that applies to a chunk decides.
    :ivar bandwidths: bandwidth of links in bytes a second, by the user agent
        of the instance; others are unlimited.
    """

    def __init__(self, seed: int) -> None:
        """Start without faults.

        :param seed: seed for delays and for the chunks that are affected.
        """
        self.active: list[NetworkFault] = []
        self.bandwidths: dict[str, float] = {}
        self._random = random.Random(seed)

    def effect_on(self, agent: str, address: str) -> NetworkEffect | None:
        """Draw the effect on one chunk.

        :param agent: user agent of the calling instance.
        :param address: proxy address that it called.
        :returns: the effect; None if the chunk passes.
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
    """Draw a sample of the addresses.

    :param rng: source of randomness.
    :param addresses: addresses to draw from.
    :param count: size of the sample.
    :returns: the sample.
    """
    return frozenset(rng.sample(sorted(addresses), count))
