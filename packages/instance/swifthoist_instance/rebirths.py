"""Handles runners that have restarted under the same id."""

import logging
from collections.abc import Iterable

import anyio

from swifthoist_engine.model import RunKey
from swifthoist_engine.records import RunnerDescribed, RunnerGone, RunnerMet
from swifthoist_instance.contacts import RETRY_S, Contact
from swifthoist_instance.crashes import record_crash
from swifthoist_instance.orders import Orders
from swifthoist_instance.outcomes import Checkpoints, record_all

_log = logging.getLogger(__name__)


async def end_life(
    contact: Contact, orders: Orders, checkpoints: Checkpoints
) -> None:
    """Give up the runs that certainly ended with a life that is over.

    Runs that a delayed order may still start are kept until the next life has
    refused them.

    :param contact: the contact with the life; closed once that is recorded.
    :param orders: orders to it.
    :param checkpoints: newest checkpoints reported for its runs.
    """
    context = contact.context
    runs = context.cell.runs_on(contact.runner)
    lost = [run for run in runs if orders.has_no_pending_start(run)]
    reason = 'its runner has started again'
    if not await record_crash(contact, orders, lost, reason, checkpoints):
        await anyio.sleep(RETRY_S)
        return
    fields = {'lost': len(lost), 'unsure': len(runs) - len(lost)}
    context.lives.ended += 1
    context.lives.lost += fields['lost']
    context.lives.unsure += fields['unsure']
    _log.info('life over', extra={'runner': contact.runner, **fields})
    contact.closed = True
    context.wake.notify()


async def record_life(contact: Contact) -> bool:
    """Replace the former life by this one in the folded state, if needed.

    The records go into one append, so that ends of one life are never matched
    with end numbers of another. Versions that skip the description forget the
    former life, too.

    :param contact: the contact with the life that answers.
    :returns: whether the folded state has this life.
    """
    if contact.folded:
        return True
    epoch, runner = contact.context.epoch, contact.runner
    address = contact.registration.address
    return await record_all(
        contact.context,
        [
            RunnerGone(epoch, runner),
            RunnerMet(epoch, runner, address),
            RunnerDescribed(epoch, runner, *contact.facts),
        ],
    )


def has_only_wanted_runs(
    contact: Contact, orders: Orders, running: Iterable[RunKey]
) -> bool:
    """Return whether a new life has, and will get, only runs that are wanted.

    :param contact: the contact with the life.
    :param orders: orders to it; stops of runs that may still arrive are added.
    :param running: runs that are running on it.
    :returns: whether its capacity is available for starts.
    """
    orders.stop_pending_starts()
    find_run = contact.context.cell.find_run
    # A run that a later life may still begin stays open behind its stop.
    untaken = orders.stops.keys() - orders.settled.keys()
    return not untaken and all(find_run(*key) for key in running)
