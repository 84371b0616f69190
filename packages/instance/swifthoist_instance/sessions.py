"""The holder's session with one runner: one task that looks at it.

A look renews the lease and waits for an end. Ends are recorded before the
next look tells the runner that they were seen.
"""

import logging
import math
from collections.abc import Iterable, Iterator

import anyio

from swifthoist_core.types import Millis
from swifthoist_engine.breakers import FORGET_MS
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.records import Belated, Doubt, Record, Vanished
from swifthoist_engine.run_index import RunKey
from swifthoist_engine.runners import RunnerAssessment, RunnerView
from swifthoist_instance.anomalies import Anomalies
from swifthoist_instance.contacts import CALL_S, LOST, RETRY_S, Contact
from swifthoist_instance.orders import Orders
from swifthoist_instance.outcomes import (
    Checkpoints,
    ended,
    note_doubt,
    record_all,
    record_vanished,
    vanished,
)
from swifthoist_instance.paces import filling, keep_pace
from swifthoist_instance.rebirths import end_life, fold_life, is_clear
from swifthoist_platform.documents import Registration
from swifthoist_platform.runner_calls import (
    Look,
    RunningTask,
    Verdict,
)

LOOK_WAIT_MS = 1_000
"""How long a look waits for an end, in ms. It also renews the lease."""

PACED_WAIT_MS = 500
"""The same while filling tasks run, whose pace follows figures of the last
half second."""

UNWATCHED_MS = 400
"""An end that comes while no look waits for it for longer than this, in ms, may
have been listed for so long."""

UNRECORDED_S = 0.25
"""Pause between looks while the store takes no records, in seconds."""

_log = logging.getLogger(__name__)


