"""Choice of a runner for an attempt."""

import enum
from collections.abc import Collection, Mapping, Sequence
from random import Random
from typing import NamedTuple

import anyio

from swifthoist_core.clock import Clock
from swifthoist_core.types import InstanceId, Millis, RunnerId, ZoneId
from swifthoistd.runner_health import RunnerHealth, Verdict
from swifthoistd.runners import Runner
from swifthoistd.shares import Shares

_CAPACITY_MS = 20


class ChoiceConfig(NamedTuple):
    """Settings of the choice.

    :ivar slots: requests that a runner runs at one time.
    :ivar reserve: slots left free when this instance goes beyond its own
        part, because peers report that theirs are idle; ``slots`` or more
        means it never does.
    :ivar peer_expiry_ms: reports of peers older than this don't count.
    :ivar zone_factor: a runner of another zone is taken when the expected
        time in the own zone is this many times longer.
    """

    slots: int = 8
    reserve: int = 8
    peer_expiry_ms: Millis = 1_000
    zone_factor: float = 1.5


DEFAULT_CHOICE = ChoiceConfig()


class Scarcity(enum.Enum):
    """Why no runner could be chosen."""

    BUSY = 'busy'
    NONE = 'none'


class _Report(NamedTuple):
    heard_ms: Millis
    use: Mapping[RunnerId, int]


class Chooser:
    """The aggregate of what is in flight and how runners did of late.

    It samples two runners of the own zone and takes the one with the least
    expected time; other zones are used when those are clearly busier.
    """

    def __init__(
        self,
        zone: ZoneId,
        clock: Clock,
        shares: Shares,
        rng: Random,
        cfg: ChoiceConfig = DEFAULT_CHOICE,
    ) -> None:
        """Start without knowledge of any runner.

        :param zone: availability zone of this instance.
        :param clock: the clock.
        :param shares: this instance's part of the slots.
        :param rng: source of the samples.
        :param cfg: the settings.
        """
        self._zone = zone
        self._clock = clock
        self._shares = shares
        self._rng = rng
        self._cfg = cfg
        self._standings: dict[RunnerId, RunnerHealth] = {}
        self._in_use: dict[RunnerId, list[Slot]] = {}
        self._reports: dict[InstanceId, _Report] = {}
        self._freed = anyio.Event()
        self._capacity = 0
        self._capacity_until_ms: Millis = 0

    def capacity(self, runners: Sequence[Runner]) -> int:
        """Slots that this instance may use now.

        :param runners: the runners that may get work.
        :returns: its part of their slots, and what it may go beyond it, as
            it was a moment ago at most.
        """
        now_ms = self._clock.boot_ms()
        if now_ms >= self._capacity_until_ms:
            self._capacity = self._count_capacity(runners)
            self._capacity_until_ms = now_ms + _CAPACITY_MS
        return self._capacity

    def _count_capacity(self, runners: Sequence[Runner]) -> int:
        return sum(self._limit(runner.runner_id) for runner in runners)

    def choose(
        self,
        runners: Sequence[Runner],
        avoid: Collection[RunnerId] = (),
        *,
        trial: bool,
        usual_ms: float = 0,
    ) -> 'Slot | Scarcity':
        """Choose a runner that has a slot to spare, and take the slot.

        :param runners: the runners that may get work.
        :param avoid: ids of runners not to take.
        :param trial: whether the request may try out a runner that was set
            aside, because it may run more than once.
        :param usual_ms: usual time of the class, in ms; 0 if unknown.
        :returns: the slot, to be given back; or why there is none.
        """
        now_ms = self._clock.boot_ms()
        sound = [
            runner
            for runner in runners
            if runner.runner_id not in avoid
            and self._standing(runner).is_open(now_ms, trial)
        ]
        if not sound:
            return Scarcity.NONE
        free = [runner for runner in sound if self._has_slot(runner)]
        if not free:
            return Scarcity.BUSY
        return self._take(self._best(free), usual_ms)

    def _take(self, runner: Runner, usual_ms: float) -> 'Slot':
        now_ms = self._clock.boot_ms()
        slot = Slot(self, runner, now_ms, usual_ms)
        self._in_use.setdefault(runner.runner_id, []).append(slot)
        self._standing(runner).start(now_ms)
        return slot

    def finish(
        self, slot: 'Slot', verdict: Verdict, slowness: float | None
    ) -> None:
        """Count an attempt as over; called by its slot.

        :param slot: the slot it had.
        :param verdict: how the runner did.
        :param slowness: its time as a multiple of the usual for the class,
            if it answered.
        """
        runner = slot.runner
        self._in_use[runner.runner_id].remove(slot)
        if not self._in_use[runner.runner_id]:
            self._in_use.pop(runner.runner_id)
        now_ms = self._clock.boot_ms()
        standing = self._standing(runner)
        usual = _usual_failures(self._standings.values())
        standing.finish(verdict, now_ms, usual)
        if slowness is not None:
            standing.learn(slowness, now_ms)
        self._freed.set()
        self._freed = anyio.Event()

    async def wait_freed(self) -> None:
        """Wait until any attempt is over."""
        await self._freed.wait()

    def note_peer_use(
        self, instance: InstanceId, use: Mapping[RunnerId, int]
    ) -> None:
        """Take in what a peer has in flight.

        :param instance: id of the peer.
        :param use: its attempts in flight by runner.
        """
        self._reports[instance] = _Report(self._clock.boot_ms(), use)

    def in_flight(self) -> dict[RunnerId, int]:
        """This instance's attempts in flight by runner, for its peers."""
        return {
            runner_id: len(slots) for runner_id, slots in self._in_use.items()
        }

    def retain(self, runners: Collection[Runner]) -> None:
        """Forget runners that are gone.

        :param runners: the runners of the list.
        """
        kept = {runner.runner_id for runner in runners}
        self._standings = {
            runner_id: standing
            for runner_id, standing in self._standings.items()
            if runner_id in kept or runner_id in self._in_use
        }

    def _standing(self, runner: Runner) -> RunnerHealth:
        standing = self._standings.get(runner.runner_id)
        if standing is None or standing.incarnation != runner.incarnation:
            standing = RunnerHealth(runner.incarnation)
            self._standings[runner.runner_id] = standing
        return standing

    def _has_slot(self, runner: Runner) -> bool:
        own = len(self._in_use.get(runner.runner_id, ()))
        return own < self._limit(runner.runner_id)

    def _limit(self, runner_id: RunnerId) -> int:
        slots = self._cfg.slots
        part = self._shares.part(slots, runner_id)
        spare = slots - self._cfg.reserve
        if spare <= part:
            return part
        return max(part, spare - self._peer_use(runner_id))

    def _peer_use(self, runner_id: RunnerId) -> int:
        oldest_ms = self._clock.boot_ms() - self._cfg.peer_expiry_ms
        return sum(
            report.use.get(runner_id, 0)
            for report in self._reports.values()
            if report.heard_ms >= oldest_ms
        )

    def _best(self, free: Sequence[Runner]) -> Runner:
        near = [runner for runner in free if runner.zone == self._zone]
        far = [runner for runner in free if runner.zone != self._zone]
        if not near or not far:
            return self._sample(near or far)
        best_near = self._sample(near)
        best_far = self._sample(far)
        limit = self._expected(best_far) * self._cfg.zone_factor
        return best_near if self._expected(best_near) <= limit else best_far

    def _sample(self, runners: Sequence[Runner]) -> Runner:
        sampled = self._rng.sample(runners, min(2, len(runners)))
        return min(sampled, key=self._expected)

    def _expected(self, runner: Runner) -> float:
        now_ms = self._clock.boot_ms()
        slots = self._in_use.get(runner.runner_id, ())
        used = len(slots) + self._peer_use(runner.runner_id)
        slowness = self._standing(runner).slowness(now_ms)
        for slot in slots:
            # An attempt that still runs has taken this long at least.
            slowness = max(slowness, slot.slowness(now_ms))
        return slowness * (1 + used / self._cfg.slots)


