"""Tests of snapshots of the ledger."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from swifthoist_core import errors, records, requests, snapshots
from swifthoist_core.codec import encode
from swifthoist_core.ledger import Ledger
from swifthoist_core.records import Author, Envelope, PartPlacement, PartUsage
from swifthoist_core.requests import Phase
from swifthoist_core.shapes import GuaranteedShape, Shape
from tests.core.builders import HOLDER, Book, job_entry, spec

OTHER = Author('entry-2', 1)
FIXED = settings(
    derandomize=True, deadline=None, database=None, max_examples=60
)


def copy_of(ledger: Ledger) -> Ledger:
    """Take a snapshot and start another ledger from it."""
    state = snapshots.clone(ledger)
    chunks = snapshots.seal(state, tuple(snapshots.pack(state)))
    twin = Ledger()
    snapshots.restore(twin, map(snapshots.open_chunk, chunks))
    return twin


def state_of(ledger: Ledger) -> tuple[snapshots.Section, ...]:
    """All of a ledger's state, in order, for comparing it."""
    return snapshots.clone(ledger).sections


def step(book: Book, dice: random.Random) -> None:
    """Append one record of a random kind; some of them are rejected."""
    book.now_ms += dice.randrange(200_000)
    key = f'k{dice.randrange(6)}'
    job = f'j{dice.randrange(6)}'
    author = dice.choice((HOLDER, OTHER))
    epoch = book.ledger.cell.state.epoch
    parts = (PartPlacement(f'w{dice.randrange(3)}', 0, 8),)
    usage = (PartUsage(0, 'w1', 8, 10, 20),)
    shape = Shape(1, 8)
    record = dice.choice(
        (
            records.RequestIntended(key, 'a', 'sort', 'd', 1_000),
            records.RequestClosed(key, 'a', 'done', 200, b'answer'),
            records.RequestClosed(key, 'a', 'unknown', 0, b''),
            records.JobSubmitted(spec(job, 'a', shape), job),
            records.JobPlaced(epoch, job, 1, parts, True),
            records.JobStarted(epoch, job, 1),
            records.JobEnded(epoch, job, 1, 'done', usage),
            records.JobEnded(epoch, job, 1, 'failed', usage, 'w1'),
            records.JobCancelled(job, 'a'),
            records.CellRenewed(epoch, 3_000),
            records.CellClaimed(epoch + 1, 'entry-2', 3_000),
            records.WorkerLeft(epoch, 'w2', False),
            records.PolicyChanged(0, book.ledger.catalogue.policy, 'op'),
            records.RequestsCounted(()),
        )
    )
    book.append(record, author)


def busy_book(seed: int, steps: int) -> Book:
    """Build a book with a random past."""
    book = Book().staffed(workers=3)
    book.publish(job_entry('a', GuaranteedShape(Shape(1, 8), 1)))
    dice = random.Random(seed)
    for _ in range(steps):
        step(book, dice)
    return book


class SnapshotTest(unittest.TestCase):
    """A snapshot and the records after it are as good as all records."""

    @FIXED
    @given(st.integers(0, 10_000), st.integers(0, 60), st.integers(0, 40))
    def test_a_snapshot_and_its_tail_give_the_whole_fold(
        self, seed: int, before: int, after: int
    ) -> None:
        """Both ledgers agree after any records, before and behind."""
        book = busy_book(seed, before)
        twin = copy_of(book.ledger)
        self.assertEqual(state_of(twin), state_of(book.ledger))
        dice = random.Random(seed + 1)
        for _ in range(after):
            step(book, dice)
        tail = book.log[twin.offset :]
        for offset, (time_ms, envelope) in enumerate(tail, twin.offset):
            twin.fold(offset, time_ms, envelope)
        self.assertEqual(state_of(twin), state_of(book.ledger))

    def test_a_clone_stays_as_it_was(self) -> None:
        """Records that fold while it is encoded do not show up in it."""
        book = busy_book(1, 20)
        before = snapshots.clone(book.ledger)
        parts = snapshots.pack(before)
        first = next(parts)
        dice = random.Random(2)
        for _ in range(60):
            step(book, dice)
        chunks = snapshots.seal(before, (first, *parts))
        twin = Ledger()
        snapshots.restore(twin, map(snapshots.open_chunk, chunks))
        self.assertEqual(state_of(twin), before.sections)

    def test_an_undeclared_attribute_is_an_error(self) -> None:
        """State that the format does not know is not lost in silence."""
        ledger = Ledger()
        ledger.jobs.extra = 1  # type: ignore[attr-defined]
        with self.assertRaisesRegex(errors.SnapshotError, 'jobs.extra'):
            snapshots.clone(ledger)

    @FIXED
    @given(st.integers(0, 10_000), st.data())
    def test_damage_is_noticed_and_nothing_is_restored(
        self, seed: int, data: st.DataObject
    ) -> None:
        """A changed byte or a missing chunk leaves the ledger alone."""
        state = snapshots.clone(busy_book(seed, 10).ledger)
        chunks = list(snapshots.seal(state, tuple(snapshots.pack(state))))
        at = data.draw(st.integers(0, len(chunks) - 1))
        piece = bytearray(chunks.pop(at))
        if data.draw(st.booleans()):
            place = data.draw(st.integers(0, len(piece) - 1))
            piece[place] ^= data.draw(st.integers(1, 255))
            chunks.append(bytes(piece))
        twin = Ledger()
        with self.assertRaises(errors.SnapshotError):
            snapshots.restore(
                twin, [snapshots.open_chunk(chunk) for chunk in chunks]
            )
        self.assertEqual(state_of(twin), state_of(Ledger()))

    def test_a_part_of_another_snapshot_does_not_fit(self) -> None:
        """A chunk that is sound in itself is refused by the checksum."""
        state = snapshots.clone(busy_book(1, 30).ledger)
        other = snapshots.clone(busy_book(2, 30).ledger)
        chunks = snapshots.seal(state, tuple(snapshots.pack(state)))
        opened = list(map(snapshots.open_chunk, chunks))
        foreign = list(snapshots.pack(other))
        opened[-1] = opened[-1]._replace(part=foreign[-3])
        with self.assertRaises(errors.SnapshotError):
            snapshots.restore(Ledger(), opened)

    def test_a_newer_format_is_named_in_the_error(self) -> None:
        """An operator learns that the program is too old."""
        newer = b'\x92\x63\x90'
        with self.assertRaisesRegex(errors.SnapshotVersionError, '99'):
            snapshots.open_chunk(newer)


