"""Breaks down the time of jobs that were not in time by cause, from the logs.

Each job is followed along the task that ended last: the time before acceptance,
by the reason of its refusals, the waits, and the runs by how they ended. Waits
are split by what the instances said meanwhile: nobody held the cell, or the store
was slow. Jobs that were asked for and never accepted count as well. The objective
goes by the longest chain of true durations, as that of the callers does.
"""

import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

import fire

from experiments.lines import Line, Moment, read_lines
from swifthoist_engine.queueing import LATE_FACTOR

HOLDER_GAP_S = 0.8
"""Gap in the holder's log that counts as no holder, in seconds: three times the
longest pause between its decisions."""

WINDOW_S = 2.0
"""Length of the windows by which late jobs are counted, in seconds: that of the
windows that the worst seconds are found by."""

LARGEST = 0.1
NEXT_LARGEST = 0.3
"""Shares of a queue's jobs up to which they count as its largest and as the next
largest, by the work that they declare."""

UNACCEPTED = 'not accepted'
"""Cause of time before acceptance, and verdict of a job that never was."""

HOLDERLESS = 'no holder'
SLOW = 'store slow'
WAITING = 'no room'
WAITED_AGAIN = 'waited again'
RUNNING = 'last run'
LONGER_THAN_DECLARED = 'longer than declared'
MS_PER_S = 1_000
ACCELERATOR_CORES = 8


class Event(NamedTuple):
    """An event of a task.

    :ivar at_s: time of its log line, in seconds.
    :ivar what: ``start``, or how a run ended.
    """

    at_s: float
    what: str


class Account(NamedTuple):
    """Breakdown of the time of one job.

    :ivar job: its id.
    :ivar priority: priority of its queue.
    :ivar team: its team.
    :ivar zone: availability zone of the instance that answered first.
    :ivar work: declared core-seconds, an accelerator as eight cores.
    :ivar asked_s: time of the first logged request for it, in seconds.
    :ivar took_s: seconds from then until its last task was done; None if the
        job is not done.
    :ivar objective_s: longest time that counts as in time, in seconds.
    :ivar parts: seconds by cause.
    """

    job: str
    priority: int
    team: str
    zone: str
    work: float
    asked_s: float
    took_s: float | None
    objective_s: float
    parts: dict[str, float]

    @property
    def verdict(self) -> str:
        """Whether the job was in time, late, too late or not done."""
        if self.took_s is None:
            return 'not done' if self.objective_s else UNACCEPTED
        if self.took_s <= self.objective_s:
            return 'in time'
        late = self.took_s <= LATE_FACTOR * self.objective_s
        return 'late' if late else 'too late'

    @property
    def cause(self) -> str:
        """Main cause of lateness apart from the last run."""
        others = {k: v for k, v in self.parts.items() if k != RUNNING}
        worst = max(others, key=lambda part: others[part], default='')
        if self.took_s is None:
            return worst or 'never started'
        excess = self.took_s - self.objective_s
        waited = worst and others[worst] > excess / 2
        return worst if waited else LONGER_THAN_DECLARED


class _Log:
    """Events collected from the logs."""

    def __init__(self) -> None:
        self.asked_s: dict[str, float] = {}
        self.zones: dict[str, str] = {}
        self.refusals: dict[str, Counter[str]] = defaultdict(Counter)
        self.slow: list[tuple[float, float]] = []
        self.accepted: dict[str, Moment] = {}
        self.tasks: dict[tuple[str, str], list[Event]] = defaultdict(list)
        self.canceled: set[str] = set()
        self.gaps: list[tuple[float, float]] = []
        self.last_s = float(0)
        self._last_event_s: float | None = None

    def read(self, moments: Iterable[Moment]) -> None:
        """Collect the events of log lines."""
        for at_s, line in moments:
            self.last_s = max(self.last_s, at_s)
            match line.get('message'):
                case 'refused' | 'unknown' if line.get('method') == 'POST':
                    self._note_asked(at_s, line)
                    self.refusals[line['job']][line.get('why', '')] += 1
                case 'call passed on' if line.get('method') == 'POST':
                    self._note_asked(at_s, line)
                case 'recorded' if 'steps' in line:
                    self._note_asked(at_s, line)
                    self.accepted.setdefault(line['job'], Moment(at_s, line))
                case 'recorded' if line.get('record') == 'Canceled':
                    self.canceled.add(line['job'])
                case 'store no longer slow':
                    began_s = at_s - line['lasted_ms'] / MS_PER_S
                    self.slow.append((began_s, at_s))
                case 'start' if line.get('outcome') == 'taken':
                    self._add_event(at_s, line, 'start')
                case 'ended':
                    self._add_event(at_s, line, line['ending'])
                case 'vanished':
                    self._add_event(at_s, line, 'vanished')

    def _note_asked(self, at_s: float, line: Line) -> None:
        self.asked_s.setdefault(line['job'], at_s)
        self.zones.setdefault(line['job'], line.get('zone', ''))

    def _add_event(self, at_s: float, line: Line, what: str) -> None:
        self.tasks[line['job'], line['task']].append(Event(at_s, what))
        if (
            self._last_event_s is not None
            and at_s - self._last_event_s > HOLDER_GAP_S
        ):
            self.gaps.append((self._last_event_s, at_s))
        self._last_event_s = at_s


