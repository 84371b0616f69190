"""Tests that the emulated services keep the platform's rules."""

import unittest

import anyio

from swifthoist_emulator.checker import InvariantChecker
from swifthoist_emulator.faults import Faults
from swifthoist_emulator.fleet import Fleet, Host, Place
from swifthoist_emulator.http import Request, read_request
from swifthoist_emulator.lives import Life, StepWork, write_payload
from swifthoist_emulator.store_calls import RECORD_BYTES, Store
from swifthoist_emulator.topics import MAX_REPEATABLE_APPENDS, AppendId, Topic
from swifthoist_engine.model import Resources, TaskId
from swifthoist_engine.records import Ending
from swifthoist_platform import names
from swifthoist_platform.store_records import add_length

ROOM = Resources(10_000, 10_000, 8)
WORK = StepWork(1_000, (1_000, 1_000, 1))
TASK = TaskId('job', 0, 0, 0)


class BrokenOffTest(unittest.TestCase):
    """A request that is cut off in its body is ignored."""

    def test_a_call_without_its_whole_body_is_not_carried_out(self) -> None:
        """An append cut off before its records must not use up its number.

        Its repeat would be answered as done, and the job would be lost.
        """
        messages = iter(
            (
                {'type': 'http.request', 'body': b'{', 'more_body': True},
                {'type': 'http.disconnect'},
            )
        )

        async def receive() -> dict[str, object]:
            return next(messages)

        scope = {'query_string': b'', 'headers': []}
        self.assertIsNone(anyio.run(read_request, scope, receive))


class RecordSizeTest(unittest.TestCase):
    """The store takes records up to a size."""

    def test_a_record_that_is_too_large_is_rejected(self) -> None:
        """Nothing of the append is stored."""

        async def main() -> None:
            store = Store(Faults(1), int)
            query = {names.TOPIC: 'a', names.PART: '0'}
            for size, status in ((RECORD_BYTES, 200), (RECORD_BYTES + 1, 400)):
                request = Request(
                    'POST',
                    f'{names.ROOT}{names.LOG_APPEND}',
                    query,
                    {},
                    add_length(b'x' * size),
                    1,
                )
                response = await store.answer(request)
                self.assertEqual(response.status, status)

        anyio.run(main)


class TopicTest(unittest.TestCase):
    """Numbered appends take effect once."""

    def setUp(self) -> None:
        """Make a topic with one append."""
        self.topic = Topic(keyed=False)
        self.first = self.topic.append([b'a'], 0, AppendId('p', 1, 1))

    def test_a_repeat_gets_its_first_reply_again(self) -> None:
        """A repeat of a forgotten append is refused instead."""
        for number in range(2, 2 + MAX_REPEATABLE_APPENDS - 1):
            self.topic.append([b'x'], 0, AppendId('p', 1, number))
        again = self.topic.append([b'a'], 0, AppendId('p', 1, 1))
        self.assertEqual(again, self.first)
        self.topic.append(
            [b'x'], 0, AppendId('p', 1, MAX_REPEATABLE_APPENDS + 1)
        )
        forgotten = self.topic.append([b'a'], 0, AppendId('p', 1, 1))
        self.assertEqual(forgotten.reason, 'seq')

    def test_gaps_and_old_epochs_are_refused(self) -> None:
        """A higher epoch may start with any number."""
        gap = self.topic.append([b'x'], 0, AppendId('p', 1, 3))
        self.assertEqual((gap.status, gap.reason), (409, 'seq'))
        self.topic.append([b'x'], 0, AppendId('p', 2, 9))
        old = self.topic.append([b'x'], 0, AppendId('p', 1, 2))
        self.assertEqual((old.status, old.reason), (409, 'fenced'))

    def test_records_are_forgotten_but_keys_keep_their_newest(self) -> None:
        """An empty value deletes the key."""
        topic = Topic(keyed=True)
        topic.append([b'\x01ax', b'\x01bx', b'\x01ay', b'\x01b'], 0)
        topic.forget(4)
        self.assertIsNone(topic.read(0))
        self.assertEqual(topic.read(4), [])
        self.assertEqual(topic.newest(), {'a': b'y'})


