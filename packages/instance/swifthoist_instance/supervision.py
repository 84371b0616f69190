"""Restarts tasks that fail with an unexpected exception.

An error in one decision must not interrupt the requests that the instance
serves, nor terminate all instances in turn as each takes over the cell. A task
of a term that fails leaves the others of the term running.
"""

import logging
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import anyio

from swifthoist_instance.faults import Faults

RESTART_PAUSE_S = 0.5
"""Pause before a failed task is restarted, in seconds; it doubles while the
task keeps failing. It bounds the log lines and the time that go into a
persistent error."""

MAX_RESTART_PAUSE_S = 2.0
"""Longest such pause, in seconds: a task of a job that can run has to start
within 3 s."""

SOUND_S = 10.0
"""How long a task has run that is restarted after the first pause again, in
seconds."""

Task: TypeAlias = Callable[[], Awaitable[None]]
"""Coroutine function of a task."""

_log = logging.getLogger(__name__)


async def run_supervised(name: str, func: Task, faults: Faults) -> None:
    """Run a task, restarting it on failure, until it returns or is canceled.

    :param name: name of the task, for the log.
    :param func: coroutine function of the task.
    :param faults: where its failures are reported.
    """
    pause_s = RESTART_PAUSE_S
    while True:
        began = anyio.current_time()
        try:
            await func()
        except Exception as exc:
            if anyio.current_time() - began > SOUND_S:
                pause_s = RESTART_PAUSE_S
            faults.note('task', name, exc)
            fields = {'task': name, 'error': repr(exc), 'pause_s': pause_s}
            _log.error('task failed', extra=fields)
            await anyio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_RESTART_PAUSE_S)
        else:
            return
