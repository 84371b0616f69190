"""The holder's session with one runner: a task that polls it by looks.

A look renews the lease and waits for runs to end (long polling). Ends are
recorded before the next look acknowledges them to the runner.
"""

import logging
import math
from collections.abc import Iterable

import anyio

from swifthoist_core.types import Millis
from swifthoist_engine.breakers import STRIKE_EXPIRY_MS
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.model import RunKey
from swifthoist_engine.records import Belated, Doubt, Record
from swifthoist_engine.runners import RunnerAssessment, RunnerView
from swifthoist_instance.anomalies import Anomalies
from swifthoist_instance.contacts import (
    CALL_S,
    NO_ANSWER_ERRORS,
    RETRY_S,
    Contact,
)
from swifthoist_instance.crashes import record_crash
from swifthoist_instance.missing_runs import (
    find_late_starts,
    find_missing_runs,
    present_runs,
)
from swifthoist_instance.orders import Orders
from swifthoist_instance.outcomes import (
    Checkpoints,
    ended_record,
    note_doubt,
    record_all,
)
from swifthoist_instance.paces import filling_tasks, keep_pace
from swifthoist_instance.rebirths import (
    end_life,
    has_only_wanted_runs,
    record_life,
)
from swifthoist_platform.documents import Registration
from swifthoist_platform.runner_calls import (
    OrderResult,
    PollReply,
    RunningTask,
)

LOOK_TIMEOUT_MS = 1_000
"""How long a look waits for an end, in ms; it also renews the lease."""

PACED_LOOK_TIMEOUT_MS = 500
"""How long a look waits while filling tasks run, in ms: their pace follows
figures of the last half second."""

MAX_LOOK_GAP_MS = 400
"""Longest gap between looks, in ms, after which ends still count as seen at
once; behind a longer one they may have been listed for that long."""

HELD_LOOK_PAUSE_S = 0.2
"""Pause between looks while ends that may not be acknowledged yet are listed, in
seconds, since such looks are answered at once."""

RECORD_RETRY_S = 0.25
"""Pause between looks while records can't be appended, in seconds."""

_log = logging.getLogger(__name__)


