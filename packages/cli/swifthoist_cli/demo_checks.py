"""Checks of the demo against what the stand-ins recorded."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple, TypeAlias

from swifthoist_cli.demo_callers import Attempt, Ending
from swifthoist_core.reports import UsageReport

WINDOW_MS = 8_000
"""Bound on the time between the first and the last start or end of the parts
of a gang: a lease, a second for its end to be noticed and a margin, in ms."""


Line: TypeAlias = Mapping[str, Any]


class GangKey(NamedTuple):
    """One attempt of a job.

    :ivar job_id: the job.
    :ivar attempt: number of the attempt.
    """

    job_id: str
    attempt: int


class Records(NamedTuple):
    """What the stand-ins recorded.

    :ivar runs: runs at runners, as objects of ``GET /record``.
    :ivar parts: parts at each worker, as objects of ``GET /record``.
    """

    runs: tuple[Line, ...]
    parts: Mapping[str, tuple[Line, ...]]


class Check(NamedTuple):
    """One promise and whether it was kept.

    :ivar promise: the promise.
    :ivar broken: what broke it, empty if it was kept.
    :ivar seen: how much was looked at.
    """

    promise: str
    broken: tuple[str, ...]
    seen: int


def check_requests(
    attempts: Iterable[Attempt], records: Records
) -> tuple[Check, ...]:
    """Check the promises to callers.

    :param attempts: what callers saw.
    :param records: what runners recorded.
    :returns: a check for each promise.
    """
    attempts = tuple(attempts)
    runs = Counter((run['owner'], run['key']) for run in records.runs)
    once = [item for item in attempts if not item.idempotent]
    ended = [item for item in attempts if item.ending is Ending.NOT_RUN]
    done = [item for item in attempts if item.ending is Ending.DONE]
    return (
        Check(
            'what may run once ran at most once',
            tuple(item.key for item in once if runs[item.owner, item.key] > 1),
            len(once),
        ),
        Check(
            'what was refused as "not run" did not run',
            tuple(item.key for item in ended if runs[item.owner, item.key] > 0),
            len(ended),
        ),
        Check(
            'each answer was whole and to its own request',
            tuple(item.key for item in done if not item.is_whole),
            len(done),
        ),
        Check(
            'what was answered as done did run',
            tuple(item.key for item in done if not runs[item.owner, item.key]),
            len(done),
        ),
    )


def check_gangs(records: Records, sizes: Mapping[str, int]) -> Check:
    """Check that no part of a gang ran without the rest.

    :param records: what workers recorded.
    :param sizes: number of parts of each job.
    :returns: the check.
    """
    gangs: dict[GangKey, list[Line]] = defaultdict(list)
    for part in _started(records):
        gangs[GangKey(part['job_id'], part['attempt'])].append(part)
    broken = [
        f'{key.job_id} attempt {key.attempt}'
        for key, gang in gangs.items()
        if _is_partial(gang, sizes.get(key.job_id, 0))
    ]
    return Check('no part of a gang ran alone', tuple(broken), len(gangs))


def check_places(records: Records) -> Check:
    """Check that no accelerator was given to two parts at a time.

    :param records: what workers recorded.
    :returns: the check.
    """
    broken: list[str] = []
    seen = 0
    for worker, parts in records.parts.items():
        started = sorted(
            (part for part in parts if part['started_ms']), key=_start_of
        )
        seen += len(started)
        for index, part in enumerate(started):
            broken.extend(
                f'{worker}: {part["job_id"]} and {other["job_id"]}'
                for other in started[index + 1 :]
                if _overlap(part, other)
            )
    promise = 'no accelerator was given twice at a time'
    return Check(promise, tuple(broken), seen)


def check_account(report: UsageReport, records: Records) -> Check:
    """Check the report against the workers, part by part.

    :param report: the usage report.
    :param records: what workers recorded.
    :returns: the check.
    """
    reported = {
        (span.job_id, span.attempt, span.part): span.accelerator_ms
        for span in report.spans
    }
    recorded = {
        (part['job_id'], part['attempt'], part['part']): (
            part['accelerators'] * (part['ended_ms'] - part['started_ms'])
        )
        for part in _started(records)
    }
    broken = [
        f'{key}: reported {reported.get(key)}, recorded {recorded.get(key)}'
        for key in sorted(set(reported) | set(recorded))
        if reported.get(key) != recorded.get(key)
    ]
    promise = 'the account is what the workers ran, in accelerator-ms'
    return Check(promise, tuple(broken), len(recorded))


def _started(records: Records) -> list[Line]:
    return [
        part
        for parts in records.parts.values()
        for part in parts
        if part['started_ms']
    ]


def _start_of(part: Line) -> int:
    return int(part['started_ms'])


def _is_partial(parts: list[Line], size: int) -> bool:
    if len(parts) != size:
        return True
    starts = [_start_of(part) for part in parts]
    return max(starts) - min(starts) > WINDOW_MS


def _overlap(one: Line, other: Line) -> bool:
    """Tell whether a part shares accelerators with one that started later."""
    if one['ended_ms'] and other['started_ms'] >= one['ended_ms']:
        return False
    low = max(int(one['first']), int(other['first']))
    high = min(_end_of(one), _end_of(other))
    return low < high


def _end_of(part: Line) -> int:
    return int(part['first']) + int(part['accelerators'])