class Slot:
    """A slot at a runner, taken for one attempt.

    :ivar runner: the runner.
    """

    def __init__(
        self,
        chooser: Chooser,
        runner: Runner,
        since_ms: Millis,
        usual_ms: float,
    ) -> None:
        """Take the slot.

        :param chooser: counts it.
        :param runner: the runner.
        :param since_ms: when it was taken, on the boot clock.
        :param usual_ms: usual time of the class, in ms; 0 if unknown.
        """
        self.runner = runner
        self._chooser = chooser
        self._since_ms = since_ms
        self._usual_ms = usual_ms
        self._taken = True

    def slowness(self, now_ms: Millis) -> float:
        """Time it has been taken as a multiple of the usual for the class.

        :param now_ms: the time on the boot clock.
        :returns: the multiple; 0 if the usual time is unknown.
        """
        if not self._usual_ms:
            return 0
        return (now_ms - self._since_ms) / self._usual_ms

    def free(
        self,
        verdict: Verdict = Verdict.NEUTRAL,
        slowness: float | None = None,
    ) -> None:
        """Give the slot back; only the first call counts.

        :param verdict: how the runner did.
        :param slowness: its time as a multiple of the usual for the class,
            if it answered.
        """
        if self._taken:
            self._taken = False
            self._chooser.finish(self, verdict, slowness)


def _usual_failures(standings: Collection[RunnerHealth]) -> float:
    # The better runners show what failures the requests bring along.
    ratios = sorted(standing.failures for standing in standings)
    return ratios[len(ratios) // 4]
