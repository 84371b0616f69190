"""Carries starts and stops to one runner until it is certain what came of them.

An order without an answer may be carried out seconds later. A start is sent
again as it was, which has no second effect. A run that is not wanted any more
is stopped, which also forbids a start that is still on its way.
"""

import logging
from collections.abc import Set

import anyio
from anyio.abc import TaskGroup

from swifthoist_core.types import Millis
from swifthoist_engine.evacuation import Gate
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.records import Doubt
from swifthoist_engine.run_index import RunKey
from swifthoist_instance.contacts import CALL_S, LOST, RETRY_S, Contact
from swifthoist_instance.outcomes import note_doubt, record_vanished
from swifthoist_platform.runner_calls import OrderResult, StartOrder

_log = logging.getLogger(__name__)


class Orders:
    """Orders to one runner.

    :ivar settled: when a run was known to be there, or to be forbidden; a
        look that was sent later tells whether it is there.
    :ivar stops: reasons of the stops under way.
    """

    def __init__(self, contact: Contact, tasks: TaskGroup) -> None:
        """Carry orders to a runner.

        :param contact: the runner.
        :param tasks: runs the orders.
        """
        self.settled: dict[RunKey, Millis] = {}
        self.stops: dict[RunKey, str] = {}
        self._given: set[RunKey] = set()
        self._barred: set[RunKey] = set()
        self._contact = contact
        self._shared = contact.shared
        self._tasks = tasks

    def start(self, run: OpenRun, ticket: str) -> None:
        """Carry a start to the runner, in the background.

        :param run: the run; its record is folded.
        :param ticket: permission by the queue's policy; empty for none.
        """
        self._given.add((run.task, run.run))
        self._tasks.start_soon(self._carry_start, run, ticket)

    def bar_orphans(self, there: Set[RunKey]) -> None:
        """Stop what an earlier term of this epoch may have sent in vain.

        Its order may be carried out yet. A stop forbids that, so a look behind
        it tells for certain what is not there.

        :param there: runs that the runner has, or that ended there.
        """
        runs = self._shared.cell.runs
        known = there | self._given | self.stops.keys()
        for run in runs.on(self._contact.runner):
            key = (run.task, run.run)
            if run.epoch != self._shared.epoch or key in known:
                continue
            if not runs.is_fresh(key):
                self.stop(run, 'sent by a term that ended')

    def stop(self, run: OpenRun, reason: str) -> None:
        """Carry a stop to the runner, in the background, once.

        :param run: the run.
        :param reason: why, for the log.
        """
        key = (run.task, run.run)
        if key not in self.stops:
            self.stops[key] = reason
            self._tasks.start_soon(self._carry_stop, run, reason)

    def is_certain(self, run: OpenRun) -> bool:
        """Tell whether no order to start a run is on its way any more.

        :param run: an open run of this runner.
        :returns: false also for what earlier terms may have ordered.
        """
        key = (run.task, run.run)
        if run.epoch != self._shared.epoch:
            return False
        known = key in self._given or self._shared.cell.runs.is_fresh(key)
        return known and key not in self._contact.held_up.keys()

    def bar_held_up(self) -> None:
        """Stop what a former life was to start, and is over by now."""
        for task, number in self._contact.held_up.keys() - self._barred:
            if self._shared.cell.find_run(task, number) is None:
                runner = self._contact.runner
                run = OpenRun(task, number, runner, self._shared.epoch, 0)
                self._barred.add((task, number))
                self.stop(run, 'sent to a former life')

    def note_ended(self, key: RunKey) -> None:
        """Note that a run has ended.

        :param key: the run.
        """
        self.settled.pop(key, None)
        self.stops.pop(key, None)
        self._given.discard(key)

    def forget_closed(self) -> None:
        """Forget what was ordered of runs that are no longer open."""
        closed = [
            key
            for key in self._given | self.settled.keys()
            if self._shared.cell.find_run(*key) is None
        ]
        for key in closed:
            self.settled.pop(key, None)
            self._given.discard(key)

    async def _carry_start(self, run: OpenRun, ticket: str) -> None:
        unsure = False
        while self._may_start(run):
            result = await self._try_start(run, ticket)
            match result:
                case None:
                    unsure = True
                case OrderResult.TAKEN | OrderResult.OLD:
                    self._settle(run)
                    return
                case OrderResult.LATE:
                    _log.warning('lease too short', extra=_about(run))
                case OrderResult.FENCED | OrderResult.OTHER_LIFE:
                    return
                case _:
                    await self._note_rejected(run, result, unsure=unsure)
                    return
            await anyio.sleep(RETRY_S)
        if self._wanted(run):
            await self._withdraw(run, 'its zone is evacuated', unsure=unsure)

    def _may_start(self, run: OpenRun) -> bool:
        return self._wanted(run) and self._gate() is not Gate.CLOSED

    def _wanted(self, run: OpenRun) -> bool:
        key = (run.task, run.run)
        if not self._contact.active() or key in self.stops:
            return False
        job = self._shared.cell.find_job(run.task.job)
        if job is None or job.task_done(run.task):
            return False
        return self._shared.cell.find_run(*key) is not None

    def _gate(self) -> Gate:
        return self._shared.zones.gate(self._contact.registration.zone)

    def _settle(self, run: OpenRun) -> None:
        self.settled[run.task, run.run] = self._shared.clock.boot_ms()

    async def _try_start(self, run: OpenRun, ticket: str) -> OrderResult | None:
        contact = self._contact
        job = self._shared.cell.find_job(run.task.job)
        if contact.silent or job is None or self._gate() is not Gate.OPEN:
            return None
        until_ms = contact.lease.next_until(self._shared.clock.boot_ms())
        if until_ms is None:
            return None
        key = (run.task, run.run)
        order = StartOrder(
            run.task,
            run.run,
            job.spec.payload,
            until_ms,
            self._shared.epoch,
            run.checkpoint,
            ticket,
        )
        unsure = contact.held_up.note_sent(key)
        try:
            answer = await contact.client.start(order, CALL_S)
        except LOST as exc:
            about = {**_about(run), 'why': str(exc)}
            _log.warning('start unanswered', extra=about)
            return None
        self._shared.lines.note(
            'start',
            run.task,
            run.run,
            run.runner,
            epoch=run.epoch,
            outcome=answer.result.value,
        )
        if not contact.note_answer(answer):
            return None
        if not unsure:
            contact.held_up.note_answered(key)
        return answer.result

    async def _note_rejected(
        self, run: OpenRun, result: OrderResult, *, unsure: bool
    ) -> None:
        if result in {OrderResult.UNHEALTHY, OrderResult.NO_ROOM}:
            note_doubt(self._shared, run.runner, Doubt.REJECTED, run.task.job)
        await self._withdraw(run, f'start rejected: {result}', unsure=unsure)

    async def _withdraw(
        self, run: OpenRun, reason: str, *, unsure: bool
    ) -> None:
        """Give a start up; one that may be on its way is barred by a stop."""
        if unsure:
            self.stop(run, f'{reason}, after an order without answer')
            return
        while self._contact.active() and not await record_vanished(
            self._shared, [run], reason
        ):
            await anyio.sleep(RETRY_S)

    async def _carry_stop(self, run: OpenRun, reason: str) -> None:
        key = (run.task, run.run)
        self._shared.lines.note_stop(run, reason)
        while self._contact.active() and not await self._try_stop(run):
            await anyio.sleep(RETRY_S)
        self._settle(run)
        while self._contact.active() and self._shared.cell.find_run(*key):
            await self._shared.follower.wait_progress()
        self.stops.pop(key, None)

    async def _try_stop(self, run: OpenRun) -> bool:
        contact = self._contact
        try:
            answer = await contact.client.stop(
                run.task, run.run, self._shared.epoch, CALL_S
            )
        except LOST as exc:
            about = {**_about(run), 'why': str(exc)}
            _log.warning('stop unanswered', extra=about)
            return False
        ours = contact.note_answer(answer)
        return ours and answer.result in {OrderResult.TAKEN, OrderResult.OLD}


def _about(run: OpenRun) -> dict[str, object]:
    return {
        'job': run.task.job,
        'task': '.'.join(map(str, run.task[1:])),
        'run': run.run,
        'runner': run.runner,
        'epoch': run.epoch,
    }
