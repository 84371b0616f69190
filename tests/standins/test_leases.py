"""Tests of the lease table of a worker."""

import unittest

from swifthoist_core.clock import ManualClock
from swifthoist_core.errors import WorkerRefusedError
from swifthoist_platform.workers import (
    HoldOrder,
    PartKey,
    RenewOrder,
    StartOrder,
    StopOrder,
    ThrottleOrder,
)
from swifthoist_standins.leases import REPORT_MS, LeaseTable
from swifthoist_standins.places import LONGEST_LEASE_MS, Capacity

LEASE_MS = 500
HOLD = HoldOrder(
    1, 10, 'job', 1, 0, 'team', 'sort', 0, 4, 1, 64, LEASE_MS, 'run_ms=9000'
)
START = StartOrder(1, 10, 'job', 1, 0, LEASE_MS)
STOP = StopOrder(1, 11, 'job', 1, 0, 'cancelled')
KEY = PartKey('job', 1, 0)
RENEW = RenewOrder(1, (KEY,), LEASE_MS)


class LeaseTest(unittest.TestCase):
    """Base: a worker with eight accelerators on a clock set by hand."""

    def setUp(self) -> None:
        """Make an empty table."""
        self.clock = ManualClock()
        self.table = LeaseTable(Capacity(8, 64, 4096), self.clock, 8)

    def start(self) -> None:
        """Hold the part and start it."""
        self.table.hold(HOLD)
        self.table.start(START)

    def state(self, key: PartKey = KEY) -> str:
        """State of a part."""
        states = {part.key: part.state for part in self.table.states()}
        return states.get(key, 'unknown')

    def assert_refused(self, reason: str, act, order) -> None:
        """Check that an order is refused for a reason."""
        with self.assertRaises(WorkerRefusedError) as caught:
            act(order)
        self.assertEqual(caught.exception.reason, reason)


class FenceTest(LeaseTest):
    """Orders of the past are refused."""

    def test_an_older_epoch_is_refused_whatever_the_order(self):
        """A renewal by a newer holder fences the older one out."""
        self.start()
        self.table.renew(RENEW._replace(epoch=2))
        self.assert_refused('stale epoch', self.table.renew, RENEW)
        self.assert_refused('stale epoch', self.table.stop, STOP)
        other = HOLD._replace(job_id='other', first=4)
        self.assert_refused('stale epoch', self.table.hold, other)
        self.assertEqual(self.state(), 'running')

    def test_a_refused_order_shows_its_epoch_too(self):
        """A lease that is too long does not hide the newer holder."""
        endless = RENEW._replace(epoch=2, lease_ms=LONGEST_LEASE_MS + 1)
        self.assert_refused('malformed lease', self.table.renew, endless)
        self.assert_refused('stale epoch', self.table.renew, RENEW)

    def test_an_older_offset_for_the_same_job_is_refused(self):
        """A late order does not undo a newer one."""
        self.start()
        late = STOP._replace(offset=9)
        self.assert_refused('stale offset', self.table.stop, late)
        self.assertEqual(self.state(), 'running')

    def test_a_stopped_part_is_not_revived(self):
        """Neither start, hold nor renewal brings it back."""
        self.start()
        self.table.stop(STOP)
        hold = HOLD._replace(offset=12)
        start = START._replace(offset=12)
        self.assert_refused('ended', self.table.hold, hold)
        self.assert_refused('ended', self.table.start, start)
        self.table.renew(RENEW)
        self.assertEqual(self.state(), 'stopped')

    def test_a_stop_that_overtakes_the_hold_keeps_it_out(self):
        """The worker remembers the stop of a part it never saw."""
        self.table.stop(STOP)
        hold = HOLD._replace(offset=12)
        self.assert_refused('ended', self.table.hold, hold)
        self.assertEqual(self.state(), 'unknown')

    def test_a_forgotten_part_stays_ended(self):
        """Acknowledging the end does not let an old order in."""
        self.start()
        self.table.stop(STOP)
        self.table.renew(RenewOrder(1, (), LEASE_MS, (KEY,)))
        self.assertEqual(self.state(), 'unknown')
        hold = HOLD._replace(offset=12)
        self.assert_refused('ended', self.table.hold, hold)

    def test_old_orders_stay_refused_beyond_the_memory_of_jobs(self):
        """More stopped jobs than are remembered let nothing old in."""
        for number in range(20):
            offset = 60 - number
            stop = STOP._replace(job_id=f'job-{number}', offset=offset)
            self.table.stop(stop)
        old = HOLD._replace(job_id='job-0', offset=60)
        self.assert_refused('stale offset', self.table.hold, old)
        self.table.hold(HOLD._replace(job_id='new', offset=61))

    def test_a_newer_attempt_ends_the_older_one(self):
        """Two attempts of a job never run side by side."""
        self.start()
        newer = HOLD._replace(attempt=2, offset=20, first=4)
        self.table.hold(newer)
        self.assertEqual(self.state(), 'stopped')
        self.assert_refused('stale attempt', self.table.start, START)


