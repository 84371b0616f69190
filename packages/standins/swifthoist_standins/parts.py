"""One part of a gang at a worker, with its lease and its progress."""

from typing import NamedTuple

from swifthoist_core.errors import Finding, raise_findings
from swifthoist_core.types import Millis
from swifthoist_platform.orders import (
    HoldOrder,
    PartKey,
    PartState,
    State,
    UsageReport,
)

FULL_SPEED = 100
"""Speed of a part that is not throttled, in percent."""

_LIVE = frozenset(('held', 'running', 'checkpointed'))
_RUNNING = frozenset(('running', 'checkpointed'))


class Steps(NamedTuple):
    """What a part does, such as ``run_ms=300 fail=1 checkpoint=0``.

    :ivar run_ms: how long it runs at full speed, in ms.
    :ivar fail: 1 to fail at the end, else 0.
    :ivar checkpoint: 0 if it cannot save its progress, else 1.
    """

    run_ms: Millis = 1000
    fail: int = 0
    checkpoint: int = 1


def parse_steps(text: str) -> Steps:
    """Read the steps of a part.

    :param text: words ``name=number``; other words are passed over, for
        they are a command that the stand-in does not run.
    :returns: the steps.
    :raises InvalidInputError: when a known name has no number.
    """
    named = dict(word.split('=', 1) for word in text.split() if '=' in word)
    known = {name: named[name] for name in Steps._fields if name in named}
    findings = [
        Finding(name, 'must be a number')
        for name, number in known.items()
        if not number.isdecimal()
    ]
    raise_findings('steps', findings)
    return Steps()._replace(**{name: int(known[name]) for name in known})


class Part:
    """A part from its hold to its end; time is by the worker's boot clock.

    :ivar order: the order that held its place.
    :ivar steps: what it does.
    :ivar state: its state.
    :ivar deadline_ms: when its lease ends.
    :ivar started_ms: when it started, 0 if it has not.
    :ivar ended_ms: when it ended, 0 if it has not.
    :ivar reason: why it ended, empty for ``done``.
    """

    def __init__(
        self, order: HoldOrder, steps: Steps, now_ms: Millis, skew_ms: Millis
    ) -> None:
        """Hold the place.

        :param order: the order.
        :param steps: what the part does once it is started.
        :param now_ms: time of now.
        :param skew_ms: what to add to the boot clock for wall time.
        """
        self.order = order
        self.steps = steps
        self.state: State = 'held'
        self.deadline_ms = now_ms + order.lease_ms
        self.started_ms: Millis = 0
        self.ended_ms: Millis = 0
        self.reason = ''
        self._skew_ms = skew_ms
        self._speed = FULL_SPEED
        self._work_left = steps.run_ms * FULL_SPEED
        self._work_since: Millis = 0

    @property
    def key(self) -> PartKey:
        """Which part this is."""
        order = self.order
        return PartKey(order.job_id, order.attempt, order.part)

    @property
    def is_live(self) -> bool:
        """Whether it holds its place."""
        return self.state in _LIVE

    @property
    def is_running(self) -> bool:
        """Whether it runs."""
        return self.state in _RUNNING

    def start(self, now_ms: Millis, lease_ms: Millis) -> None:
        """Run.

        :param now_ms: time of now.
        :param lease_ms: how long the lease lasts.
        """
        self.state = 'running'
        self.started_ms = now_ms
        self.deadline_ms = now_ms + lease_ms
        self._work_since = now_ms

    def checkpoint(self) -> None:
        """Save the progress and run on."""
        self.state = 'checkpointed'

    def throttle(self, now_ms: Millis, percent: int) -> None:
        """Run at another speed.

        :param now_ms: time of now.
        :param percent: speed, 1 to 100.
        """
        self._work_left -= (now_ms - self._work_since) * self._speed
        self._work_since = now_ms
        self._speed = percent

    def renew(self, now_ms: Millis, lease_ms: Millis) -> None:
        """Extend the lease; it is never shortened.

        :param now_ms: time of now.
        :param lease_ms: how long the lease lasts from now.
        """
        self.deadline_ms = max(self.deadline_ms, now_ms + lease_ms)

    def settle(self, now_ms: Millis) -> None:
        """End at the time at which the work or the lease was over.

        :param now_ms: time of now.
        """
        if not self.is_live:
            return
        finish_ms = self._finish_ms()
        if finish_ms is not None and finish_ms <= min(now_ms, self.deadline_ms):
            self._finish(finish_ms)
        elif now_ms >= self.deadline_ms:
            self.end('lapsed', self.deadline_ms, 'lease lapsed')

    def end(self, state: State, now_ms: Millis, reason: str) -> None:
        """End, and give up the place.

        :param state: the last state.
        :param now_ms: time of the end.
        :param reason: why.
        """
        self.state = state
        self.ended_ms = now_ms
        self.reason = reason

    def snapshot(self) -> PartState:
        """Describe the part for the holder of the cell."""
        return PartState(
            *self.key,
            self.state,
            self.order.accelerators,
            self._wall_ms(self.started_ms),
            self._wall_ms(self.ended_ms),
            self.reason,
        )

    def report(self, lag_ms: Millis) -> UsageReport:
        """Describe what the part has used.

        :param lag_ms: how long after its end the report comes out.
        :returns: the report.
        """
        ended_ms = self._wall_ms(self.ended_ms)
        return UsageReport(
            *self.key,
            self.order.owner,
            self.order.class_name,
            self.order.accelerators,
            self._wall_ms(self.started_ms),
            ended_ms,
            ended_ms + lag_ms,
        )

    def _wall_ms(self, boot_ms: Millis) -> Millis:
        return boot_ms and boot_ms + self._skew_ms

    def _finish_ms(self) -> Millis | None:
        if not self.is_running:
            return None
        rounded_up = self._work_left + self._speed - 1
        return self._work_since + rounded_up // self._speed

    def _finish(self, now_ms: Millis) -> None:
        if self.steps.fail:
            self.end('failed', now_ms, 'task failed')
        else:
            self.end('done', now_ms, '')
