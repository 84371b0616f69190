"""Non-idempotent requests: each key runs at most once.

A settled key keeps its answer for some minutes. After that only a hash of
the key and whether it was done remain, for a day, so that a retry is still
refused. A key that was not run is free again and is dropped early.
"""

import enum
import itertools
from typing import NamedTuple

from swifthoist_core.keysets import KeySets, Mark
from swifthoist_core.records import Author, RequestClosed, RequestIntended
from swifthoist_core.types import Millis, OwnerId, RequestKey

FULL_MS = 10 * 60_000
"""How long a settled key keeps its answer, in ms of log time."""

MAX_FULL = 20_000
"""How many settled keys keep their answers."""

_COMPACT_BATCH = 2_000

KEEP_MS = 24 * 3_600_000
"""How long a settled key is remembered at all, in ms of log time."""

MAX_COMPACT = 2_000_000
"""How many keys are remembered without answers; more intents are refused."""

ORPHAN_MS = 60_000
"""How long after its validity an open intent may be called unknown, in ms."""

_NOBODY = Author('', 0)


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
    :ivar digest: hash of the request; empty once it is no longer kept.
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


_COMPACTED = {
    Mark.DONE: RequestState(Phase.DONE, _NOBODY, '', 0, 0),
    Mark.UNKNOWN: RequestState(Phase.UNKNOWN, _NOBODY, '', 0, 0),
}


class Requests:
    """The aggregate of non-idempotent requests."""

    def __init__(self) -> None:
        """Start with no request known."""
        self._states: dict[RequestId, RequestState] = {}
        self._open: dict[RequestId, None] = {}
        self._settled: dict[RequestId, None] = {}
        self._compact: dict[int, bytes] = {}

    def __len__(self) -> int:
        """Count the keys that are remembered."""
        return len(self._states) + len(KeySets(self._compact))

    def get(self, owner: OwnerId, key: RequestKey) -> RequestState | None:
        """Find what is known of a request.

        :param owner: the team.
        :param key: its idempotency key.
        :returns: the state, or ``None`` if the key is not known.
        """
        known = self._states.get(RequestId(owner, key))
        if known is not None:
            return known
        mark = KeySets(self._compact).find(owner, key)
        return None if mark is None else _COMPACTED[mark]

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
        if known is not None and known.digest not in {'', record.digest}:
            return 'key reused for another request'
        if known is not None and known.phase is not Phase.NOT_RUN:
            return known.phase.value
        if len(self) >= MAX_COMPACT:
            return 'too many keys are remembered'
        request_id = RequestId(record.owner, record.key)
        self._states[request_id] = RequestState(
            Phase.OPEN, author, record.digest, time_ms, record.valid_ms
        )
        self._settled.pop(request_id, None)
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
        request_id = RequestId(record.owner, record.key)
        known = self._states.get(request_id)
        if known is None or known.phase in {Phase.DONE, Phase.NOT_RUN}:
            return 'not open'
        phase = Phase(record.outcome)
        if phase is Phase.OPEN:
            return 'not an outcome'
        if author != known.author:
            early = time_ms < _orphan_ms(known)
            if phase is not Phase.UNKNOWN or early:
                return 'not the author of the intent'
        self._settle(
            request_id,
            known._replace(
                phase=phase,
                at_ms=time_ms,
                status=record.status,
                answer=record.answer,
            ),
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
        """Keep less of what was settled long ago, and in time nothing.

        An open key is never dropped; somebody closes it first.

        :param time_ms: time of the log now.
        """
        before_ms = time_ms - FULL_MS
        old = itertools.takewhile(
            lambda settled: self._states[settled].at_ms < before_ms,
            self._settled,
        )
        self._shrink(list(old), time_ms)
        KeySets(self._compact).drop_before(time_ms - KEEP_MS)

    def _settle(self, request_id: RequestId, state: RequestState) -> None:
        self._states[request_id] = state
        self._open.pop(request_id, None)
        self._settled.pop(request_id, None)
        self._settled[request_id] = None
        if len(self._settled) >= MAX_FULL + _COMPACT_BATCH:
            old = list(self._settled)[:_COMPACT_BATCH]
            self._shrink(old, state.at_ms)

    def _shrink(self, old: list[RequestId], time_ms: Millis) -> None:
        done: list[RequestId] = []
        unknown: list[RequestId] = []
        for request_id in old:
            self._settled.pop(request_id)
            match self._states.pop(request_id).phase:
                case Phase.DONE:
                    done.append(request_id)
                case Phase.UNKNOWN:
                    unknown.append(request_id)
        compact = KeySets(self._compact)
        compact.add(done, Mark.DONE, time_ms)
        compact.add(unknown, Mark.UNKNOWN, time_ms)


def _orphan_ms(known: RequestState) -> Millis:
    return known.at_ms + known.valid_ms + ORPHAN_MS
