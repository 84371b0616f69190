"""Structured logs: one JSON object per line, rate-limited and non-blocking.

When there are too many lines, the least informative kinds are dropped first.
"""

import fcntl
import logging
import os
import sys
import time
from collections import Counter, deque
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from swifthoist_core.types import InstanceId, ZoneId
from swifthoist_instance.job_lines import JOB_OVER

MAX_LINES_PER_S = 400
"""Maximum number of lines per second, except those of finished jobs; further
lines are only counted."""

MAX_JOB_LINES_PER_S = 400
"""Maximum number of lines per second of finished jobs: twice the number of jobs
that the largest site accepts."""

MAX_BACKLOG = 1_000
"""Maximum number of lines of finished jobs that wait for a slow log reader."""

DROPPED = 'lines dropped'
ENDED = 'ended'
_ROUTINE_ENDINGS = frozenset(('done', 'stopped', 'broken'))
"""Endings of runs that explain no failure: other lines report what stopped or
broke those runs."""

_RATE_SHARES = {
    'pace': 0.25,
    'start': 0.5,
    'ended done': 0.5,
    'ended stopped': 0.6,
    'ended broken': 0.6,
    'start unanswered': 0.6,
    'stop unanswered': 0.6,
    'pace unanswered': 0.6,
    'stop': 0.75,
    'recorded': 0.9,
    'refused': 0.9,
}
"""Share of MAX_LINES_PER_S beyond which lines of a kind are dropped; 1 for
kinds that are not listed. Lines that explain failures are dropped last."""

_FIELDS = '%(asctime)s %(levelname)s %(name)s %(message)s'
_QUIETED_LOGGERS = (
    'httpx',
    'httpcore',
    'hypercorn.access',
    'hypercorn.error',
    'anyio',
)


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking the program.

    :ivar dropped: number of lines that were not written, by kind.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to a file descriptor.

        :param descriptor: the descriptor, which is made non-blocking.
        """
        super().__init__()
        self.dropped: Counter[str] = Counter()
        self._unreported: Counter[str] = Counter()
        self._descriptor = descriptor
        self._second = 0
        self._lines_written: Counter[bool] = Counter()
        self._unwritten = b''
        self._backlog: deque[bytes] = deque()
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as dropped.

        :param record: the log record.
        """
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines_written.clear()
            self._report_dropped()
        kind = line_kind(record)
        queued = kind == JOB_OVER
        limit = MAX_LINES_PER_S * _RATE_SHARES.get(kind, 1)
        if queued:
            limit = MAX_JOB_LINES_PER_S
        if self._lines_written[queued] >= limit:
            self._drop(kind)
            return
        self._lines_written[queued] += 1
        self._write(record, kind, queued=queued)

    def _report_dropped(self) -> None:
        if not self._unreported or self._backlog:
            return
        attributes = {'msg': DROPPED, 'name': __name__, 'levelname': 'WARNING'}
        counts = {'lines': dict(self._unreported)}
        self._unreported.clear()
        self._write(
            logging.makeLogRecord({**attributes, **counts}),
            DROPPED,
            queued=True,
        )

    def _write(
        self, record: logging.LogRecord, kind: str, *, queued: bool
    ) -> None:
        if queued and len(self._backlog) >= MAX_BACKLOG:
            self._drop(kind)
            return
        line = f'{self.format(record)}\n'.encode()
        if queued:
            self._backlog.append(line)
            self._write_pending()
            return
        written = self._write_pending()
        if written:
            self._unwritten = line
            written = self._write_pending() or self._unwritten != line
        if not written:
            # The reader is stalled; logging must not block the program.
            self._unwritten = (
                b'' if self._unwritten == line else self._unwritten
            )
            self._drop(kind)

    def _write_pending(self) -> bool:
        """Write pending lines, and return whether all were written."""
        while self._unwritten or self._backlog:
            if not self._unwritten:
                self._unwritten = self._backlog.popleft()
            try:
                count = os.write(self._descriptor, self._unwritten)
            except OSError:
                return False
            self._unwritten = self._unwritten[count:]
        return True

    def _drop(self, kind: str) -> None:
        self.dropped[kind] += 1
        self._unreported[kind] += 1


class LineFormatter(JsonFormatter):
    """Writes what a line is about before the instance that wrote it.

    Lines that are cut for a report keep their beginning.
    """

    def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
        """Put the fields that all lines of an instance share last.

        :param log_data: fields of a line.
        :returns: the same fields.
        """
        for name in self.static_fields:
            log_data[name] = log_data.pop(name)
        return log_data


def line_kind(record: logging.LogRecord) -> str:
    """Return the kind of a line, by which lines are dropped and counted.

    :param record: the log record.
    :returns: its message, followed by the ending if it explains no failure.
    """
    message = record.getMessage()
    ending = getattr(record, 'ending', '')
    routine = message == ENDED and ending in _ROUTINE_ENDINGS
    return f'{message} {ending}' if routine else message


def configure_logs(instance: InstanceId, zone: ZoneId) -> BoundedHandler:
    """Write the program's logs to standard output as JSON lines.

    :param instance: name of the instance, included in each line.
    :param zone: zone of the instance, included in each line.
    :returns: the handler, which counts dropped lines.
    """
    formatter = LineFormatter(
        _FIELDS,
        rename_fields={'asctime': 'time', 'levelname': 'level'},
        static_fields={'instance': instance, 'zone': zone},
    )
    handler = BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.INFO)
    for name in _QUIETED_LOGGERS:
        logging.getLogger(name).setLevel(logging.ERROR)
    return handler
