"""Structured logs: one JSON object a line, bounded, and never blocking.

Where there are too many lines, those go first that explain the least.
"""

import fcntl
import logging
import os
import sys
import time
from collections import Counter, deque

from pythonjsonlogger.json import JsonFormatter

from swifthoist_core.types import InstanceId, ZoneId
from swifthoist_instance.job_lines import JOB_OVER

MAX_LINES_PER_S = 400
"""Most lines that are written in a second, beside those of jobs that are over;
the rest is counted."""

MAX_JOB_LINES_PER_S = 400
"""Most lines of jobs that are over in a second, at the rate of the largest
site twice what it accepts."""

MAX_BACKLOG = 1_000
"""Most lines of jobs that wait until the reader of the logs goes on."""

DROPPED = 'lines dropped'
ENDED = 'ended'
ENDED_DONE = 'ended done'
"""Kind of the ends that explain no failure."""

_SHARES = {
    'pace': 0.25,
    'recorded': 0.5,
    'start': 0.5,
    ENDED_DONE: 0.5,
    'start unanswered': 0.6,
    'stop unanswered': 0.6,
    'pace unanswered': 0.6,
    'stop': 0.75,
    'refused': 0.75,
    ENDED: 0.9,
    'vanished': 0.9,
}
"""Which share of a second's lines must be left for one of a kind; kinds that
are not listed take all. What explains failures is dropped last."""

_FIELDS = '%(asctime)s %(levelname)s %(name)s %(message)s'
_NOISY = ('httpx', 'httpcore', 'hypercorn.access', 'hypercorn.error', 'anyio')


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor that never blocks the program.

    :ivar dropped: lines that were not written so far, by kind.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to a descriptor.

        :param descriptor: it is set to not block.
        """
        super().__init__()
        self.dropped: Counter[str] = Counter()
        self._untold: Counter[str] = Counter()
        self._descriptor = descriptor
        self._second = 0
        self._lines: Counter[bool] = Counter()
        self._rest = b''
        self._backlog: deque[bytes] = deque()
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as dropped.

        :param record: what to log.
        """
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines.clear()
            self._tell_dropped()
        kind = kind_of(record)
        kept = kind == JOB_OVER
        most = MAX_LINES_PER_S * _SHARES.get(kind, 1)
        if kept:
            most = MAX_JOB_LINES_PER_S
        if self._lines[kept] >= most:
            self._drop(kind)
            return
        self._lines[kept] += 1
        self._write(record, kind, kept=kept)

    def _tell_dropped(self) -> None:
        if not self._untold or self._backlog:
            return
        about = {'msg': DROPPED, 'name': __name__, 'levelname': 'WARNING'}
        counts = {'lines': dict(self._untold)}
        self._untold.clear()
        self._write(
            logging.makeLogRecord({**about, **counts}), DROPPED, kept=True
        )

    def _write(
        self, record: logging.LogRecord, kind: str, *, kept: bool
    ) -> None:
        if kept and len(self._backlog) >= MAX_BACKLOG:
            self._drop(kind)
            return
        line = f'{self.format(record)}\n'.encode()
        if kept:
            self._backlog.append(line)
            self._push()
            return
        written = self._push()
        if written:
            self._rest = line
            written = self._push() or self._rest != line
        if not written:
            # Nobody reads; a log line must not hold up the program.
            self._rest = b'' if self._rest == line else self._rest
            self._drop(kind)

    def _push(self) -> bool:
        """Write what waits; tell whether all of it is written."""
        while self._rest or self._backlog:
            if not self._rest:
                self._rest = self._backlog.popleft()
            try:
                count = os.write(self._descriptor, self._rest)
            except OSError:
                return False
            self._rest = self._rest[count:]
        return True

    def _drop(self, kind: str) -> None:
        self.dropped[kind] += 1
        self._untold[kind] += 1


def kind_of(record: logging.LogRecord) -> str:
    """Tell the kind of a line, by which lines are dropped and counted.

    :param record: what to log.
    :returns: its message; ends of runs that were done have a kind of their own.
    """
    message = record.getMessage()
    done = getattr(record, 'ending', '') == 'done'
    return ENDED_DONE if message == ENDED and done else message


def set_up_logs(instance: InstanceId, zone: ZoneId) -> BoundedHandler:
    """Send the logs of the program to standard output as JSON lines.

    :param instance: name of the instance; it stands in each line.
    :param zone: its zone; likewise.
    :returns: the handler, which counts the lines that it dropped.
    """
    formatter = JsonFormatter(
        _FIELDS,
        rename_fields={'asctime': 'time', 'levelname': 'level'},
        static_fields={'instance': instance, 'zone': zone},
    )
    handler = BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.INFO)
    for noisy in _NOISY:
        logging.getLogger(noisy).setLevel(logging.ERROR)
    return handler
