"""What a holder does when a runner has started again under the id it had."""

import logging
from collections.abc import Iterable

import anyio

from swifthoist_engine.records import RunnerDescribed, RunnerGone, RunnerMet
from swifthoist_engine.run_index import RunKey
from swifthoist_instance.contacts import RETRY_S, Contact
from swifthoist_instance.orders import Orders
from swifthoist_instance.outcomes import (
    Checkpoints,
    record_all,
    record_vanished,
)

_log = logging.getLogger(__name__)


async def end_life(
    contact: Contact, orders: Orders, saved: Checkpoints
) -> None:
    """Give up what was surely with the life that is over.

    What another order may still start waits until the next life has refused it.

    :param contact: the contact with the life; closed once that is recorded.
    :param orders: orders to it.
    :param saved: newest checkpoints that its runs were seen with.
    """
    shared = contact.shared
    runs = shared.cell.runs_on(contact.runner)
    lost = [run for run in runs if orders.is_certain(run)]
    reason = 'its runner has started again'
    if not await record_vanished(shared, lost, reason, saved):
        await anyio.sleep(RETRY_S)
        return
    about = {'lost': len(lost), 'unsure': len(runs) - len(lost)}
    shared.lives.ended += 1
    shared.lives.lost += about['lost']
    shared.lives.unsure += about['unsure']
    _log.info('life over', extra={'runner': contact.runner, **about})
    contact.closed = True
    shared.wake.notify()


async def fold_life(contact: Contact) -> bool:
    """Have the fold forget the life before this one, unless it has.

    That takes one append, so that nobody counts ends of one life by numbers
    of another; versions that skip the description forget alike.

    :param contact: the contact with the life that answers.
    :returns: whether that is folded.
    """
    if contact.folded:
        return True
    epoch, runner = contact.shared.epoch, contact.runner
    address = contact.registration.address
    return await record_all(
        contact.shared,
        [
            RunnerGone(epoch, runner),
            RunnerMet(epoch, runner, address),
            RunnerDescribed(epoch, runner, *contact.facts),
        ],
    )


def is_clear(
    contact: Contact, orders: Orders, running: Iterable[RunKey]
) -> bool:
    """Tell whether nothing is or will be on a new life but what is wanted.

    :param contact: the contact with the life.
    :param orders: orders to it; stops of what may still arrive are added.
    :param running: what it runs.
    :returns: whether its room is free for starts.
    """
    orders.bar_held_up()
    find_run = contact.shared.cell.find_run
    return not orders.stops and all(find_run(*key) for key in running)