class Session:
    """Polls one runner and sends it orders.

    :ivar contact: the contact with the runner.
    :ivar synced: the runner has seen the epoch, and its runs are known.
    :ivar synced_ms: time of the cell when it was first synced; infinite before.
    :ivar checkpoints: newest checkpoints reported for its runs.
    """

    def __init__(
        self, contact: Contact, checkpoints: Checkpoints | None = None
    ) -> None:
        """Create a session with a runner.

        :param contact: the contact with the runner.
        :param checkpoints: newest checkpoints reported for its runs.
        """
        self.synced = False
        self.synced_ms = math.inf
        self.contact = contact
        self._context = contact.context
        self._orders: Orders | None = None
        self._running: dict[RunKey, RunningTask] = {}
        self.checkpoints: dict[RunKey, str] = dict(checkpoints or {})
        self._last_silent_ms: Millis | None = None
        self._view: RunnerView | None = None
        self._last_look_ms: Millis | None = None
        self._anomalies = Anomalies(self._context, contact.runner)

    @property
    def open(self) -> bool:
        """Whether tasks may be started on the runner."""
        contact = self.contact
        return self.synced and not contact.gone and not contact.silent

    def stopping(self) -> Iterable[RunKey]:
        """Return the runs that are being stopped."""
        return self._orders.stops if self._orders else ()

    def describe(self, standing: RunnerAssessment) -> RunnerView:
        """Describe the runner for a decision.

        :param standing: the holder's assessment of it.
        :returns: the view; the same object as long as nothing changes, so that
            decisions detect an unchanged runner cheaply.
        """
        entry = self.contact.registration
        leaving_ms = entry.leaving_ms or 0
        view = RunnerView(
            entry.runner,
            entry.service,
            entry.room,
            entry.labels,
            entry.rack,
            entry.zone,
            standing.usable,
            standing.suspicion,
            leaving_ms if entry.draining else None,
            standing.cold,
            standing.speed,
            standing.trials,
        )
        if view != self._view:
            self._view = view
        return self._view

    def note_entry(self, registration: Registration) -> bool:
        """Take over the newest registry entry of the runner.

        :param registration: the entry.
        :returns: whether it changed.
        """
        self.contact.life.note_entry_birth(registration.born_ms)
        return self.contact.note_entry(registration)

    def close(self) -> None:
        """End the session because the runner is gone."""
        self.contact.closed = True

    async def run(self) -> None:
        """Poll the runner until it is gone or the tenure ends."""
        contact = self.contact
        try:
            async with anyio.create_task_group() as tasks:
                self._orders = Orders(contact, tasks)
                while self._context.may_act() and not contact.closed:
                    await self._look_or_close(self._orders)
                # Orders given after this would be lost with the task group.
                contact.closed = True
                tasks.cancel_scope.cancel()
        finally:
            contact.closed = True
            with anyio.CancelScope(shield=True):
                await contact.client.close()

    def start(self, run: OpenRun, ticket: str) -> bool:
        """Send a start to the runner, in the background.

        :param run: the run; its record is folded.
        :param ticket: permission of the queue's policy; empty if none.
        :returns: whether the start is being sent.
        """
        if self._orders is None or not self.contact.active():
            return False
        if self.contact.reborn and run.started_ms <= self.synced_ms:
            # It was placed by the free capacity of a former life.
            return False
        self._orders.start(run, ticket)
        return True

    def stop(self, run: OpenRun, reason: str) -> None:
        """Send a stop to the runner, in the background, once.

        :param run: the run.
        :param reason: why, for the log.
        """
        if self._orders is not None and self.contact.active():
            self._orders.stop(run, reason)

    async def _look_or_close(self, orders: Orders) -> None:
        if self.contact.life.over:
            await end_life(self.contact, orders, self.checkpoints)
            return
        if not self.contact.replaced:
            seen = self.contact.seen
            if self.contact.next_seen() < seen and self.contact.listed.held(
                seen
            ):
                await anyio.sleep(HELD_LOOK_PAUSE_S)
            await self._look(orders)
            return
        runs = self._context.cell.runs_on(self.contact.runner)
        reason = 'another life of the runner answers'
        if not await record_crash(
            self.contact, orders, runs, reason, self.checkpoints
        ):
            return
        if self._context.cell.runs_on(self.contact.runner):
            # A start decided before that was folded only now.
            return
        self.close()
        self._context.wake.notify()

    async def _look(self, orders: Orders) -> None:
        contact = self.contact
        sent_ms = self._context.clock.boot_ms()
        until_ms = contact.next_expiry(sent_ms)
        wait_ms = self._wait_ms()
        try:
            poll = await contact.client.poll(
                self._context.epoch,
                contact.next_seen(),
                until_ms,
                wait_ms,
                wait_ms / 1_000 + CALL_S,
            )
        except NO_ANSWER_ERRORS as exc:
            contact.unanswered = True
            contact.note_no_answer(exc)
            await self._note_silence(str(exc), orders)
            return
        if poll.result is not OrderResult.TAKEN:
            contact.note_verdict(poll.result)
            await anyio.sleep(RETRY_S)
            return
        if not contact.life.note_answer_birth(poll.born_ms):
            await anyio.sleep(RETRY_S)
            return
        contact.listed.note(poll.ends)
        contact.pending_starts.note_look(sent_ms, present_runs(poll))
        contact.note_clock(poll.clock_ms)
        contact.lease.note_granted(until_ms)
        if not await record_life(contact):
            await anyio.sleep(RECORD_RETRY_S)
            return
        await self._process_look(poll, orders, sent_ms)
        if self.synced or until_ms is None:
            return
        if contact.reborn and not has_only_wanted_runs(
            contact, orders, self._running
        ):
            await anyio.sleep(RETRY_S)
            return
        self._note_synced()

    def _wait_ms(self) -> int:
        if not self.synced:
            return 0
        paced = any(filling_tasks(self._context.cell, self._running.values()))
        return PACED_LOOK_TIMEOUT_MS if paced else LOOK_TIMEOUT_MS

    def _note_synced(self) -> None:
        if self.synced:
            return
        self.synced = True
        if self.synced_ms == math.inf:
            self.synced_ms = self._context.follower.time.now_ms()
        _log.info('runner synced', extra={'runner': self.contact.runner})
        self._context.wake.notify()

    async def _note_silence(self, reason: str, orders: Orders) -> None:
        contact = self.contact
        now_ms = self._context.clock.boot_ms()
        if contact.lease.expired(now_ms):
            runs = self._context.cell.runs_on(self.contact.runner)
            unheard_s = (now_ms - contact.last_answer_ms) / 1_000
            cause = f'lease ended, no answer for {unheard_s:.1f} s'
            await record_crash(
                contact,
                orders,
                runs,
                cause,
                self.checkpoints,
                certain=False,
            )
        if contact.silent and self.synced:
            self.synced = False
            fields = {'runner': self.contact.runner, 'why': reason}
            _log.warning('runner silent', extra=fields)
            self._note_flapping(now_ms)
        await anyio.sleep(RETRY_S)

    def _note_flapping(self, now_ms: Millis) -> None:
        """Record that the runner fell silent; doubt it if it recently did."""
        before_ms = self._last_silent_ms
        self._last_silent_ms = now_ms
        if before_ms is not None and now_ms - before_ms < STRIKE_EXPIRY_MS:
            note_doubt(self._context, self.contact.runner, Doubt.FLAPPING)

    async def _process_look(
        self, poll: PollReply, orders: Orders, sent_ms: Millis
    ) -> None:
        answered_ms = self._context.clock.boot_ms()
        self._running = {(row.task, row.run): row for row in poll.running}
        self.contact.presence.note_look(self._running.keys(), sent_ms)
        self._note_checkpoints()
        seen = self.contact.seen
        ends = [end for end in poll.ends if end.number > seen]
        records: list[Record] = [
            ended_record(self._context, self.contact.runner, end)
            for end in ends
        ]
        records.extend(find_late_starts(self.contact, ends))
        if ends and _was_unwatched(self._last_look_ms, sent_ms):
            number = max(end.number for end in ends)
            end_key = (self._context.epoch, self.contact.runner, number)
            records.insert(0, Belated(*end_key))
        self._last_look_ms = None
        if poll.complete:
            records.extend(
                find_missing_runs(
                    self.contact, orders, poll, sent_ms, self.checkpoints
                )
            )
        if not await record_all(self._context, records):
            await anyio.sleep(RECORD_RETRY_S)
            return
        self._last_look_ms = answered_ms
        for end in ends:
            orders.note_ended((end.task, end.run))
        if poll.complete:
            orders.stop_orphans(present_runs(poll))
        cold = self.contact.cold
        self._anomalies.stop_anomalous(self._running, orders, cold=cold)
        await keep_pace(self.contact, self._running.values())

    def _note_checkpoints(self) -> None:
        """Keep the newest checkpoints of open runs only."""
        for key, row in self._running.items():
            if row.checkpoint:
                self.checkpoints[key] = row.checkpoint
        for key in list(self.checkpoints):
            if self._context.cell.find_run(*key) is None:
                self.checkpoints.pop(key)


def _was_unwatched(last_look_ms: Millis | None, sent_ms: Millis) -> bool:
    """Return whether ends may have been listed long before a look was sent."""
    return last_look_ms is None or sent_ms - last_look_ms > MAX_LOOK_GAP_MS
