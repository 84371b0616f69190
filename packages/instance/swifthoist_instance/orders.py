"""Sends starts and stops to one runner until their outcome is certain.

An order that got no answer may still be carried out seconds later. Starts are
idempotent and are retried unchanged. A run that is no longer wanted is
stopped, which also makes the runner refuse a start that arrives later.
"""

import logging
from collections.abc import Set

import anyio
from anyio.abc import TaskGroup

from swifthoist_core.types import Millis
from swifthoist_engine.evacuation import Gate
from swifthoist_engine.jobs import Job, OpenRun
from swifthoist_engine.model import RunKey
from swifthoist_engine.records import (
    Doubt,
)
from swifthoist_engine.suspects import is_suspected
from swifthoist_instance.contacts import (
    CALL_S,
    NO_ANSWER_ERRORS,
    RETRY_S,
    Contact,
)
from swifthoist_instance.outcomes import (
    note_doubt,
    record_vanished,
)
from swifthoist_instance.sent_starts import SentStarts
from swifthoist_instance.start_records import (
    record_suspected,
    record_unanswered,
)
from swifthoist_platform.runner_calls import OrderResult, StartOrder

_log = logging.getLogger(__name__)


class Orders:
    """Orders to one runner.

    :ivar settled: time by which the runner had confirmed the start or stop of
        each run; a look sent later shows whether the run is there.
    :ivar stops: reasons of the stops in progress, by run.
    :ivar starts: starts that this term has ordered.
    """

    def __init__(self, contact: Contact, tasks: TaskGroup) -> None:
        """Create the orders to a runner.

        :param contact: the contact with the runner.
        :param tasks: task group that sends the orders.
        """
        self.settled: dict[RunKey, Millis] = {}
        self.stops: dict[RunKey, str] = {}
        self._pending_stopped: set[RunKey] = set()
        self._contact = contact
        self._context = contact.context
        self._tasks = tasks
        self.starts = SentStarts(contact.context.cell, contact.context.clock)

    def start(self, run: OpenRun, ticket: str) -> None:
        """Send a start to the runner, in the background.

        :param run: the run; its record is folded.
        :param ticket: permission of the queue's policy; empty if none.
        """
        self.starts.note_ordered((run.task, run.run))
        self._tasks.start_soon(self._send_start, run, ticket)

    def stop_orphans(self, present: Set[RunKey]) -> None:
        """Stop runs that an earlier term of this epoch may have started.

        Such a start may still be carried out. A stop prevents that, so that a
        later look shows for certain which runs are missing.

        :param present: runs that the runner has, or that ended there.
        """
        runs = self._context.cell.runs
        known = present | self.starts.keys() | self.stops.keys()
        for run in runs.on(self._contact.runner):
            key = (run.task, run.run)
            if run.epoch != self._context.epoch or key in known:
                continue
            if not runs.is_unsent(key):
                self.stop(run, 'sent by a term that ended')

    def stop(self, run: OpenRun, reason: str) -> None:
        """Send a stop to the runner, in the background, once.

        :param run: the run.
        :param reason: why, for the log.
        """
        key = (run.task, run.run)
        if key not in self.stops:
            self.stops[key] = reason
            self._tasks.start_soon(self._send_stop, run, reason)

    def has_no_pending_start(self, run: OpenRun) -> bool:
        """Return whether no start of a run can still be carried out.

        :param run: an open run of this runner.
        :returns: False also for runs that earlier terms may have started.
        """
        key = (run.task, run.run)
        if run.epoch != self._context.epoch:
            return False
        known = key in self.starts.keys() or self._context.cell.runs.is_unsent(
            key
        )
        return known and key not in self._contact.pending_starts.keys()

    def stop_pending_starts(self) -> None:
        """Stop closed runs whose start to a former life may still arrive."""
        for task, number in (
            self._contact.pending_starts.keys() - self._pending_stopped
        ):
            if self._context.cell.find_run(task, number) is None:
                runner = self._contact.runner
                run = OpenRun(task, number, runner, self._context.epoch, 0)
                self._pending_stopped.add((task, number))
                self.stop(run, 'sent to a former life')

    def note_ended(self, key: RunKey) -> None:
        """Forget the orders of a run that has ended.

        :param key: the run.
        """
        self.settled.pop(key, None)
        self.stops.pop(key, None)
        self.starts.forget(key)

    def forget_closed(self) -> None:
        """Forget the orders of runs that are no longer open."""
        closed = [
            key
            for key in self.starts.keys() | self.settled.keys()
            if self._context.cell.find_run(*key) is None
        ]
        for key in closed:
            self.settled.pop(key, None)
            self.starts.forget(key)

    async def _send_start(self, run: OpenRun, ticket: str) -> None:
        may_be_pending = False
        while self._wanted(run):
            obstacle = self._obstacle(run)
            if obstacle:
                await self._withdraw(
                    run, obstacle, may_be_pending=may_be_pending
                )
                return
            result = await self._try_start(run, ticket)
            may_be_pending = may_be_pending or result is None
            if await self._is_final(run, result, may_be_pending=may_be_pending):
                return
            await anyio.sleep(RETRY_S)

    async def _is_final(
        self, run: OpenRun, result: OrderResult | None, *, may_be_pending: bool
    ) -> bool:
        """Process the result of a start, and return whether it is final."""
        match result:
            case None:
                return False
            case OrderResult.TAKEN | OrderResult.OLD:
                key, now_ms = (run.task, run.run), self._context.clock.boot_ms()
                self.settled[key] = now_ms
                if result is OrderResult.TAKEN:
                    self._contact.presence.note_started(key, now_ms)
            case OrderResult.LATE:
                _log.warning('lease too short', extra=_run_fields(run))
                return False
            case OrderResult.FENCED | OrderResult.OTHER_LIFE:
                return True
            case _:
                await self._note_rejected(
                    run, result, may_be_pending=may_be_pending
                )
        return True

    def _obstacle(self, run: OpenRun) -> str:
        """Return why a run must not start here any more; empty if it may."""
        if _gate(self._contact) is Gate.CLOSED:
            return 'its zone is evacuated'
        entry = self._contact.registration
        used = self._context.cell.runs.used_on(run.runner)
        # Only the address of an unregistered runner is known.
        if entry.service and not used.fits(entry.room):
            return 'its runner has shrunk'
        return ''

    def _wanted(self, run: OpenRun) -> bool:
        key = (run.task, run.run)
        if not self._contact.active() or key in self.stops:
            return False
        job = self._context.cell.find_job(run.task.job)
        if job is None or job.task_done(run.task):
            return False
        return self._context.cell.find_run(*key) is not None

    async def _try_start(self, run: OpenRun, ticket: str) -> OrderResult | None:
        contact = self._contact
        job = self._context.cell.find_job(run.task.job)
        if job is None or not await self._is_receptive(run, job):
            return None
        until_ms = contact.lease.next_expiry(self._context.clock.boot_ms())
        if until_ms is None:
            return None
        key = (run.task, run.run)
        order = StartOrder(
            run.task,
            run.run,
            job.spec.payload,
            until_ms,
            self._context.epoch,
            run.checkpoint,
            ticket,
        )
        may_be_pending = contact.pending_starts.note_sent(key)
        sent_ms = self._context.clock.boot_ms()
        self.starts.note_sent(key, sent_ms)
        try:
            answer = await contact.client.start(order, CALL_S)
        except NO_ANSWER_ERRORS as exc:
            self.starts.note_unanswered(key, sent_ms, exc)
            contact.pending_starts.note_unanswered(key, exc)
            contact.note_no_answer(exc)
            _log_unanswered('start', run, exc)
            return None
        if answer.result not in {OrderResult.TAKEN, OrderResult.OLD}:
            self.starts.note_not_begun(key, sent_ms)
        self._context.lines.note(
            'start',
            run.task,
            run.run,
            run.runner,
            epoch=run.epoch,
            outcome=answer.result.value,
        )
        if not contact.note_answer(answer):
            return None
        if not may_be_pending:
            contact.pending_starts.note_answered(key)
        return answer.result

    async def _is_receptive(self, run: OpenRun, job: Job) -> bool:
        """Return whether a start may be sent to the runner now."""
        contact = self._contact
        if contact.silent or _gate(self._contact) is not Gate.OPEN:
            return False
        if (run.task, run.run) in contact.pending_starts.keys():
            ready = await record_unanswered(contact, run)
        elif is_suspected(job, run.task):
            ready = await record_suspected(contact, run)
        else:
            return True
        wanted = ready and self._wanted(run)
        return (
            wanted and _gate(contact) is Gate.OPEN and not self._obstacle(run)
        )

    async def _note_rejected(
        self, run: OpenRun, result: OrderResult, *, may_be_pending: bool
    ) -> None:
        if result in {OrderResult.UNHEALTHY, OrderResult.NO_ROOM}:
            note_doubt(self._context, run.runner, Doubt.REJECTED, run.task.job)
        await self._withdraw(
            run, f'start rejected: {result}', may_be_pending=may_be_pending
        )

    async def _withdraw(
        self, run: OpenRun, reason: str, *, may_be_pending: bool
    ) -> None:
        """Give up a start; if it may still arrive, stop the run instead."""
        if may_be_pending:
            self.stop(run, f'{reason}, after an order without answer')
            return
        while self._contact.active() and not await record_vanished(
            self._context, [run], reason
        ):
            await anyio.sleep(RETRY_S)

    async def _send_stop(self, run: OpenRun, reason: str) -> None:
        key = (run.task, run.run)
        self._context.lines.note_stop(run, reason)
        while self._contact.active() and not await self._try_stop(run):
            await anyio.sleep(RETRY_S)
        self.settled[run.task, run.run] = self._context.clock.boot_ms()
        while self._contact.active() and self._context.cell.find_run(*key):
            await self._context.follower.wait_progress()
        self.stops.pop(key, None)

    async def _try_stop(self, run: OpenRun) -> bool:
        contact = self._contact
        try:
            answer = await contact.client.stop(
                run.task, run.run, self._context.epoch, CALL_S
            )
        except NO_ANSWER_ERRORS as exc:
            contact.note_no_answer(exc)
            _log_unanswered('stop', run, exc)
            return False
        ours = contact.note_answer(answer)
        if ours:
            contact.presence.note_stopped((run.task, run.run))
        return ours and answer.result in {OrderResult.TAKEN, OrderResult.OLD}


def _gate(contact: Contact) -> Gate:
    return contact.context.zones.gate(contact.registration.zone)


def _log_unanswered(kind: str, run: OpenRun, exc: Exception) -> None:
    fields = {**_run_fields(run), 'why': str(exc)}
    _log.warning(f'{kind} unanswered', extra=fields)


def _run_fields(run: OpenRun) -> dict[str, object]:
    return {
        'job': run.task.job,
        'task': '.'.join(map(str, run.task[1:])),
        'run': run.run,
        'runner': run.runner,
        'epoch': run.epoch,
    }
