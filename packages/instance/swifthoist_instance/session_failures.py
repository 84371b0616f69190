"""Tells when a session that failed by an unexpected exception is replaced.

What a runner says, or a run on it, may make every session with it fail. Its
runs are then given up, so that they start elsewhere.
"""

import logging
from typing import NamedTuple

from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.records import Doubt
from swifthoist_instance.context import TenureContext
from swifthoist_instance.leases import lease_expiry_ms
from swifthoist_instance.outcomes import note_doubt, record_vanished
from swifthoist_instance.sessions import Session

RETRY_MS = 500
"""Pause before a session that failed is replaced, in ms."""

MAX_FAILURES = 3
"""Failures in a row from which on the runs of a runner are given up, once their
leases have ended."""

SOUND_MS = 10_000
"""How long a session has lasted whose failure begins a new row, in ms."""

_log = logging.getLogger(__name__)


class _Failure(NamedTuple):
    """The newest failure of a session with a runner.

    :ivar session: the session that failed.
    :ivar in_a_row: number of failures in a row.
    :ivar retry_ms: when the session is replaced.
    """

    session: Session
    in_a_row: int
    retry_ms: Millis


class SessionFailures:
    """The newest failure of the sessions with each runner."""

    def __init__(self, context: TenureContext) -> None:
        """Start without failures.

        :param context: state shared within the tenure.
        """
        self._context = context
        self._failures: dict[RunnerId, _Failure] = {}

    def __contains__(self, runner: RunnerId) -> bool:
        """Return whether a session with a runner has failed."""
        return runner in self._failures

    async def run(self, session: Session) -> None:
        """Run a session; if it fails, note when to replace it.

        :param session: the session.
        """
        clock = self._context.clock
        began_ms = clock.boot_ms()
        try:
            await session.run()
        except Exception as exc:
            self._note(session, exc, clock.boot_ms() - began_ms)

    async def may_reopen(self, session: Session) -> bool:
        """Return whether a session is to be replaced now.

        :param session: a session that is over.
        :returns: whether it has failed and the pause is over; runs that are
            given up are recorded as such.
        """
        context, runner = self._context, session.contact.runner
        failure = self._failures.get(runner)
        if failure is None or failure.session is not session:
            return False
        if context.clock.boot_ms() < failure.retry_ms:
            return False
        if failure.in_a_row < MAX_FAILURES:
            return True
        reason = 'its session failed, lease ended'
        runs = context.cell.runs_on(runner)
        return context.journal.available and await record_vanished(
            context, runs, reason, session.checkpoints
        )

    def forget(self, runner: RunnerId) -> None:
        """Forget the failures of a runner that is gone.

        :param runner: its id.
        """
        self._failures.pop(runner, None)

    def _note(
        self, session: Session, exc: Exception, lasted_ms: Millis
    ) -> None:
        context, runner = self._context, session.contact.runner
        before = self._failures.get(runner)
        count = 1
        if before is not None and lasted_ms < SOUND_MS:
            count = before.in_a_row + 1
            note_doubt(context, runner, Doubt.FLAPPING)
        now_ms = context.clock.boot_ms()
        retry_ms = now_ms + RETRY_MS
        if count >= MAX_FAILURES:
            retry_ms = lease_expiry_ms(now_ms)
        self._failures[runner] = _Failure(session, count, retry_ms)
        context.faults.note('runner', runner, exc)
        fields = {
            'runner': runner,
            'error': repr(exc),
            'failures': count,
            'pause_ms': retry_ms - now_ms,
        }
        _log.error('session failed', extra=fields)
        context.wake.notify()
