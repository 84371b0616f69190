"""The table of runners, fed from the lagging list and from fresher hints."""

import enum
from collections.abc import Iterable
from typing import NamedTuple

from swifthoist_core.clock import Clock
from swifthoist_core.types import Millis, RunnerId, ZoneId

_FORGET_MS = 3_600_000


class RunnerState(enum.StrEnum):
    """What the list of instances says of a runner."""

    LIVE = 'live'
    LEAVING = 'leaving'


class ListedRunner(NamedTuple):
    """One item of the platform's list of instances.

    :ivar instance_id: id of the runner.
    :ivar address: ``host:port`` of its HTTP server.
    :ivar zone: its availability zone.
    :ivar state: live or leaving.
    :ivar incarnation: start of this life; greater is newer.
    :ivar service: the service that it answers for.
    """

    instance_id: RunnerId
    address: str
    zone: ZoneId
    state: RunnerState
    incarnation: int
    service: str


class Runner(NamedTuple):
    """A runner that may be given work.

    :ivar runner_id: id of the runner.
    :ivar address: ``host:port`` of its HTTP server.
    :ivar zone: its availability zone.
    :ivar incarnation: start of this life; greater is newer.
    :ivar service: the service that it answers for.
    """

    runner_id: RunnerId
    address: str
    zone: ZoneId
    incarnation: int
    service: str


class _Sighting(NamedTuple):
    incarnation: int
    noted_ms: Millis


class Runners:
    """The aggregate of all runners that the list names.

    The list lags and an old copy of it may arrive after a newer one.  For
    one incarnation, leaving therefore wins over live for good, and an item
    about an older incarnation than one already seen is passed over.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with no runner.

        :param clock: tells how long departures have been remembered.
        """
        self._clock = clock
        self._listed: dict[RunnerId, Runner] = {}
        self._newest: dict[RunnerId, _Sighting] = {}
        self._departed: dict[RunnerId, _Sighting] = {}

    def replace(self, items: Iterable[ListedRunner]) -> None:
        """Take in a copy of the list.

        :param items: every item of the copy.
        """
        self._forget()
        listed: dict[RunnerId, Runner] = {}
        for item in items:
            if self._is_outdated(item.instance_id, item.incarnation):
                continue
            if item.state is RunnerState.LEAVING:
                self.note_leaving(item.instance_id, item.incarnation)
            self._see(item.instance_id, item.incarnation)
            listed[item.instance_id] = Runner(
                item.instance_id,
                item.address,
                item.zone,
                item.incarnation,
                item.service,
            )
        self._listed = listed

    def note_leaving(self, runner: RunnerId, incarnation: int) -> None:
        """Remember that a runner said, or a peer heard, that it leaves.

        :param runner: id of the runner.
        :param incarnation: the life that ends.
        """
        before = self._departed.get(runner)
        if before is not None and before.incarnation > incarnation:
            return
        now_ms = self._clock.boot_ms()
        self._departed[runner] = _Sighting(incarnation, now_ms)

    def is_leaving(self, runner: Runner) -> bool:
        """Tell whether a runner may get no new work.

        :param runner: the runner, in one of its lives.
        :returns: ``True`` when that life is known to end.
        """
        departure = self._departed.get(runner.runner_id)
        return departure is not None and (
            runner.incarnation <= departure.incarnation
        )

    def serving(self, service: str) -> tuple[Runner, ...]:
        """Runners that may get new work.

        :param service: the service asked for.
        :returns: its runners that are not known to leave.
        """
        return tuple(
            runner for runner in self.available() if runner.service == service
        )

    def available(self) -> tuple[Runner, ...]:
        """Runners of every service that may get new work."""
        return tuple(
            runner
            for runner in self._listed.values()
            if not self.is_leaving(runner)
        )

    def listed(self) -> tuple[Runner, ...]:
        """Every runner of the list, leaving ones included."""
        return tuple(self._listed.values())

    def departed(self) -> dict[RunnerId, int]:
        """Incarnation up to which each runner leaves, for gossip."""
        return {
            runner: departure.incarnation
            for runner, departure in self._departed.items()
        }

    def _is_outdated(self, runner: RunnerId, incarnation: int) -> bool:
        seen = self._newest.get(runner)
        return seen is not None and incarnation < seen.incarnation

    def _see(self, runner: RunnerId, incarnation: int) -> None:
        now_ms = self._clock.boot_ms()
        self._newest[runner] = _Sighting(incarnation, now_ms)

    def _forget(self) -> None:
        # Ids of runners long gone must not fill the memory.
        limit_ms = self._clock.boot_ms() - _FORGET_MS
        self._newest = {
            runner: seen
            for runner, seen in self._newest.items()
            if seen.noted_ms > limit_ms
        }
        self._departed = {
            runner: departure
            for runner, departure in self._departed.items()
            if departure.noted_ms > limit_ms or runner in self._listed
        }