class LifeTest(unittest.TestCase):
    """A runner enforces leases, fences and run numbers."""

    def setUp(self) -> None:
        """Start a run with a lease of half its work."""
        self.checker = InvariantChecker()
        self.checker.submitted.add('job')
        self.life = Life('r', ROOM, self.checker)
        self.payload = write_payload((WORK,))
        self.assertEqual(self.life.start(TASK, 1, self.payload, 500, ''), '')

    def endings(self) -> list[Ending]:
        """List the endings of the runs, in order."""
        return [end.ending for end in self.life.ends]

    def test_a_run_lapses_unless_it_is_renewed(self) -> None:
        """The lease ends by the runner's own clock."""
        self.life.advance(501)
        self.assertEqual(self.endings(), [Ending.LAPSED])

    def test_a_renewed_run_is_done(self) -> None:
        """Its number cannot be started again."""
        self.life.renew(5_000)
        self.life.advance(1_000)
        self.assertEqual(self.endings(), [Ending.DONE])
        refused = self.life.start(TASK, 1, self.payload, 9_000, '')
        self.assertEqual(refused, 'old')

    def test_a_stop_forbids_a_run_that_is_not_there_yet(self) -> None:
        """The start that arrives after its stop is refused."""
        other = TaskId('job', 0, 0, 1)
        self.life.stop(other, 4)
        self.assertEqual(
            self.life.start(other, 4, self.payload, 9_000, ''), 'old'
        )
        self.assertEqual(self.life.start(other, 5, self.payload, 9_000, ''), '')

    def test_lower_fences_and_ended_leases_are_refused(self) -> None:
        """A fence below the highest one seen is refused."""
        self.assertTrue(self.life.accept_fence(3))
        self.assertFalse(self.life.accept_fence(2))
        self.life.advance(100)
        late = self.life.start(TaskId('job', 0, 0, 2), 1, self.payload, 99, '')
        self.assertEqual(late, 'late')

    def test_the_witness_sees_a_start_between_an_end_and_its_note(self) -> None:
        """It is a violation only once a holder has seen the end."""
        other = self.start_after_done_end()
        self.assertEqual(self.checker.broken, [])
        self.life.acknowledge(1)
        self.assertEqual(len(self.checker.broken), 1)
        other.acknowledge(1)
        self.assertEqual(len(self.checker.broken), 1)

    def test_a_start_after_an_end_that_lapsed_is_allowed(self) -> None:
        """A done end that nobody saw is void after the lease has ended."""
        self.start_after_done_end()
        self.life.advance(5_001)
        self.life.renew(9_000)
        self.life.acknowledge(1)
        self.assertEqual(self.checker.broken, [])

    def start_after_done_end(self) -> Life:
        """Start a second run while the done end of the first is unseen."""
        self.life.renew(5_000)
        self.life.advance(1_000)
        other = Life('s', ROOM, self.checker)
        other.start(TASK, 2, self.payload, 500, '')
        return other

    def test_the_witness_sees_a_job_that_is_complete_too_soon(self) -> None:
        """A job may be complete only after all its tasks are done."""
        self.checker.note_complete('job', [frozenset((TASK,))])
        self.assertEqual(len(self.checker.broken), 1)
        self.life.renew(5_000)
        self.life.advance(1_000)
        self.checker.note_complete('job', [frozenset((TASK,))])
        self.assertEqual(len(self.checker.broken), 1)

    def test_the_witness_takes_one_done_end_for_a_gang(self) -> None:
        """A stop may reach another member while the gang ends."""
        gang = frozenset((TASK, TASK._replace(ordinal=1)))
        self.checker.note_complete('job', [gang])
        self.assertEqual(len(self.checker.broken), 1)
        self.life.renew(5_000)
        self.life.advance(1_000)
        self.checker.note_complete('job', [gang])
        self.assertEqual(len(self.checker.broken), 1)

    def test_a_gang_breaks_when_a_runner_of_it_crashes(self) -> None:
        """Its remaining members end as broken."""
        fleet = Fleet(self.checker)
        payload = write_payload((WORK._replace(gang=2),))
        for number in range(2):
            place = Place(f'h-{number}:1', 'rack', 'zone')
            fleet.add(Host(f'h-{number}', place, ROOM))
            task = TASK._replace(ordinal=number + 1)
            life = fleet.hosts[place.address].life
            life.start(task, 1, payload, 5_000, '')
        fleet.advance(100)
        first, second = fleet.hosts.values()
        fleet.kill(first)
        self.assertEqual(
            [end.ending for end in second.life.ends], [Ending.BROKEN]
        )

    def test_the_witness_sees_a_task_that_runs_twice(self) -> None:
        """It counts even if each runner followed its orders."""
        other = Life('s', ROOM, self.checker)
        other.start(TASK, 2, self.payload, 500, '')
        self.assertEqual(len(self.checker.broken), 1)
