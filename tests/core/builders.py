"""Short ways to build records, workers and ledgers for the tests."""

from swifthoist_core import records
from swifthoist_core.catalogue import Entry, Urgency, Work
from swifthoist_core.ledger import Ledger, Verdict
from swifthoist_core.records import Author, Envelope, Record
from swifthoist_core.shapes import GuaranteedShape, Shape, WorkerSpec

HOLDER = Author('entry-1', 1)
LEASE_MS = 3_000


def worker(name: str, rack: str = 'r1', accelerators: int = 8) -> WorkerSpec:
    """Build a worker with 64 cores and 256 GiB in zone ``z1``."""
    return WorkerSpec(
        name, 1, '127.0.0.1:1', 'z1', rack, accelerators, 64, 262_144
    )


def job_entry(owner: str, *guarantee: GuaranteedShape) -> Entry:
    """Build a catalogue entry for jobs of class ``sort``."""
    return Entry(
        f'{owner}-sort',
        owner,
        'sort',
        Work.JOB,
        guarantee=guarantee,
    )


def spec(
    job_id: str, owner: str, shape: Shape, *, idempotent: bool = True
) -> records.JobSpec:
    """Build a job of class ``sort``."""
    return records.JobSpec(
        job_id, owner, 'sort', shape, Urgency.BATCH, idempotent, 1_000
    )


class Book:
    """A ledger together with the log that it folds."""

    def __init__(self) -> None:
        """Start with an empty log."""
        self.ledger = Ledger()
        self.now_ms = 1_000
        self.log: list[tuple[int, Envelope]] = []
        self._seqs: dict[Author, int] = {}

    def append(self, record: Record, author: Author = HOLDER) -> Verdict:
        """Append a record and fold it."""
        seq = self._seqs.get(author, 0) + 1
        self._seqs[author] = seq
        return self.append_envelope(Envelope(author, seq, record))

    def append_envelope(self, envelope: Envelope) -> Verdict:
        """Append an envelope as it is and fold it."""
        self.log.append((self.now_ms, envelope))
        return self.ledger.fold(len(self.log) - 1, self.now_ms, envelope)

    def claim(self, epoch: int = 1, author: Author = HOLDER) -> Verdict:
        """Claim the cell."""
        claimed = records.CellClaimed(epoch, author.instance, LEASE_MS)
        return self.append(claimed, author)

    def publish(self, entry: Entry) -> Verdict:
        """Publish the next version of a catalogue entry."""
        version = self.ledger.catalogue.version(entry.entry_id)
        changed = records.EntryChanged(entry.entry_id, version, entry, 'op')
        return self.append(changed)

    def staffed(self, workers: int = 2) -> 'Book':
        """Claim the cell and take workers in."""
        self.claim()
        for index in range(workers):
            self.append(records.WorkerJoined(1, worker(f'w{index}')))
        return self
