"""All emulated runners: time, gangs across runners, and restarts."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from swifthoist_core.types import Millis, RackId, RunnerId
from swifthoist_emulator.checker import InvariantChecker
from swifthoist_emulator.lives import Life, TaskRun
from swifthoist_engine.model import Resources, TaskId

GangKey = tuple[str, int, int, int]

RESTART_MS = 3_000
"""How long a runner that a task has crashed is down, in ms."""


class Place(NamedTuple):
    """Location of a runner.

    :ivar address: ``host:port``.
    :ivar rack: its rack.
    :ivar zone: its zone.
    """

    address: str
    rack: RackId
    zone: str


@dataclass(slots=True)
class Host:
    """A machine that hosts a runner.

    A life of a runner lasts from its start until the machine goes down.

    :ivar name: name of the machine.
    :ivar place: its location.
    :ivar room: its capacity.
    :ivar life: current life of the runner; none while the machine is down.
    :ivar lives: number of lives so far.
    :ivar draining: the runner is registered as draining.
    :ivar drift: rate of its clock relative to true time.
    :ivar cold_until_ms: end of its slow phase, in true time since the start.
    :ivar keeps_id: every life has the same runner id.
    :ivar since_ms: true time at which the clock of its life started.
    :ivar restart_ms: true time at which its runner starts again; None if it
        is up, or stays down.
    """

    name: str
    place: Place
    room: Resources
    life: Life | None = None
    lives: int = 0
    draining: bool = False
    drift: float = 1.0
    cold_until_ms: Millis = 0
    keeps_id: bool = False
    since_ms: Millis = 0
    restart_ms: Millis | None = None

    @property
    def runner(self) -> RunnerId:
        """Id of the current life of the runner, or of the last one."""
        if self.keeps_id:
            return self.name
        return f'{self.name}-{self.lives}'


@dataclass(slots=True)
class Fleet:
    """All hosts.

    :ivar checker: records what the runners do.
    :ivar hosts: the hosts by address.
    :ivar began_ms: wall time at which true time started.
    :ivar now_ms: true time since the start.
    :ivar silent_crashes: tasks take whole machines down, so that connections
        are not refused but get no answer.
    """

    checker: InvariantChecker
    hosts: dict[str, Host] = field(default_factory=dict)
    began_ms: Millis = 0
    now_ms: Millis = 0
    silent_crashes: bool = False

    def add(self, host: Host) -> None:
        """Add a host and start its runner.

        :param host: the host.
        """
        self.hosts[host.place.address] = host
        self.revive(host)

    def revive(self, host: Host) -> None:
        """Start a new life of the runner on a host.

        :param host: a host that is down.
        """
        host.lives += 1
        host.draining = False
        host.restart_ms = None
        host.life = Life(host.runner, host.room, self.checker)
        if host.keeps_id:
            host.since_ms = self.now_ms
            # Adding the number keeps start times distinct, even of lives that
            # start at the same moment.
            host.life.born_ms = self.began_ms + self.now_ms + host.lives

    def kill(self, host: Host) -> None:
        """Crash a runner: its runs are lost, and the gangs they belong to end.

        :param host: the host.
        """
        if host.life is None:
            return
        gangs = {_gang_key(run) for run in _gang_runs([host]) if run.present}
        host.life.crash()
        host.life = None
        others = list(self.hosts.values())
        orphaned = [
            it.task for it in _gang_runs(others) if _gang_key(it) in gangs
        ]
        for other in others:
            _break_tasks(other, orphaned)

    def resize(self, host: Host, room: Resources) -> None:
        """Change the capacity of a runner while it runs.

        :param host: the host.
        :param room: the new capacity.
        """
        host.room = room
        if host.life is not None:
            host.life.resize(room)

    def crash(self, host: Host) -> None:
        """Crash the process of a runner, which starts again after a while.

        Until then its connections are refused, while a host that is killed
        does not answer.

        :param host: the host.
        """
        if host.life is not None:
            host.life.reset = True
            self._kill_for_a_while(host)

    def advance(self, now_ms: Millis) -> None:
        """Advance the time of all runners.

        :param now_ms: true time since the start.
        """
        self.now_ms = now_ms
        self.checker.now_ms = now_ms
        self._restart_crashed()
        lives = [host for host in self.hosts.values() if host.life]
        gangs = self._gangs(lives)
        for host in lives:
            if host.life is not None:
                host.life.cold = now_ms < host.cold_until_ms
                passed_ms = now_ms - host.since_ms
                host.life.advance(int(passed_ms * host.drift))
        self._break_gangs(gangs, lives)
        self._join_gangs(lives)
        self._crash_by_tasks(lives)

    def _crash_by_tasks(self, hosts: Iterable[Host]) -> None:
        for host in hosts:
            task = host.life.crashing_task() if host.life else None
            if task is not None:
                self.checker.note_crashed_by(task)
                if self.silent_crashes:
                    self._kill_for_a_while(host)
                else:
                    self.crash(host)

    def _kill_for_a_while(self, host: Host) -> None:
        self.kill(host)
        host.restart_ms = self.now_ms + RESTART_MS

    def _restart_crashed(self) -> None:
        for host in self.hosts.values():
            due_ms = host.restart_ms
            if due_ms is not None and self.now_ms >= due_ms:
                self.revive(host)

    def _gangs(self, hosts: Iterable[Host]) -> dict[GangKey, set[TaskId]]:
        gangs: dict[GangKey, set[TaskId]] = defaultdict(set)
        for run in _gang_runs(hosts):
            if run.present:
                gangs[_gang_key(run)].add(run.task)
        return gangs

    def _break_gangs(
        self, gangs: dict[GangKey, set[TaskId]], hosts: Iterable[Host]
    ) -> None:
        """End the rest of each gang that lost a member without being done."""
        running = list(hosts)
        remaining = frozenset(item.task for item in _gang_runs(running))
        for tasks in gangs.values():
            present = tasks & remaining
            done = tasks & self.checker.done[next(iter(tasks)).job]
            if done or tasks == present:
                continue
            for host in running:
                _break_tasks(host, present)

    def _join_gangs(self, hosts: Iterable[Host]) -> None:
        members: dict[GangKey, list[TaskRun]] = defaultdict(list)
        for run in _gang_runs(hosts):
            members[_gang_key(run)].append(run)
        for runs in members.values():
            whole = len(runs) >= runs[0].work.gang
            worked_ms = max(member.worked_ms for member in runs)
            for run in runs:
                run.present = run.present or whole
                if run.present:
                    run.worked_ms = worked_ms


def _gang_runs(hosts: Iterable[Host]) -> list[TaskRun]:
    return [
        run
        for host in hosts
        if host.life is not None
        for run in host.life.runs.values()
        if run.work.gang
    ]


def _gang_key(run: TaskRun) -> GangKey:
    return (*run.task[:3], run.run)


def _break_tasks(host: Host, tasks: Iterable[TaskId]) -> None:
    for task in tasks:
        if host.life is not None:
            host.life.break_run(task)
