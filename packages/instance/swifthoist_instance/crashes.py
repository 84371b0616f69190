"""Finds out which runs a crashed runner may not have survived the start of."""

import logging
from collections.abc import Iterable

from swifthoist_core.types import Millis
from swifthoist_engine.crash_records import CrashWitnessed, RunnerCrashed
from swifthoist_engine.crashes import Crash
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.model import RunKey, TaskId
from swifthoist_engine.records import Record
from swifthoist_engine.suspects import give_up_records
from swifthoist_instance.contacts import RUNNER_TIMEOUT_MS, Contact
from swifthoist_instance.context import TenureContext
from swifthoist_instance.orders import Orders
from swifthoist_instance.outcomes import (
    Checkpoints,
    record_all,
    vanished_record,
)

STARTUP_MS = 500
"""How long before the loss of contact a start may have crashed the runner, in
ms."""

SILENT_STARTUP_MS = 2_000
"""The same where connections were not reset, so that a call had to time out;
a look takes 1.6 s to do so."""

SURVIVAL_MS = 1_000
"""How long after a start a runner has to answer to have survived it, in ms."""

SAME_BATCH_MS = 1_000
"""Starts on a runner within this time of its newest one count as equally
recent, in ms."""

UNSEEN_MS = 5_000
"""How long before the claim of the holder a runner may have crashed without
its predecessor recording it, in ms."""

_log = logging.getLogger(__name__)


async def record_crash(
    contact: Contact,
    orders: Orders,
    lost: Iterable[OpenRun],
    reason: str,
    checkpoints: Checkpoints,
    *,
    certain: bool = True,
) -> bool:
    """Record that a runner went down, with the runs that are lost for certain.

    :param contact: the contact with the runner.
    :param orders: orders to it.
    :param lost: runs that are certainly gone.
    :param reason: why that is certain.
    :param checkpoints: newest checkpoints reported for its runs.
    :param certain: whether the runner is known to have gone down.
    :returns: whether the records are folded.
    """
    context = contact.context
    crash = _describe_crash(contact, orders, certain=certain)
    vanished = [
        vanished_record(context, run, reason, checkpoints) for run in lost
    ]
    if crash is None:
        return await record_all(context, vanished)
    witnessed = _describe_witnessed(contact, orders)
    if not certain and not contact.refused:
        unsure = (*witnessed.seen, *witnessed.likely)
        witnessed = witnessed._replace(seen=(), likely=(), unconfirmed=unsure)
    records: list[Record] = [crash, witnessed]
    if not await record_all(context, [*records, *vanished]):
        return False
    context.crashes.crashes += 1
    unheard_ms = context.clock.boot_ms() - contact.last_answer_ms
    fields = {
        'runner': crash.runner,
        'machine': crash.machine,
        'starting': [_name(run) for run in crash.starting],
        'running': len(crash.running),
        'certain': crash.certain,
        'witnessed': list(map(_name, (*witnessed.seen, *witnessed.likely))),
        'unconfirmed': list(map(_name, witnessed.unconfirmed)),
        'with_others': _fell_silent_with_others(contact),
        'unheard_ms': unheard_ms,
        'why': reason,
    }
    _log.warning('runner crashed', extra=fields)
    return True


def give_up_tasks(
    context: TenureContext, tasks: Iterable[TaskId]
) -> list[Record]:
    """Make the records that give tasks up, and log each of them.

    :param context: state shared within the tenure.
    :param tasks: the tasks; they belong to jobs that are not finished.
    :returns: records for the next append.
    """
    records: list[Record] = []
    for task in tasks:
        job = context.cell.state.jobs[task.job]
        unit = job.ensure_unit(job.unit_of(task))
        crashes = unit.task_crashes[task.ordinal]
        now_ms = context.follower.time.now_ms()
        records += give_up_records(job, task, context.epoch, now_ms)
        context.crashes.given_up += 1
        fields = {
            'job': task.job,
            'task': '.'.join(map(str, task[1:])),
            'crashes': [_describe(crash) for crash in crashes],
        }
        _log.warning('task given up', extra=fields)
    return records


def _describe(crash: Crash) -> str:
    """Return a crash in short: run, evidence, weight, runner, holder."""
    return (
        f'#{crash.run} {crash.evidence} {crash.weight} on {crash.runner}'
        f' ({crash.machine}), epoch {crash.epoch}'
    )


