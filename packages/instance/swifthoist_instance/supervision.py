"""Restarts the tasks of an instance that fail with an unexpected exception.

An error in one decision must not interrupt the requests that the instance
serves, nor terminate all instances in turn as each takes over the cell.
"""

import logging
from collections.abc import Awaitable, Callable

import anyio

RESTART_PAUSE_S = 0.5
"""Pause before a failed task is restarted, in seconds. It bounds the number of
log lines from a persistent error."""

_log = logging.getLogger(__name__)


async def run_supervised(
    name: str, func: Callable[[], Awaitable[None]]
) -> None:
    """Run a task, restarting it on failure, until it returns or is canceled.

    :param name: name of the task, for the log.
    :param func: coroutine function of the task.
    """
    while True:
        try:
            await func()
        except Exception:
            _log.exception('task failed', extra={'task': name})
            await anyio.sleep(RESTART_PAUSE_S)
        else:
            return
