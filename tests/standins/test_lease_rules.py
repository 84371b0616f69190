"""Rules of the lease table that hold under any order of commands."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from swifthoist_core.clock import ManualClock
from swifthoist_core.errors import WorkerRefusedError
from swifthoist_platform.workers import (
    CheckpointOrder,
    HoldOrder,
    PartKey,
    RenewOrder,
    StartOrder,
    StopOrder,
)
from swifthoist_standins.leases import LeaseTable
from swifthoist_standins.places import Capacity

LIVE = frozenset(('held', 'running', 'checkpointed'))
RUNNING = frozenset(('running', 'checkpointed'))
ACCELERATORS = 4

KEYS = st.builds(
    PartKey, st.sampled_from('abcdefgh'), st.integers(1, 2), st.just(0)
)
RECENT = st.sampled_from((0, 0, 0, 1, 1, 2, 3))
SHIFTS = st.sampled_from((0, 0, 0, 0, 0, 0, 0, 0, 1, -1))
LEASES = st.sampled_from((7, 14, 30, 60))
STEPS = st.sampled_from(('run_ms=900', 'run_ms=900', 'run_ms=10 fail=1'))


class LeaseRules(RuleBasedStateMachine):
    """Commands of several holders, some of them old, late or repeated."""

    fence_limit = 16

    def __init__(self) -> None:
        """Start with an empty table and an empty model."""
        super().__init__()
        self.clock = ManualClock()
        self.table = LeaseTable(
            Capacity(ACCELERATORS, 64, 4096), self.clock, self.fence_limit
        )
        self.newest_epoch = 0
        self.offset = 10
        self.held: dict[PartKey, HoldOrder] = {}
        self.deadlines: dict[PartKey, int] = {}
        self.ended: set[PartKey] = set()
        self.asked = [PartKey('a', 1, 0)]

    def give(self, act, order) -> bool:
        """Give an order; whether it was obeyed."""
        try:
            act(order)
        except WorkerRefusedError:
            return False
        assert order.epoch >= self.newest_epoch, 'an old epoch was obeyed'
        return True

    def pick_epoch(self, shift: int) -> int:
        """An epoch near the newest one."""
        return max(1, self.newest_epoch + shift)

    def hold_offset(self, _: PartKey, shift: int) -> int:
        """Offset of a hold."""
        return self.pick_offset(shift)

    def stop_offset(self, _: PartKey, shift: int) -> int:
        """Offset of a stop."""
        return self.pick_offset(shift)

    def pick_key(self, recent: int) -> PartKey:
        """One of the parts that were asked for last."""
        return self.asked[-1 - recent % len(self.asked)]

    def pick_offset(self, shift: int) -> int:
        """An offset near the newest one."""
        self.offset += max(shift, 0)
        return self.offset + min(shift, 0)

    def states(self):
        """State of each part that is reported."""
        return {part.key: part.state for part in self.table.states()}

    @rule(
        key=KEYS,
        epoch_shift=SHIFTS,
        offset_shift=SHIFTS,
        first=st.sampled_from((0, 2)),
        accelerators=st.sampled_from((0, 2, 3)),
        lease_ms=LEASES,
        steps=STEPS,
    )
    def hold(
        self,
        key,
        epoch_shift,
        offset_shift,
        first,
        accelerators,
        lease_ms,
        steps,
    ) -> None:
        """Hold a place."""
        self.asked.append(key)
        epoch = self.pick_epoch(epoch_shift)
        offset = self.hold_offset(key, offset_shift)
        order = HoldOrder(
            epoch, offset, *key, 't', 'c', first, accelerators, 1, 1,
            lease_ms, steps,
        )  # fmt: skip
        was_live = self.states().get(key) in LIVE
        if self.give(self.table.hold, order) and not was_live:
            assert key not in self.ended, 'an ended part was held again'
            self.held[key] = order
            self.deadlines[key] = self.clock.now_ms + lease_ms
        self.note_epoch(epoch)

    @rule(
        recent=RECENT, epoch_shift=SHIFTS, offset_shift=SHIFTS, lease_ms=LEASES
    )
    def start(self, recent, epoch_shift, offset_shift, lease_ms) -> None:
        """Start a part."""
        key = self.pick_key(recent)
        epoch = self.pick_epoch(epoch_shift)
        offset = self.pick_offset(offset_shift)
        before = self.states().get(key)
        order = StartOrder(epoch, offset, *key, lease_ms)
        if self.give(self.table.start, order) and before == 'held':
            self.deadlines[key] = self.clock.now_ms + lease_ms
        self.note_epoch(epoch)

    @rule(key=KEYS, first=st.sampled_from((0, 2)), lease_ms=LEASES)
    def run(self, key, first, lease_ms) -> None:
        """Hold a place and start its part, as a careful holder does."""
        self.hold(key, 0, 1, first, 2, lease_ms, 'run_ms=900')
        self.start(0, 0, 0, lease_ms)

    @rule(recent=RECENT, epoch_shift=SHIFTS, offset_shift=SHIFTS)
    def stop(self, recent, epoch_shift, offset_shift) -> None:
        """Stop a part."""
        key = self.pick_key(recent)
        epoch = self.pick_epoch(epoch_shift)
        offset = self.stop_offset(key, offset_shift)
        order = StopOrder(epoch, offset, *key)
        if self.give(self.table.stop, order):
            self.ended.add(key)
            assert self.states().get(key) not in LIVE, 'a stop was ignored'
        self.note_epoch(epoch)

    @rule(recent=RECENT, epoch_shift=SHIFTS, offset_shift=SHIFTS)
    def checkpoint(self, recent, epoch_shift, offset_shift) -> None:
        """Checkpoint a part."""
        key = self.pick_key(recent)
        epoch = self.pick_epoch(epoch_shift)
        offset = self.pick_offset(offset_shift)
        order = CheckpointOrder(epoch, offset, *key)
        self.give(self.table.checkpoint, order)
        self.note_epoch(epoch)

    @rule(
        epoch_shift=SHIFTS,
        leases=st.lists(RECENT, min_size=1, max_size=3),
        forget=st.lists(RECENT, max_size=1),
        lease_ms=LEASES,
    )
    def renew(self, epoch_shift, leases, forget, lease_ms) -> None:
        """Renew leases and forget parts."""
        epoch = self.pick_epoch(epoch_shift)
        before = self.states()
        keys = tuple(map(self.pick_key, leases))
        gone = tuple(map(self.pick_key, forget))
        renewal = RenewOrder(epoch, keys, lease_ms, gone)
        if self.give(self.table.renew, renewal):
            until_ms = self.clock.now_ms + lease_ms
            for key in keys:
                if before.get(key) in RUNNING:
                    longest_ms = max(self.deadlines[key], until_ms)
                    self.deadlines[key] = longest_ms
        self.note_epoch(epoch)

    @rule(by_ms=st.sampled_from((1, 7, 7, 14, 30, 30, 70_000)))
    def advance(self, by_ms) -> None:
        """Let time pass, as when the worker was suspended."""
        self.clock.advance(by_ms)

    def note_epoch(self, epoch) -> None:
        """Any order shows its epoch to the worker, obeyed or not."""
        assert self.table.epoch >= self.newest_epoch, 'the epoch went back'
        self.newest_epoch = max(self.newest_epoch, epoch)

    @invariant()
    def check_epoch(self) -> None:
        """The worker has the newest epoch that anybody showed it."""
        assert self.table.epoch == self.newest_epoch

    @invariant()
    def check_revival(self) -> None:
        """What has ended stays so, and ran at most once."""
        for key, state in self.states().items():
            if state in LIVE:
                assert key not in self.ended, 'an ended part is live again'
            else:
                self.ended.add(key)
        ran = [part.key for part in self.table.runs()]
        assert len(ran) == len(set(ran)), 'a part ran twice'

    @invariant()
    def check_leases(self) -> None:
        """No part holds or runs at or beyond the end of its lease."""
        for key, state in self.states().items():
            if state in LIVE:
                assert self.clock.now_ms < self.deadlines[key]
        for part in self.table.runs():
            assert part.ended_ms <= self.deadlines[part.key]

    @invariant()
    def check_overlap(self) -> None:
        """No accelerator is held twice."""
        taken: set[int] = set()
        for key, state in self.states().items():
            if state in LIVE:
                order = self.held[key]
                place = range(order.first, order.first + order.accelerators)
                assert taken.isdisjoint(place), 'an accelerator is held twice'
                taken.update(place)


class ShortMemoryRules(LeaseRules):
    """The same, where the worker forgets most jobs.

    Here a part is placed once, by one record, and stopped by a later one.
    """

    fence_limit = 2

    def __init__(self) -> None:
        """Start without a placement."""
        super().__init__()
        self.placed: dict[PartKey, int] = {}

    def hold_offset(self, key: PartKey, _: int) -> int:
        """Offset of the record that placed the part, always the same."""
        if key not in self.placed:
            self.placed[key] = self.pick_offset(1)
        return self.placed[key]

    def stop_offset(self, key: PartKey, shift: int) -> int:
        """An offset that is not older than the placement."""
        return max(self.hold_offset(key, 0), self.pick_offset(shift))


LeaseRulesTest = LeaseRules.TestCase
ShortMemoryTest = ShortMemoryRules.TestCase
LeaseRulesTest.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=100,
    stateful_step_count=40,
)
ShortMemoryTest.settings = LeaseRulesTest.settings