class PlaceTest(LeaseTest):
    """A place is held once."""

    def test_a_hold_on_busy_accelerators_is_refused(self):
        """One accelerator in common is enough."""
        self.table.hold(HOLD)
        other = HOLD._replace(job_id='other', first=3)
        self.assert_refused('busy', self.table.hold, other)
        self.table.hold(other._replace(first=4))

    def test_memory_is_not_given_twice(self):
        """Parts without accelerators still need room."""
        big = HOLD._replace(accelerators=0, memory_mib=3000)
        self.table.hold(big)
        other = big._replace(job_id='other')
        self.assert_refused('busy', self.table.hold, other)

    def test_accelerators_beyond_the_worker_are_refused(self):
        """A place must exist."""
        wide = HOLD._replace(first=6)
        self.assert_refused('no such accelerators', self.table.hold, wide)


class TimeTest(LeaseTest):
    """Leases end by the clock, whoever is awake."""

    def test_a_hold_lapses_unless_it_is_started(self):
        """Neither a repeated hold nor a renewal extends it."""
        self.table.hold(HOLD)
        self.clock.advance(LEASE_MS - 1)
        self.table.hold(HOLD)
        self.table.renew(RENEW)
        self.assertEqual(self.state(), 'held')
        self.clock.advance(1)
        self.assertEqual(self.state(), 'lapsed')
        self.assert_refused('ended', self.table.start, START)

    def test_a_running_part_lapses_unless_it_is_renewed(self):
        """It ends when its lease does, not when that is noticed."""
        self.start()
        self.clock.advance(LEASE_MS - 1)
        self.table.renew(RENEW)
        self.clock.advance(LEASE_MS - 1)
        self.assertEqual(self.state(), 'running')
        self.clock.advance(REPORT_MS // 2)
        lapsed = self.table.renew(RENEW)[0]
        self.assertEqual(lapsed.state, 'lapsed')
        ran_ms = lapsed.stopped_ms - lapsed.started_ms
        self.assertEqual(ran_ms, LEASE_MS - 1 + LEASE_MS)

    def test_a_repeated_start_changes_nothing(self):
        """Also once the part has finished; the lease is not extended."""
        self.table.hold(HOLD._replace(steps='run_ms=400'))
        self.table.start(START)
        self.clock.advance(300)
        self.table.start(START)
        self.clock.advance(100)
        self.table.start(START)
        self.assertEqual(self.state(), 'done')
        self.assertEqual(len(self.table.runs()), 1)

    def test_a_throttled_part_takes_longer(self):
        """Half the speed doubles the time that is left."""
        self.table.hold(HOLD._replace(steps='run_ms=200'))
        self.table.start(START)
        self.clock.advance(100)
        self.table.throttle(ThrottleOrder(1, 10, 'job', 1, 0, 50))
        self.clock.advance(199)
        self.assertEqual(self.state(), 'running')
        self.clock.advance(1)
        self.assertEqual(self.state(), 'done')

    def test_an_ended_part_is_reported_for_a_minute(self):
        """Then the worker drops it."""
        self.start()
        self.table.stop(STOP)
        self.clock.advance(REPORT_MS - 1)
        self.assertEqual(self.state(), 'stopped')
        self.clock.advance(1)
        self.assertEqual(self.state(), 'unknown')

    def test_usage_comes_out_with_its_lag(self):
        """And then once for each part that ran."""
        self.start()
        self.table.stop(STOP)
        self.clock.advance(999)
        self.assertEqual(self.table.usage(0, 1000), ())
        self.clock.advance(1)
        reports = self.table.usage(0, 1000)
        self.assertEqual([report.job_id for report in reports], ['job'])
