"""Tests of snapshots of a state that can't be encoded as a whole."""

import unittest

from swifthoist_engine.account import LineKey, UsageTotals
from swifthoist_engine.model import UnitId
from swifthoist_engine.snapshots import (
    HEAD_KEY,
    Restored,
    Snapshot,
    encode_head,
    restore,
    take_snapshot,
)
from tests.engine.scenes import BATCH, Scene, job_spec, task

CHUNK_BYTES = 100_000
TOO_LARGE = 2**64
KEY = LineKey('2026-12', 'red', 'batch')
OTHER_KEY = KEY._replace(team='blue')


def _take(scene: Scene) -> Snapshot:
    return take_snapshot(scene.cell.state, 0, 0, CHUNK_BYTES)


def _restore(snapshot: Snapshot) -> Restored:
    head = encode_head(snapshot.head)
    restored = restore({**snapshot.chunks, HEAD_KEY: head})
    assert restored is not None
    return restored


class StorableTest(unittest.TestCase):
    """What can't be encoded takes nothing with it that was promised."""

    def setUp(self) -> None:
        """Start a job."""
        self.scene = Scene(job_spec('j', BATCH, task(count=3)))
        self.scene.start(UnitId('j', 0, 0, 1), 'r')
        account = self.scene.cell.state.account
        self.lines = account.lines

    def test_a_total_that_can_not_be_stored_costs_no_job(self) -> None:
        """No snapshot was taken then, so that the log forgot the jobs."""
        self.lines[KEY] = UsageTotals(vain=TOO_LARGE, tardy=7)
        self.lines[OTHER_KEY] = UsageTotals(runs={'done': TOO_LARGE}, vain=2)
        snapshot = _take(self.scene)
        state = _restore(snapshot).state
        self.assertEqual(state.jobs, self.scene.cell.state.jobs)
        self.assertEqual(state.account.lines[KEY], UsageTotals(tardy=7))
        self.assertEqual(state.account.lines[OTHER_KEY], UsageTotals(vain=2))
        self.assertEqual(len(snapshot.left_out), 2)
        self.assertIn('vain', snapshot.left_out[0])

    def test_a_key_that_can_not_be_stored_is_left_out(self) -> None:
        """Its entry goes with it."""
        experience = self.scene.cell.state.experience
        experience.belated = {'r': TOO_LARGE, 's': 1}
        experience.speeds.factors = {TOO_LARGE: 1.0, 2: 1.5}
        found = _restore(_take(self.scene)).state.experience
        self.assertEqual(found.belated, {'s': 1})
        self.assertEqual(found.speeds.factors, {2: 1.5})

    def test_a_job_is_never_left_out(self) -> None:
        """A newcomer would say that it does not exist, while others have it."""
        self.scene.job().finished_ms = TOO_LARGE
        with self.assertRaises(OverflowError):
            _take(self.scene)

    def test_a_sound_state_is_stored_as_it_is(self) -> None:
        """Nothing is left out, and the state itself is not changed."""
        snapshot = _take(self.scene)
        self.assertEqual(snapshot.left_out, ())
        self.assertEqual(_restore(snapshot).state, self.scene.cell.state)
