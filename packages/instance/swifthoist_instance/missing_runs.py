"""Finds runs that a look shows to be missing from their runner."""

from collections.abc import Iterable, Iterator

from swifthoist_core.types import Millis
from swifthoist_engine.model import RunKey
from swifthoist_engine.records import Record
from swifthoist_instance.contacts import Contact
from swifthoist_instance.orders import Orders
from swifthoist_instance.outcomes import (
    Checkpoints,
    unanswered_record,
    vanished_record,
)
from swifthoist_platform.runner_calls import EndedRun, PollReply


def present_runs(poll: PollReply) -> set[RunKey]:
    """Return the runs that a look shows.

    :param poll: answer to the look.
    :returns: runs that are running or ended.
    """
    running = {(row.task, row.run) for row in poll.running}
    return running | {(end.task, end.run) for end in poll.ends}


def find_missing_runs(
    contact: Contact,
    orders: Orders,
    poll: PollReply,
    sent_ms: Millis,
    checkpoints: Checkpoints,
) -> Iterator[Record]:
    """Make the records of runs that are certainly not on their runner.

    :param contact: the contact with the runner.
    :param orders: orders to it.
    :param poll: answer to a look that shows all its runs.
    :param sent_ms: when the look was sent.
    :param checkpoints: newest checkpoints reported for its runs.
    :returns: the records.
    """
    context = contact.context
    present = present_runs(poll)
    for run in context.cell.runs_on(contact.runner):
        key = (run.task, run.run)
        settled_ms = orders.settled.get(key, sent_ms)
        may_come = run.epoch == context.epoch and settled_ms >= sent_ms
        if key in present or may_come or _may_begin_later(contact, key):
            continue
        if key not in orders.starts.keys():
            yield from _note_earlier_start(contact, key, sent_ms)
        yield vanished_record(context, run, 'not on its runner', checkpoints)


def find_late_starts(
    contact: Contact, ends: Iterable[EndedRun]
) -> Iterator[Record]:
    """Make the records of starts that may arrive behind the end of their run.

    :param contact: the contact with the runner.
    :param ends: ends that it listed.
    :returns: the records.
    """
    for end in ends:
        key = (end.task, end.run)
        if contact.life.born_ms and contact.pending_starts.is_unanswered(key):
            yield unanswered_record(contact.context, contact.runner, key)


def _note_earlier_start(
    contact: Contact, key: RunKey, sent_ms: Millis
) -> Iterator[Record]:
    """Note that the start of an earlier term may still be on its way."""
    if contact.life.born_ms:
        contact.pending_starts.restore(key, sent_ms)
        yield unanswered_record(contact.context, contact.runner, key)


def _may_begin_later(contact: Contact, key: RunKey) -> bool:
    """Return whether a later life of the runner may still begin a run.

    A stop bars the run only in the life that took the stop.
    """
    return contact.reborn and key in contact.pending_starts.keys()