class BoundsTest(unittest.TestCase):
    """What is remembered of requests is bounded, and no key runs twice."""

    def _run(self, book: Book, key: str, outcome: str) -> str:
        intent = records.RequestIntended(key, 'a', 'sort', 'd', 1_000)
        reason = book.append(intent).reason
        if not reason:
            book.append(records.RequestClosed(key, 'a', outcome, 200, b'x'))
        return reason

    def test_a_key_is_refused_for_a_day_without_its_answer(self) -> None:
        """After ten minutes a hash remains, after a day nothing."""
        book = Book()
        self._run(book, 'done', 'done')
        self._run(book, 'unknown', 'unknown')
        self._run(book, 'free', 'not_run')
        book.now_ms += requests.FULL_MS + 120_000
        self._run(book, 'other', 'done')
        known = book.ledger.requests.get('a', 'done')
        self.assertEqual((known.phase, known.answer), (Phase.DONE, b''))
        self.assertEqual(len(book.ledger.requests), 3)
        book.now_ms += requests.KEEP_MS - requests.FULL_MS - 200_000
        self.assertEqual(self._run(book, 'done', 'done'), 'done')
        self.assertEqual(self._run(book, 'unknown', 'done'), 'unknown')
        self.assertEqual(self._run(book, 'free', 'done'), '')
        book.now_ms += requests.KEEP_MS
        self._run(book, 'other', 'done')
        self.assertEqual(self._run(book, 'done', 'done'), '')

    def test_answers_are_bounded_in_number(self) -> None:
        """A burst keeps the latest answers and the outcome of all."""
        book = Book()
        most = requests.MAX_FULL + 4_000
        for index in range(most):
            self._run(book, f'{index}', 'done')
        first = book.ledger.requests.get('a', '0')
        last = book.ledger.requests.get('a', f'{most - 1}')
        self.assertEqual((first.phase, first.answer), (Phase.DONE, b''))
        self.assertEqual(last.answer, b'x')
        self.assertEqual(self._run(book, '0', 'done'), 'done')

    def test_an_open_key_is_never_forgotten(self) -> None:
        """However late its author closes it, nobody else was granted it."""
        book = Book()
        intent = records.RequestIntended('k', 'a', 'sort', 'd', 1_000)
        book.append(intent)
        book.now_ms += 3 * requests.KEEP_MS
        book.append(records.RequestsCounted(()))
        self.assertEqual(book.append(intent, OTHER).reason, 'open')


class FaultyRecordTest(unittest.TestCase):
    """A record with senseless content stops no instance."""

    def test_a_senseless_record_is_passed_over_and_counted(self) -> None:
        """The next record is folded as ever."""
        book = Book()
        book.append(records.RequestIntended('k', 'a', 'sort', 'd', 1_000))
        bad = records.RequestClosed('k', 'a', 'nonsense', 0, b'')
        self.assertIn('faulty', book.append(bad).reason)
        good = records.RequestClosed('k', 'a', 'done', 0, b'')
        self.assertTrue(book.append(good).accepted)
        self.assertEqual(book.ledger.passed_over, 1)
        self.assertTrue(encode(Envelope(OTHER, 1, bad)))
