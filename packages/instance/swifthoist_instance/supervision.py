"""Keeps the tasks of an instance going when one fails by its own fault.

A fault in one decision must not end the calls that the instance serves, nor
have all instances end one after the other as each takes the cell over.
"""

import logging
from collections.abc import Awaitable, Callable

import anyio

RESTART_PAUSE_S = 0.5
"""Pause before a task that failed runs again, in seconds; it bounds the log
lines of a fault that stays."""

_log = logging.getLogger(__name__)


async def run_supervised(
    name: str, func: Callable[[], Awaitable[None]]
) -> None:
    """Run a task; run it again when it fails, until it ends or is canceled.

    :param name: name of the task, for the log.
    :param func: the task.
    """
    while True:
        try:
            await func()
        except Exception:
            _log.exception('task failed', extra={'task': name})
            await anyio.sleep(RESTART_PAUSE_S)
        else:
            return
