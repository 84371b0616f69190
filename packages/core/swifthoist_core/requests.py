"""Non-idempotent requests: each key runs at most once."""

import enum
from typing import NamedTuple

from swifthoist_core.records import Author, RequestClosed, RequestIntended
from swifthoist_core.types import Millis, OwnerId, RequestKey

KEEP_MS = 24 * 3_600_000
"""How long a key is remembered after its last record, in ms of log time."""

ORPHAN_MS = 60_000
"""How long after its validity an open intent may be called unknown, in ms."""


class Phase(enum.StrEnum):
    """What is known of a request."""

    OPEN = 'open'
    DONE = 'done'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class RequestState(NamedTuple):
    """State of one key at an offset.

    :ivar phase: what is known.
    :ivar author: the instance that may send it.
    :ivar digest: hash of the request.
    :ivar at_ms: log time of its last record.
    :ivar valid_ms: the author had to send it within this time, in ms.
    :ivar status: status of the runner's answer, 0 for none.
    :ivar answer: the runner's answer, if it was kept.
    """

    phase: Phase
    author: Author
    digest: str
    at_ms: Millis
    valid_ms: Millis
    status: int = 0
    answer: bytes = b''


class RequestId(NamedTuple):
    """What names a request.

    :ivar owner: the team.
    :ivar key: idempotency key, unique for the owner.
    """

    owner: OwnerId
    key: RequestKey


class Requests:
    """The aggregate of non-idempotent requests."""

    def __init__(self) -> None:
        """Start with no request known."""
        self._states: dict[RequestId, RequestState] = {}
        self._open: dict[RequestId, None] = {}

    def __len__(self) -> int:
        """Count the keys that are remembered."""
        return len(self._states)

    def get(self, owner: OwnerId, key: RequestKey) -> RequestState | None:
        """Find what is known of a request.

        :param owner: the team.
        :param key: its idempotency key.
        :returns: the state, or ``None`` if the key is not known.
        """
        return self._states.get(RequestId(owner, key))

    def intend(
        self, author: Author, record: RequestIntended, time_ms: Millis
    ) -> str:
        """Let one author send the request, unless it may have run.

        :param author: who wants to send it.
        :param record: the intent.
        :param time_ms: time of the record in the log.
        :returns: why it is rejected, empty if accepted.
        """
        known = self.get(record.owner, record.key)
        if known is not None and known.digest != record.digest:
            return 'key reused for another request'
        if known is not None and known.phase is not Phase.NOT_RUN:
            return known.phase.value
        request_id = RequestId(record.owner, record.key)
        self._states[request_id] = RequestState(
            Phase.OPEN, author, record.digest, time_ms, record.valid_ms
        )
        self._open[request_id] = None
        return ''

    def close(
        self, author: Author, record: RequestClosed, time_ms: Millis
    ) -> str:
        """Settle a request.

        The author of the intent knows best and may settle later what was
        unknown; anybody else may only give up on an author that is silent.

        :param author: who settles.
        :param record: the outcome.
        :param time_ms: time of the record in the log.
        :returns: why it is rejected, empty if accepted.
        """
        known = self.get(record.owner, record.key)
        if known is None or known.phase in {Phase.DONE, Phase.NOT_RUN}:
            return 'not open'
        phase = Phase(record.outcome)
        if phase is Phase.OPEN:
            return 'not an outcome'
        if author != known.author:
            early = time_ms < _orphan_ms(known)
            if phase is not Phase.UNKNOWN or early:
                return 'not the author of the intent'
        request_id = RequestId(record.owner, record.key)
        self._open.pop(request_id, None)
        self._states[request_id] = known._replace(
            phase=phase,
            at_ms=time_ms,
            status=record.status,
            answer=record.answer,
        )
        return ''

    def orphans(self, time_ms: Millis) -> tuple[RequestId, ...]:
        """Find the open intents whose authors have been silent for long.

        :param time_ms: time of the log now.
        :returns: what names them, by the order of their intents.
        """
        return tuple(
            request_id
            for request_id in self._open
            if time_ms >= _orphan_ms(self._states[request_id])
        )

    def forget(self, time_ms: Millis) -> None:
        """Drop the keys that are too old to be asked for again.

        :param time_ms: time of the log now.
        """
        old = [
            request_id
            for request_id, known in self._states.items()
            if known.at_ms + KEEP_MS < time_ms
        ]
        for request_id in old:
            self._states.pop(request_id)
            self._open.pop(request_id, None)


def _orphan_ms(known: RequestState) -> Millis:
    return known.at_ms + known.valid_ms + ORPHAN_MS