class Session:
    """Looks at one runner and gives it orders.

    :ivar contact: the runner.
    :ivar synced: the runner has seen the epoch, and what it runs is known.
    :ivar synced_ms: time of the cell when that was so first; infinite before.
    :ivar saved: newest checkpoints that its runs were seen with.
    """

    def __init__(
        self, contact: Contact, saved: Checkpoints | None = None
    ) -> None:
        """Serve a runner.

        :param contact: the runner.
        :param saved: newest checkpoints that its runs were seen with.
        """
        self.synced = False
        self.synced_ms = math.inf
        self.contact = contact
        self._shared = contact.shared
        self._orders: Orders | None = None
        self._running: dict[RunKey, RunningTask] = {}
        self.saved: dict[RunKey, str] = dict(saved or {})
        self._silent_ms: Millis | None = None
        self._view: RunnerView | None = None
        self._watched_ms: Millis | None = None
        self._anomalies = Anomalies(self._shared, contact.runner)

    @property
    def open(self) -> bool:
        """Whether tasks may be started on the runner."""
        contact = self.contact
        return self.synced and not contact.gone and not contact.silent

    def stopping(self) -> Iterable[RunKey]:
        """List the runs that are being stopped."""
        return self._orders.stops if self._orders else ()

    def describe(self, standing: RunnerAssessment) -> RunnerView:
        """Describe the runner for a decision.

        :param standing: what the holder thinks of it.
        :returns: the runner; the same object for as long as nothing changes,
            so that decisions see at once that it is as it was.
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
        """Note the newest entry of the runner.

        :param registration: the entry.
        :returns: whether it changed.
        """
        self.contact.life.read(registration.born_ms)
        return self.contact.note_entry(registration)

    def close(self) -> None:
        """End the session, since the runner is gone."""
        self.contact.closed = True

    async def run(self) -> None:
        """Look at the runner until it is gone or the tenure ends."""
        contact = self.contact
        try:
            async with anyio.create_task_group() as tasks:
                self._orders = Orders(contact, tasks)
                while self._shared.may_act() and not contact.closed:
                    await self._look_or_close(self._orders)
                # Orders from here on would be lost with the task group.
                contact.closed = True
                tasks.cancel_scope.cancel()
        finally:
            contact.closed = True
            with anyio.CancelScope(shield=True):
                await contact.client.close()

    def start(self, run: OpenRun, ticket: str) -> bool:
        """Carry a start to the runner, in the background.

        :param run: the run; its record is folded.
        :param ticket: permission by the queue's policy; empty for none.
        :returns: whether it is on its way.
        """
        if self._orders is None or not self.contact.active():
            return False
        if self.contact.reborn and run.started_ms <= self.synced_ms:
            # It was placed on the room of a former life.
            return False
        self._orders.start(run, ticket)
        return True

    def stop(self, run: OpenRun, reason: str) -> None:
        """Carry a stop to the runner, in the background, once.

        :param run: the run.
        :param reason: why, for the log.
        """
        if self._orders is not None and self.contact.active():
            self._orders.stop(run, reason)

    async def _look_or_close(self, orders: Orders) -> None:
        if self.contact.life.over:
            await end_life(self.contact, orders, self.saved)
            return
        if not self.contact.replaced:
            await self._look(orders)
            return
        runs = self._shared.cell.runs_on(self.contact.runner)
        reason = 'another life of the runner answers'
        if not await record_vanished(self._shared, runs, reason, self.saved):
            return
        if self._shared.cell.runs_on(self.contact.runner):
            # A start that was decided before is folded only now.
            return
        self.close()
        self._shared.wake.give()

    async def _look(self, orders: Orders) -> None:
        contact = self.contact
        sent_ms = self._shared.clock.boot_ms()
        until_ms = contact.next_until(sent_ms)
        wait_ms = self._wait_ms()
        try:
            look = await contact.client.look(
                self._shared.epoch,
                contact.next_seen(),
                until_ms,
                wait_ms,
                wait_ms / 1_000 + CALL_S,
            )
        except LOST as exc:
            contact.unanswered = True
            await self._note_silence(str(exc))
            return
        if look.verdict is not Verdict.TAKEN:
            contact.note_verdict(look.verdict)
            await anyio.sleep(RETRY_S)
            return
        if not contact.life.hear(look.born_ms):
            await anyio.sleep(RETRY_S)
            return
        contact.held_up.note_look(sent_ms, _there(look))
        contact.note_clock(look.clock_ms)
        contact.lease.note_granted(until_ms)
        if not await fold_life(contact):
            await anyio.sleep(UNRECORDED_S)
            return
        await self._take_in(look, orders, sent_ms)
        if self.synced or until_ms is None:
            return
        if contact.reborn and not is_clear(contact, orders, self._running):
            await anyio.sleep(RETRY_S)
            return
        self._note_synced()

    def _wait_ms(self) -> int:
        if not self.synced:
            return 0
        paced = any(filling(self._shared.cell, self._running.values()))
        return PACED_WAIT_MS if paced else LOOK_WAIT_MS

    def _note_synced(self) -> None:
        if self.synced:
            return
        self.synced = True
        if self.synced_ms == math.inf:
            self.synced_ms = self._shared.follower.time.now_ms()
        _log.info('runner synced', extra={'runner': self.contact.runner})
        self._shared.wake.give()

    async def _note_silence(self, reason: str) -> None:
        contact = self.contact
        now_ms = self._shared.clock.boot_ms()
        if contact.lease.lapsed(now_ms):
            runs = self._shared.cell.runs_on(self.contact.runner)
            unheard_s = (now_ms - contact.heard_ms) / 1_000
            cause = f'lease ended, no answer for {unheard_s:.1f} s'
            await record_vanished(self._shared, runs, cause, self.saved)
        if contact.silent and self.synced:
            self.synced = False
            about = {'runner': self.contact.runner, 'why': reason}
            _log.warning('runner silent', extra=about)
            self._note_flapping(now_ms)
        await anyio.sleep(RETRY_S)

    def _note_flapping(self, now_ms: Millis) -> None:
        """Note that the runner fell silent, and doubt it if it did before."""
        before_ms = self._silent_ms
        self._silent_ms = now_ms
        if before_ms is not None and now_ms - before_ms < FORGET_MS:
            note_doubt(self._shared, self.contact.runner, Doubt.FLAPPING)

    async def _take_in(
        self, look: Look, orders: Orders, sent_ms: Millis
    ) -> None:
        answered_ms = self._shared.clock.boot_ms()
        self._running = {(row.task, row.run): row for row in look.running}
        self._note_saved()
        seen = self.contact.seen
        ends = [end for end in look.ends if end.number > seen]
        records: list[Record] = [
            ended(self._shared, self.contact.runner, end) for end in ends
        ]
        if ends and _looked_away(self._watched_ms, sent_ms):
            number = max(end.number for end in ends)
            about = (self._shared.epoch, self.contact.runner, number)
            records.insert(0, Belated(*about))
        self._watched_ms = None
        if look.whole:
            records.extend(self._missing(look, orders, sent_ms))
        if not await record_all(self._shared, records):
            await anyio.sleep(UNRECORDED_S)
            return
        self._watched_ms = answered_ms
        for end in ends:
            orders.note_ended((end.task, end.run))
        if look.whole:
            orders.bar_orphans(_there(look))
        cold = self.contact.cold
        self._anomalies.stop_all(self._running, orders, cold=cold)
        await keep_pace(self.contact, self._running.values())

    def _note_saved(self) -> None:
        """Keep the newest checkpoints of runs that are open."""
        for key, row in self._running.items():
            if row.checkpoint:
                self.saved[key] = row.checkpoint
        for key in list(self.saved):
            if self._shared.cell.find_run(*key) is None:
                self.saved.pop(key)

    def _missing(
        self, look: Look, orders: Orders, sent_ms: Millis
    ) -> Iterator[Vanished]:
        there = _there(look)
        for run in self._shared.cell.runs_on(self.contact.runner):
            key = (run.task, run.run)
            if key in there:
                continue
            settled_ms = orders.settled.get(key, sent_ms)
            if run.epoch < self._shared.epoch or settled_ms < sent_ms:
                yield vanished(
                    self._shared, run, 'not on its runner', self.saved
                )


def _looked_away(watched_ms: Millis | None, sent_ms: Millis) -> bool:
    """Tell whether ends may have been listed long before a look."""
    return watched_ms is None or sent_ms - watched_ms > UNWATCHED_MS


def _there(look: Look) -> set[RunKey]:
    """List the runs that a look shows, running or ended."""
    running = {(row.task, row.run) for row in look.running}
    return running | {(end.task, end.run) for end in look.ends}
