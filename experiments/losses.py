"""Breaks down the time of late jobs by cause, from the logs of the instances.

Each job is followed along the task that ended last: the time before acceptance,
the waits, and the runs by how they ended. Waits while no instance logged a start
or an end count as time without a holder.
"""

import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

import fire

from experiments.lines import Moment, read_lines
from swifthoist_engine.queueing import LATE_FACTOR

HOLDER_GAP_S = 0.8
"""Gap in the holder's log that counts as no holder, in seconds: three times the
longest pause between its decisions."""

WINDOW_S = 4.0
"""Length of the windows by which late jobs are counted, in seconds."""

UNACCEPTED = 'not accepted'
HOLDERLESS = 'no holder'
WAITING = 'no room'
WAITED_AGAIN = 'waited again'
RUNNING = 'last run'
LONGER_THAN_DECLARED = 'longer than declared'
MS_PER_S = 1_000


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
    :ivar asked_s: time of the first logged request for it, in seconds.
    :ivar took_s: seconds from then until its last task was done; None if the
        job is not done.
    :ivar objective_s: longest time that counts as in time, in seconds.
    :ivar parts: seconds by cause.
    """

    job: str
    priority: int
    team: str
    asked_s: float
    took_s: float | None
    objective_s: float
    parts: dict[str, float]

    @property
    def verdict(self) -> str:
        """Whether the job was in time, late, too late or not done."""
        if self.took_s is None:
            return 'not done'
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
        self.accepted: dict[str, Moment] = {}
        self.tasks: dict[tuple[str, str], list[Event]] = defaultdict(list)
        self.canceled: set[str] = set()
        self.gaps: list[tuple[float, float]] = []
        self._last_event_s: float | None = None

    def read(self, moments: Iterable[Moment]) -> None:
        """Collect the events of log lines."""
        for at_s, line in moments:
            match line.get('message'):
                case 'refused' | 'unknown' if line.get('method') == 'POST':
                    self.asked_s.setdefault(line['job'], at_s)
                case 'recorded' if 'steps' in line:
                    self.asked_s.setdefault(line['job'], at_s)
                    self.accepted.setdefault(line['job'], Moment(at_s, line))
                case 'recorded' if line.get('record') == 'Canceled':
                    self.canceled.add(line['job'])
                case 'start' if line.get('outcome') == 'taken':
                    self._add_event(at_s, line, 'start')
                case 'ended':
                    self._add_event(at_s, line, line['ending'])
                case 'vanished':
                    self._add_event(at_s, line, 'vanished')

    def _add_event(self, at_s: float, line: dict[str, str], what: str) -> None:
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
    :returns: one account for each accepted job that was not canceled.
    """
    log = _Log()
    log.read(moments)
    by_job: dict[str, list[list[Event]]] = defaultdict(list)
    for (job, _), steps in log.tasks.items():
        by_job[job].append(steps)
    return [
        _account(log, job, by_job[job])
        for job in log.accepted
        if job not in log.canceled
    ]


def _account(log: _Log, job: str, tasks: list[list[Event]]) -> Account:
    accepted_s, line = log.accepted[job]
    asked_s = log.asked_s[job]
    parts: Counter[str] = Counter()
    parts[UNACCEPTED] = accepted_s - asked_s
    done = [steps for steps in tasks if steps[-1].what == 'done']
    # A gang that is done logs one end for all of its members.
    ended = max(done, key=lambda steps: steps[-1].at_s, default=None)
    steps = ended or max(tasks, key=len, default=[])
    last_s = accepted_s
    began = False
    for step in steps:
        if step.what == 'start':
            _add_wait(
                log,
                parts,
                last_s,
                step.at_s,
                WAITED_AGAIN if began else WAITING,
            )
            began = True
        else:
            cause = RUNNING if step.what == 'done' else f'run {step.what}'
            parts[cause] += step.at_s - last_s
        last_s = step.at_s
    took_s = ended[-1].at_s - asked_s if ended else None
    objective_s = _objective_s(line, parts[RUNNING])
    return Account(
        job, line['priority'], line['team'], asked_s, took_s, objective_s,
        {cause: spent for cause, spent in parts.items() if spent > 0},
    )  # fmt: skip


def _objective_s(line: dict[str, object], ran_s: float) -> float:
    """Return the objective by the declared or true duration, the lower one."""
    declared = sum(it['estimate_ms'] for it in line['steps']) / MS_PER_S
    chain_s = min(declared, ran_s) if ran_s else declared
    return line['slack'] * chain_s + line['objective_ms'] / MS_PER_S


def _add_wait(
    log: _Log, parts: Counter[str], from_s: float, to_s: float, cause: str
) -> None:
    gap_s = sum(
        max(min(to_s, ended) - max(from_s, began), 0)
        for began, ended in log.gaps
    )
    parts[HOLDERLESS] += gap_s
    parts[cause] += to_s - from_s - gap_s


def summarize(accounts: Iterable[Account]) -> Iterator[dict[str, object]]:
    """Count jobs that were not in time by cause, queue, team and window.

    :param accounts: the jobs.
    :returns: rows for each grouping in turn, most jobs first.
    """
    late = [it for it in accounts if it.verdict != 'in time']
    views = {
        'cause': lambda it: it.cause,
        'queue and cause': lambda it: f'{it.priority} {it.cause}',
        'team': lambda it: it.team,
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
