"""Tests of which runs count as present on a runner."""

import unittest

from swifthoist_engine.model import TaskId
from swifthoist_instance.presence import Presence

KEY = (TaskId('j', 0, 0, 0), 1)


class PresenceTest(unittest.TestCase):
    """A run is there from a confirmed start until a look without it."""

    def setUp(self) -> None:
        """Confirm a start."""
        self.presence = Presence()
        self.presence.note_started(KEY, 100)

    def test_a_look_that_was_under_way_does_not_disprove_a_start(self) -> None:
        """It may have been answered before the start arrived."""
        self.presence.note_look(set(), 99)
        self.assertIn(KEY, self.presence)

    def test_a_later_look_without_the_run_does(self) -> None:
        """The run has ended, or was never there."""
        self.presence.note_look(set(), 101)
        self.assertNotIn(KEY, self.presence)

    def test_a_run_that_is_being_stopped_is_not_expected(self) -> None:
        """It is gone as soon as the stop has taken its time."""
        self.presence.note_stopped(KEY)
        self.assertNotIn(KEY, self.presence)

    def test_a_run_that_a_look_shows_is_there(self) -> None:
        """Also if another holder has started it."""
        other = (KEY[0], 2)
        self.presence.note_look({other}, 200)
        self.assertIn(other, self.presence)
        self.assertTrue(self.presence.was_looked_at(200))
        self.assertFalse(self.presence.was_looked_at(201))
