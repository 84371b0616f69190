"""Records that have to be in the log before a start is sent."""

from swifthoist_engine.jobs import OpenRun
from swifthoist_instance.contacts import Contact
from swifthoist_instance.outcomes import (
    record_all,
    record_sent,
    unanswered_record,
)


async def record_suspected(contact: Contact, run: OpenRun) -> bool:
    """Record the start of a task that may crash its runner.

    :param contact: the contact with the runner.
    :param run: the run.
    :returns: whether that is recorded, and the runner was up behind it.
    """
    # Sent to a runner that is already down, it would be blamed for that.
    if not await contact.probe():
        return False
    lost_ms = contact.lost_ms
    announced = await record_sent(contact.context, run)
    return announced and contact.lost_ms == lost_ms


async def record_unanswered(contact: Contact, run: OpenRun) -> bool:
    """Record that a start may still arrive, before it is repeated.

    :param contact: the contact with the runner.
    :param run: the run.
    :returns: whether that is recorded, or needs no record.
    """
    context, pending = contact.context, contact.pending_starts
    key = (run.task, run.run)
    if not contact.life.born_ms or not pending.needs_record(key):
        return True
    began_ms = context.clock.boot_ms()
    record = unanswered_record(context, run.runner, key)
    if not await record_all(context, [record]):
        return False
    pending.note_recorded(key, began_ms)
    return True
