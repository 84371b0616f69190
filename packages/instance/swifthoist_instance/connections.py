"""Decides which connections stay open when an address has too many."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum


class Phase(IntEnum):
    """What a connection is open for, the least useful first."""

    CLOSING = 0
    """Its last answer is sent, and what still arrives is dropped."""

    IDLE = 1
    """No request has arrived whole up to its body."""

    RECEIVING = 2
    """The body of a request is arriving."""

    SERVING = 3
    """A request is being served."""


@dataclass(slots=True, eq=False)
class Connection:
    """An open connection.

    :ivar client: address of the other end, for the log.
    :ivar since_s: when its phase began, in seconds of the loop's clock.
    :ivar phase: what it is open for.
    :ivar abort: ends it at once.
    """

    client: str
    since_s: float
    abort: Callable[[], None]
    phase: Phase = Phase.IDLE

    def enter(self, phase: Phase, now_s: float) -> None:
        """Change its phase.

        :param phase: the new one.
        :param now_s: current time.
        """
        if phase is not self.phase:
            self.phase = phase
            self.since_s = now_s


class Connections:
    """The open connections of one address."""

    def __init__(self, limit: Callable[[], int]) -> None:
        """Start with none.

        :param limit: returns how many there may be.
        """
        self._limit = limit
        self._open: set[Connection] = set()

    def __len__(self) -> int:
        """Return how many there are."""
        return len(self._open)

    def admit(self, connection: Connection) -> Connection | None:
        """Add a connection; where there are too many, choose one to close.

        Those that are of least use are closed first, and of these the one that
        has been so for longest. A request that has arrived is served.

        :param connection: the new connection.
        :returns: the connection that has to be closed, which may be the new
            one; none if there is room.
        """
        if len(self._open) < self._limit():
            self._open.add(connection)
            return None
        surplus = min(self._open, key=_usefulness, default=connection)
        if surplus.phase is Phase.SERVING:
            return connection
        self._open.discard(surplus)
        self._open.add(connection)
        return surplus

    def remove(self, connection: Connection) -> None:
        """Forget a connection that has ended.

        :param connection: the connection.
        """
        self._open.discard(connection)

    def free_one(self) -> Connection | None:
        """Choose the connection of least use, to be closed.

        :returns: the connection; none if all are being served.
        """
        surplus = min(self._open, key=_usefulness, default=None)
        if surplus is None or surplus.phase is Phase.SERVING:
            return None
        self._open.discard(surplus)
        return surplus

    def close_idle(self) -> None:
        """End the connections on which no request is in progress."""
        for connection in tuple(self._open):
            if connection.phase <= Phase.IDLE:
                connection.abort()


def _usefulness(connection: Connection) -> tuple[Phase, float]:
    return connection.phase, connection.since_s