def accounts_of(moments: Iterable[Moment]) -> list[Account]:
    """Break down the time of each job.

    :param moments: lines of the logs of all instances, in their order.
    :returns: one account for each job that was not canceled.
    """
    log = _Log()
    log.read(moments)
    log.gaps = _merge(log.gaps)
    log.slow = _merge(log.slow)
    by_job: dict[str, dict[str, list[Event]]] = defaultdict(dict)
    for (job, task), events in log.tasks.items():
        by_job[job][task] = events
    return [
        _account(log, job, by_job[job])
        for job in log.asked_s
        if job not in log.canceled
    ]


def _merge(spans: list[tuple[float, float]]) -> list[tuple[float, float]]:
    """Join spans that overlap; every instance tells of a slow store."""
    merged: list[tuple[float, float]] = []
    for began, ended in sorted(spans):
        if merged and began <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(merged[-1][1], ended))
        else:
            merged.append((began, ended))
    return merged


def _account(log: _Log, job: str, tasks: dict[str, list[Event]]) -> Account:
    asked_s = log.asked_s[job]
    zone = log.zones[job]
    parts: Counter[str] = Counter()
    reason = log.refusals[job].most_common(1)
    named = bool(reason and reason[0][0])
    unaccepted = f'{UNACCEPTED}: {reason[0][0]}' if named else UNACCEPTED
    if job not in log.accepted:
        return Account(
            job, -1, '', zone, 0, asked_s, None, 0, {unaccepted: 1}
        )  # fmt: skip
    accepted_s, line = log.accepted[job]
    parts[unaccepted] = accepted_s - asked_s
    done = [events for events in tasks.values() if events[-1].what == 'done']
    # A gang that is done logs one end for all of its members.
    ended = max(done, key=lambda events: events[-1].at_s, default=None)
    events = ended or max(tasks.values(), key=len, default=[])
    last_s = accepted_s
    began = False
    for event in events:
        if event.what == 'start':
            cause = WAITED_AGAIN if began else WAITING
            _add_wait(log, parts, (last_s, event.at_s), cause)
            began = True
        else:
            cause = RUNNING if event.what == 'done' else f'run {event.what}'
            parts[cause] += event.at_s - last_s
        last_s = event.at_s
    if not events:
        _add_wait(log, parts, (accepted_s, log.last_s), WAITING)
    took_s = ended[-1].at_s - asked_s if _is_complete(line, tasks) else None
    return Account(
        job, line['priority'], line['team'], zone, _work(line), asked_s,
        took_s, _objective_s(line, tasks),
        {cause: spent for cause, spent in parts.items() if spent > 0},
    )  # fmt: skip


def _is_complete(line: Line, tasks: dict[str, list[Event]]) -> bool:
    """Return whether a task of every step has ended as done."""
    steps = {
        int(task.split('.')[1])
        for task, events in tasks.items()
        if events[-1].what == 'done'
    }
    return len(steps) == len(line['steps'])


def _work(line: Line) -> float:
    return sum(
        step['tasks']
        * (step['need'][0] / MS_PER_S + ACCELERATOR_CORES * step['need'][2])
        * step['estimate_ms'] / MS_PER_S
        for step in line['steps']
    )  # fmt: skip


def _objective_s(line: Line, tasks: dict[str, list[Event]]) -> float:
    """Return the objective by the longest chain of true durations.

    A step without a run that is done counts with its declared duration.
    """
    longest: Counter[int] = Counter()
    for task, events in tasks.items():
        if len(events) > 1 and events[-1].what == 'done':
            step = int(task.split('.')[1])
            took_s = events[-1].at_s - events[-2].at_s
            longest[step] = max(longest[step], took_s)
    chains: list[float] = []
    for number, step in enumerate(line['steps']):
        own_s = longest[number] or step['estimate_ms'] / MS_PER_S
        before = [chains[it] for it in step.get('after') or ()]
        chains.append(own_s + max(before, default=0))
    return line['slack'] * max(chains) + line['objective_ms'] / MS_PER_S