def _describe_crash(
    contact: Contact, orders: Orders, *, certain: bool
) -> RunnerCrashed | None:
    """Return the record of a crash; None if it was planned or cost nothing."""
    context = contact.context
    entry = contact.registration
    begun = context.cell.state.upkeeps.values()
    in_upkeep = any(entry.runner in it.values() for it in begun)
    runs = [
        run
        for run in context.cell.runs_on(entry.runner)
        if orders.starts.may_have_begun(run)
    ]
    if entry.draining or in_upkeep or not runs:
        return None
    # Without an answer in this term, the crash may have been before it.
    seen_up = contact.lease.known
    if seen_up:
        starting = [run for run in runs if _was_starting(contact, orders, run)]
    else:
        starting = _newest_batch(runs, context.cell.state.claimed_ms)
    running = [run for run in runs if run not in starting]
    if seen_up and starting and _fell_silent_with_others(contact):
        # A common cause is likelier than a start, which still counts lightly.
        running, starting = starting, []
    return RunnerCrashed(
        context.epoch,
        entry.runner,
        entry.machine or entry.address,
        tuple((run.task, run.run) for run in starting),
        tuple((run.task, run.run) for run in running),
        certain
        and seen_up
        and contact.lost_at_once
        and context.crashes.lost_alone(entry.runner),
        context.follower.time.now_ms(),
    )


def _describe_witnessed(contact: Contact, orders: Orders) -> CrashWitnessed:
    """Return which runs were on a runner when it crashed."""
    runs = contact.context.cell.runs_on(contact.runner)
    had = [run for run in runs if (run.task, run.run) in contact.presence]
    arriving = [
        run
        for run in runs
        if run not in had and _was_arriving(contact, orders, run)
    ]
    unsure = frozenset[RunKey]()
    if contact.life.over:
        # The next life may have answered these.
        unsure = frozenset(contact.pending_starts.keys())
    seen = frozenset[RunKey]()
    if _was_watched(contact):
        seen = frozenset((run.task, run.run) for run in had) - unsure
    likely = frozenset((run.task, run.run) for run in (*had, *arriving)) - seen
    return CrashWitnessed(
        contact.context.epoch,
        contact.runner,
        tuple(sorted(seen)),
        tuple(sorted(likely)),
    )


def _was_watched(contact: Contact) -> bool:
    """Return whether a look was waiting for ends when the connections broke."""
    if contact.lost_ms is None or not contact.lost_at_once:
        return False
    unheard_ms = contact.lost_ms - contact.last_answer_ms
    return contact.lease.known and unheard_ms <= RUNNER_TIMEOUT_MS


def _was_arriving(contact: Contact, orders: Orders, run: OpenRun) -> bool:
    """Return whether a start was sent to the runner while it was up.

    If the runner has answered since without the run, the start was not carried
    out by then.
    """
    if not run.sent:
        return False
    return not contact.presence.was_looked_at(orders.starts.sent_ms(run))


def _was_starting(contact: Contact, orders: Orders, run: OpenRun) -> bool:
    sent_ms = orders.starts.sent_ms(run)
    lost_ms = contact.lost_ms
    if lost_ms is None:
        lost_ms = contact.context.clock.boot_ms()
    startup_ms = STARTUP_MS if contact.lost_at_once else SILENT_STARTUP_MS
    survived_ms = contact.last_answer_ms - sent_ms
    return survived_ms < SURVIVAL_MS and lost_ms - sent_ms <= startup_ms


def _fell_silent_with_others(contact: Contact) -> bool:
    """Return whether runners were lost together, without broken connections."""
    if contact.lost_ms is None or contact.lost_at_once:
        return False
    crashes = contact.context.crashes
    return not crashes.lost_alone(contact.runner, SILENT_STARTUP_MS)


def _newest_batch(runs: list[OpenRun], claimed_ms: Millis) -> list[OpenRun]:
    newest_ms = max(run.started_ms for run in runs)
    if newest_ms < claimed_ms - UNSEEN_MS:
        return []
    return [it for it in runs if it.started_ms >= newest_ms - SAME_BATCH_MS]


def _name(key: RunKey) -> str:
    task, run = key
    return f'{".".join(map(str, task))}#{run}'
