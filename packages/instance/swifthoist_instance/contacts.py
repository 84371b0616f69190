"""The holder's contact with one runner: client, lease, and liveness."""

import logging

from swifthoist_core.errors import (
    AnswerLateError,
    OutcomeUnknownError,
    SwifthoistError,
    UnreachableError,
)
from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.past_runs import RunnerFacts
from swifthoist_instance.context import TenureContext
from swifthoist_instance.late_starts import ListedEnds
from swifthoist_instance.leases import Lease
from swifthoist_instance.lives import Life
from swifthoist_instance.presence import Presence
from swifthoist_platform.documents import Registration
from swifthoist_platform.runner_calls import (
    OrderAnswer,
    OrderResult,
    RunnerClient,
)

CALL_S = 0.6
"""Timeout of a call to a runner, beyond the wait it asks for, in seconds."""

RETRY_S = 0.15
"""Pause after a failed call, in seconds."""

RUNNER_TIMEOUT_MS = 1_900
"""Time without an answer after which a runner gets no more starts, in ms; a
look takes up to 1.6 s."""

NO_ANSWER_ERRORS = (OutcomeUnknownError, UnreachableError)
"""Errors raised by a call that got no answer."""

_log = logging.getLogger(__name__)


class Contact:
    """State of a runner that its session and its orders share.

    :ivar registration: newest registry entry of the runner.
    :ivar cold_until_ms: end of the time in which it is slow after its start,
        counted on this instance's clock from when its entry was read.
    :ivar client: client for calls to it.
    :ivar lease: its clock and lease.
    :ivar context: state shared within the tenure.
    :ivar last_answer_ms: when it last answered.
    :ivar unanswered: the newest look got no answer.
    :ivar lost_ms: time of the first call without an answer since its last
        answer; None if there was none.
    :ivar lost_at_once: that call did not time out.
    :ivar refused: no call since its last answer timed out.
    :ivar presence: runs that it had when it last answered.
    :ivar replaced: another life answers at its address.
    :ivar closed: the contact is over: the runner is gone, or the session ended.
    :ivar life: the life of the runner that this contact is with.
    :ivar pending_starts: starts that may still be carried out, by any life.
    :ivar listed: ends in the newest look.
    :ivar reborn: an earlier life of the runner was known.
    """

    def __init__(
        self,
        registration: Registration,
        client: RunnerClient,
        lease: Lease,
        context: TenureContext,
    ) -> None:
        """Create the contact with a runner.

        :param registration: its registry entry.
        :param client: client for calls to it.
        :param lease: its lease.
        :param context: state shared within the tenure.
        """
        self.registration = registration
        self.cold_until_ms = context.clock.boot_ms() + registration.cold_left_ms
        self.client = client
        self.lease = lease
        self.context = context
        self.last_answer_ms: Millis = context.clock.boot_ms()
        self.unanswered = False
        self.lost_ms: Millis | None = None
        self.lost_at_once = False
        self.refused = False
        self.presence = Presence()
        self.replaced = False
        self.closed = False
        clock = context.clock
        self.life = Life(registration.runner, clock, registration.born_ms)
        self.pending_starts = context.late_starts.on(registration.runner)
        self.listed = ListedEnds(context.late_starts)
        self.reborn = False

    def continue_from(self, former: 'Contact') -> None:
        """Take over the state of the contact with the preceding life.

        :param former: that contact.
        """
        self.reborn = True
        self.life = Life(
            self.runner,
            self.context.clock,
            former.life.next_ms,
            former.life.false_birth_ms,
        )
        self.life.note_entry_birth(self.registration.born_ms)

    @property
    def runner(self) -> RunnerId:
        """Id of the runner."""
        return self.registration.runner

    @property
    def cold(self) -> bool:
        """Whether the runner is still slow after its start."""
        return self.context.clock.boot_ms() < self.cold_until_ms

    def note_entry(self, registration: Registration) -> bool:
        """Take over the newest registry entry of the runner.

        :param registration: the entry.
        :returns: whether it changed.
        """
        if registration == self.registration:
            return False
        self.registration = registration
        now_ms = self.context.clock.boot_ms()
        self.cold_until_ms = now_ms + registration.cold_left_ms
        return True

    @property
    def silent(self) -> bool:
        """Whether the runner has not answered for too long."""
        return (
            self.context.clock.boot_ms() - self.last_answer_ms
            > RUNNER_TIMEOUT_MS
        )

    def next_expiry(self, now_ms: Millis) -> Millis | None:
        """Return the lease expiry to ask for in the next call.

        The lease of a silent runner is not renewed, so that it expires and its
        runs can start elsewhere. A runner that was not polled for a while
        because the store was slow is not treated as silent.

        :param now_ms: time on this instance's clock.
        :returns: time on the runner's clock; None to let the lease expire.
        """
        surely_valid = not self.unanswered and self.lease.surely_valid(now_ms)
        if self.silent and not surely_valid:
            return None
        return self.lease.next_expiry(now_ms)

    @property
    def gone(self) -> bool:
        """Whether the runner is gone, even if its runs are still open."""
        return self.closed or self.replaced or self.life.over

    @property
    def facts(self) -> RunnerFacts:
        """Facts about this life that are recorded besides its runs."""
        return self.registration.facts._replace(born_ms=self.life.born_ms)

    @property
    def folded(self) -> bool:
        """Whether the folded state has this life rather than an earlier one."""
        state = self.context.cell.state
        found = state.facts.get(self.runner)
        born_ms = 0 if found is None else found.born_ms
        return self.life.born_ms in {0, born_ms}

    @property
    def seen(self) -> int:
        """Number of the newest folded end of this life."""
        return (
            self.context.cell.newest_end_of(self.runner) if self.folded else 0
        )

    def next_seen(self) -> int:
        """Return the number up to which the next look acknowledges ends.

        A new life that was not noticed yet must not forget ends that share
        numbers with those of its predecessor, so an acknowledgement requires a
        recent answer of this life. An end whose task a late start may begin
        anew is not acknowledged yet.
        """
        if not self.life.born_ms:
            return self.seen
        unsure = self.unanswered or self.silent or not self.lease.known
        if unsure:
            return 0
        return self.listed.last_settled(self.seen)

    def active(self) -> bool:
        """Return whether the runner should still be called."""
        return self.context.may_act() and not self.gone

    async def probe(self) -> bool:
        """Call the runner, without renewing its lease.

        :returns: whether this life of it has answered.
        """
        try:
            poll = await self.client.poll(
                self.context.epoch, self.next_seen(), None, 0, CALL_S
            )
        except NO_ANSWER_ERRORS as exc:
            self.note_no_answer(exc)
            return False
        self.note_verdict(poll.result)
        if poll.result is OrderResult.UNHEALTHY:
            return True
        if poll.result is not OrderResult.TAKEN:
            return False
        if not self.life.note_answer_birth(poll.born_ms):
            return False
        self.note_clock(poll.clock_ms)
        return True

    def note_clock(self, clock_ms: Millis) -> None:
        """Record that the runner answered.

        :param clock_ms: time on its clock; 0 if the answer has none.
        """
        if clock_ms:
            self.unanswered = False
            self.lost_ms = None
            self.last_answer_ms = self.context.clock.boot_ms()
            self.lease.note_clock(clock_ms, self.last_answer_ms)

    def note_no_answer(self, exc: SwifthoistError) -> None:
        """Record that a call got no answer.

        :param exc: why there is none.
        """
        if self.lost_ms is None:
            self.lost_ms = self.context.clock.boot_ms()
            self.lost_at_once = not isinstance(exc, AnswerLateError)
            self.refused = True
            self.context.crashes.note_loss(self.runner, self.lost_ms)
        if isinstance(exc, AnswerLateError):
            self.refused = False

    def note_answer(self, answer: OrderAnswer) -> bool:
        """Process what the answer to an order says about the runner.

        :param answer: the answer to an order.
        :returns: False if it does not come from this life.
        """
        self.note_verdict(answer.result)
        if self.life.born_ms and not answer.born_ms:
            # The answer doesn't name its life; the next look will.
            return not self.life.over
        if not self.life.note_answer_birth(answer.born_ms):
            return False
        self.note_clock(answer.clock_ms)
        return True

    def note_verdict(self, result: OrderResult) -> None:
        """Process a verdict that affects more than its own call.

        :param result: verdict of the runner.
        """
        match result:
            case OrderResult.FENCED:
                self.context.tenure.note_fenced(self.context.epoch)
            case OrderResult.OTHER_LIFE if not self.replaced:
                self.replaced = True
                _log.info('runner replaced', extra={'runner': self.runner})
            case _:
                return
