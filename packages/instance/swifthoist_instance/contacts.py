"""The holder's contact with one runner: its client, clock and lease."""

import logging

from swifthoist_core.errors import OutcomeUnknownError, UnreachableError
from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.past_runs import RunnerFacts
from swifthoist_instance.leases import Lease
from swifthoist_instance.lives import HeldUp, Life
from swifthoist_instance.shared import Shared
from swifthoist_platform.documents import Registration
from swifthoist_platform.runner_calls import (
    OrderAnswer,
    OrderResult,
    RunnerClient,
)

CALL_S = 0.6
"""Time for a call to a runner beyond its wait, in seconds."""

RETRY_S = 0.15
"""Pause after a call that failed, in seconds."""

SILENT_MS = 1_900
"""A runner that was not heard of for this long gets no more starts, in ms;
a look takes up to 1.6 s."""

LOST = (OutcomeUnknownError, UnreachableError)
"""Errors of a call that got no answer."""

_log = logging.getLogger(__name__)


class Contact:
    """What a session and its orders know of their runner.

    :ivar registration: newest entry of the runner.
    :ivar cold_until_ms: until when it is slow after its start, counted on
        the own clock from when its entry came.
    :ivar client: makes calls to it.
    :ivar lease: its clock and lease.
    :ivar shared: what all sessions share.
    :ivar heard_ms: when it was heard of last.
    :ivar unanswered: the newest look got no answer.
    :ivar replaced: another life answers at its address.
    :ivar closed: the runner is gone for good, and its runs are given up.
    :ivar life: which life of the runner this is.
    :ivar held_up: starts that may still be carried out.
    :ivar reborn: it had a life before that was known.
    """

    def __init__(
        self,
        registration: Registration,
        client: RunnerClient,
        lease: Lease,
        shared: Shared,
    ) -> None:
        """Make contact with a runner.

        :param registration: its entry.
        :param client: makes the calls.
        :param lease: its lease.
        :param shared: what all sessions share.
        """
        self.registration = registration
        self.cold_until_ms = shared.clock.boot_ms() + registration.cold_left_ms
        self.client = client
        self.lease = lease
        self.shared = shared
        self.heard_ms: Millis = shared.clock.boot_ms()
        self.unanswered = False
        self.replaced = False
        self.closed = False
        clock = shared.clock
        self.life = Life(registration.runner, clock, registration.born_ms)
        self.held_up = HeldUp(clock)
        self.reborn = False

    def follow(self, former: 'Contact') -> None:
        """Go on where the contact with the life before it ended.

        :param former: that contact.
        """
        self.reborn = True
        self.held_up = former.held_up
        self.life = Life(
            self.runner,
            self.shared.clock,
            former.life.next_ms,
            former.life.refuted_ms,
        )
        self.life.read(self.registration.born_ms)

    @property
    def runner(self) -> RunnerId:
        """Id of the runner."""
        return self.registration.runner

    @property
    def cold(self) -> bool:
        """Whether the runner is still slow after its start."""
        return self.shared.clock.boot_ms() < self.cold_until_ms

    def note_entry(self, registration: Registration) -> bool:
        """Note the newest entry of the runner.

        :param registration: the entry.
        :returns: whether it changed.
        """
        if registration == self.registration:
            return False
        self.registration = registration
        now_ms = self.shared.clock.boot_ms()
        self.cold_until_ms = now_ms + registration.cold_left_ms
        return True

    @property
    def silent(self) -> bool:
        """Whether the runner was not heard of for too long."""
        return self.shared.clock.boot_ms() - self.heard_ms > SILENT_MS

    def next_until(self, now_ms: Millis) -> Millis | None:
        """Tell until when to ask for the lease.

        A runner that does not answer is not asked to hold on to its runs, so
        that their lease ends and they can start elsewhere. One that was not
        asked meanwhile, since the store was slow, is not silent for that.

        :param now_ms: time on the own clock.
        :returns: time on the runner's clock; none to let the lease end.
        """
        goes_on = not self.unanswered and self.lease.goes_on(now_ms)
        if self.silent and not goes_on:
            return None
        return self.lease.next_until(now_ms)

    @property
    def gone(self) -> bool:
        """Whether the runner is gone, be it that its runs are still open."""
        return self.closed or self.replaced or self.life.over

    @property
    def facts(self) -> RunnerFacts:
        """What is kept of this life beside its runs."""
        return self.registration.facts._replace(born_ms=self.life.born_ms)

    @property
    def folded(self) -> bool:
        """Whether the fold knows this life, and not one before it."""
        state = self.shared.cell.state
        found = state.facts.get(self.runner)
        born_ms = 0 if found is None else found.born_ms
        return self.life.born_ms in {0, born_ms}

    @property
    def seen(self) -> int:
        """Number of the newest end of this life that is folded."""
        return self.shared.cell.seen_of(self.runner) if self.folded else 0

    def next_seen(self) -> int:
        """Tell which ends the next look may let the runner forget.

        A life that began unnoticed must not forget ends that have the numbers
        of its predecessor's, so that takes a fresh answer of this one.
        """
        if not self.life.born_ms:
            return self.seen
        unsure = self.unanswered or self.silent or not self.lease.known
        return 0 if unsure else self.seen

    def active(self) -> bool:
        """Tell whether calls to the runner still make sense."""
        return self.shared.may_act() and not self.gone

    def note_clock(self, clock_ms: Millis) -> None:
        """Note that the runner answered.

        :param clock_ms: time on its clock; 0 if it did not tell.
        """
        if clock_ms:
            self.unanswered = False
            self.heard_ms = self.shared.clock.boot_ms()
            self.lease.note_clock(clock_ms, self.heard_ms)

    def note_answer(self, answer: OrderAnswer) -> bool:
        """Take in what an answer says of the runner.

        :param answer: the answer to an order.
        :returns: false if this life did not give it.
        """
        self.note_verdict(answer.result)
        if self.life.born_ms and not answer.born_ms:
            # It does not say which life gave it; the next look will.
            return not self.life.over
        if not self.life.hear(answer.born_ms):
            return False
        self.note_clock(answer.clock_ms)
        return True

    def note_verdict(self, result: OrderResult) -> None:
        """Note an answer that says more than what became of one call.

        :param result: what the runner said.
        """
        match result:
            case OrderResult.FENCED:
                self.shared.tenure.note_fenced(self.shared.epoch)
            case OrderResult.OTHER_LIFE if not self.replaced:
                self.replaced = True
                _log.info('runner replaced', extra={'runner': self.runner})
            case _:
                return