def _overlap_s(
    spans: list[tuple[float, float]], wait: tuple[float, float]
) -> float:
    return sum(
        max(min(wait[1], ended) - max(wait[0], began), 0)
        for began, ended in spans
    )


def _add_wait(
    log: _Log, parts: Counter[str], wait: tuple[float, float], cause: str
) -> None:
    """Split a wait by what went on: slow store, no holder, or the cause given."""
    slow_s = _overlap_s(log.slow, wait)
    gap_s = max(_overlap_s(log.gaps, wait) - slow_s, 0)
    parts[SLOW] += slow_s
    parts[HOLDERLESS] += gap_s
    parts[cause] += max(wait[1] - wait[0] - slow_s - gap_s, 0)


def sizes_of(accounts: Iterable[Account]) -> dict[str, str]:
    """Tell for each job whether it is among the largest of its queue.

    :param accounts: the jobs.
    :returns: the size of each job, by its id.
    """
    queues: dict[int, list[Account]] = defaultdict(list)
    for account in accounts:
        queues[account.priority].append(account)
    sizes: dict[str, str] = {}
    for jobs in queues.values():
        jobs.sort(key=lambda it: it.work, reverse=True)
        for rank, account in enumerate(jobs):
            share = rank / len(jobs)
            large = 'largest' if share < LARGEST else 'next largest'
            sizes[account.job] = large if share < NEXT_LARGEST else 'others'
    return sizes


def summarize(accounts: Iterable[Account]) -> Iterator[dict[str, object]]:
    """Count jobs that were not in time by cause, queue, team and window.

    :param accounts: the jobs.
    :returns: rows for each grouping in turn, most jobs first.
    """
    accounts = list(accounts)
    sizes = sizes_of(accounts)
    late = [it for it in accounts if it.verdict != 'in time']
    views = {
        'cause': lambda it: it.cause,
        'queue and cause': lambda it: f'{it.priority} {it.cause}',
        'team': lambda it: it.team,
        'zone': lambda it: it.zone,
        'queue and size': lambda it: f'{it.priority} {sizes[it.job]}',
        'window': lambda it: int(it.asked_s // WINDOW_S * WINDOW_S),
    }
    for name, key in views.items():
        for found, jobs in Counter(map(key, late)).most_common():
            same = [it for it in late if key(it) == found]
            verdicts = Counter(it.verdict for it in same)
            yield {name: found, 'jobs': jobs, **verdicts}


def plot(accounts: list[Account], path: str) -> None:
    """Plot the jobs that were not in time, by time and cause.

    :param accounts: the jobs.
    :param path: file to which the picture is written.
    """
    from matplotlib import pyplot

    late = [it for it in accounts if it.verdict != 'in time']
    causes = sorted({it.cause for it in late})
    figure, axes = pyplot.subplots(layout='constrained')
    times = [[it.asked_s for it in late if it.cause == c] for c in causes]
    axes.hist(times, bins=20, stacked=True, label=causes)
    axes.set_xlabel('first asked for, seconds of traffic')
    axes.set_ylabel('jobs not in time')
    figure.legend(loc='outside upper center', ncols=4)
    figure.savefig(path)


def main(*logs: str, jobs: bool = False, picture: str = '') -> None:
    """Print the causes for which jobs were not in time.

    :param logs: paths of the logs of all instances.
    :param jobs: also print one line for each such job.
    :param picture: file for a plot; empty for none.
    """
    lines = (it for log in logs for it in Path(log).open(errors='replace'))
    accounts = accounts_of(read_lines(lines))
    verdicts = Counter(it.verdict for it in accounts)
    rows: list[dict[str, object]] = [{'jobs': len(accounts), **verdicts}]
    rows.extend(summarize(accounts))
    if jobs:
        rows.extend(
            {**it._asdict(), 'verdict': it.verdict, 'cause': it.cause}
            for it in accounts
            if it.verdict != 'in time'
        )
    for row in rows:
        sys.stdout.write(f'{json.dumps(row)}\n')
    if picture:
        plot(accounts, picture)


if __name__ == '__main__':
    fire.Fire(main)
