"""Instances that calls can be handed to, as told by records of the log."""

from typing import NamedTuple

MAX_PEERS = 32
"""Number of instances that are known; a newer one replaces the oldest of those
with the least cores. A caller needs to reach one of them only, but the cell
should be handed to one with ample cores."""


class Peer(NamedTuple):
    """Where an instance is reached by others.

    :ivar address: its internal address, ``host:port``.
    :ivar cores: processor capacity of its machine, in cores.
    """

    address: str
    cores: float


def add_peer(peers: dict[str, Peer], node: str, peer: Peer) -> None:
    """Add an instance as the newest; forget a weak one if there are too many.

    :param peers: instances by name, the newest last; changed in place.
    :param node: name of the instance.
    :param peer: where it is reached.
    """
    peers.pop(node, None)
    peers[node] = peer
    if len(peers) > MAX_PEERS:
        peers.pop(min(peers, key=lambda name: peers[name].cores))
