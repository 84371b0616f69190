"""Counts what clients are refused, and logs it at a bounded rate."""

import logging
from collections import Counter
from collections.abc import Mapping
from enum import StrEnum

from swifthoist_core.clock import Clock
from swifthoist_core.types import Millis

MIN_LOG_GAP_MS = 1_000
"""Minimum time between two log lines of a kind, in ms."""

_log = logging.getLogger(__name__)


class Refusal(StrEnum):
    """Why a client was refused something."""

    BODY_LENGTH = 'body too long'
    BODY_LATE = 'body too late'
    BODY_BROKEN_OFF = 'body broken off'
    BODY_ROOM = 'no room for bodies'
    TURN_LATE = 'turn too late'
    JOB_ROOM = 'no room for jobs'
    CONNECTIONS = 'too many connections'
    HEAD_LATE = 'head too late'
    ANSWER_UNREAD = 'answer not read'


class Refusals:
    """What was refused, by its kind."""

    def __init__(self, clock: Clock) -> None:
        """Start with none.

        :param clock: source of time.
        """
        self._clock = clock
        self._counts: Counter[Refusal] = Counter()
        self._unlogged: Counter[Refusal] = Counter()
        self._logged_ms: dict[Refusal, Millis] = {}

    def note(self, refusal: Refusal, fields: Mapping[str, object]) -> None:
        """Count a refusal; of many in a short time, one is logged.

        :param refusal: its kind.
        :param fields: who was refused, and by which limit.
        """
        self._counts[refusal] += 1
        self._unlogged[refusal] += 1
        now_ms = self._clock.boot_ms()
        logged_ms = self._logged_ms.get(refusal)
        if logged_ms is not None and now_ms - logged_ms < MIN_LOG_GAP_MS:
            return
        self._logged_ms[refusal] = now_ms
        count = self._unlogged.pop(refusal)
        extra = {**fields, 'kind': refusal.value, 'count': count}
        _log.warning('client refused', extra=extra)

    def counts(self) -> dict[str, float]:
        """Return the number of refusals by the name of their metric."""
        return {
            f'refused_{kind.name.lower()}': self._counts[kind]
            for kind in Refusal
        }
