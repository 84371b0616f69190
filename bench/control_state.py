"""Ledgers of several sizes, built through the fold from encoded records."""

import time
import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import msgspec

from swifthoist_core import records
from swifthoist_core.catalogue import Entry, Urgency, Work
from swifthoist_core.codec import decode, encode
from swifthoist_core.histograms import bucket_of
from swifthoist_core.ledger import Ledger
from swifthoist_core.records import Author, Envelope, PartPlacement, Record
from swifthoist_core.shapes import Shape, WorkerSpec

_AUTHOR = Author('entry-1', 1)
_DAY_MS = 24 * 3_600_000
_LEASE_MS = 100 * _DAY_MS
_PAGE_KIB = 4
_FIRST_WORKERS = 24


class Size(NamedTuple):
    """A size of the system.

    :ivar name: name of the size.
    :ivar workers: how many workers.
    :ivar accelerators: on all workers together.
    :ivar tasks: parts that run at one time.
    :ivar teams: owners, each with a class of requests and one of jobs.
    :ivar jobs_per_day: jobs of the day that ended.
    :ivar gang: parts of each gang.
    """

    name: str
    workers: int
    accelerators: int
    tasks: int
    teams: int
    jobs_per_day: int
    gang: int


TODAY = Size('today', 24, 192, 192, 4, 100, 4)
HALF = Size('half', 1_650, 3_450, 31_500, 70, 1_050, 90)
TWO_YEARS = Size('two_years', 3_300, 6_900, 63_000, 140, 2_100, 90)
SIZES = {size.name: size for size in (TODAY, HALF, TWO_YEARS)}


class Built(NamedTuple):
    """What a ledger of a size takes.

    :ivar baseline_mib: resident memory before the first record, in MiB.
    :ivar total_mib: resident memory with the state, in MiB.
    :ivar snapshot_kib: encoded jobs, workers, account and entries, in KiB.
    :ivar snapshot_ms: processor time to encode that, in ms.
    :ivar build_s: processor time to decode and fold everything, in s.
    """

    baseline_mib: float
    total_mib: float
    snapshot_kib: float
    snapshot_ms: float
    build_s: float


class Builder:
    """Folds encoded records into a ledger.

    :ivar ledger: the ledger.
    :ivar now_ms: log time of the next record.
    """

    def __init__(self) -> None:
        """Start before the first record."""
        self.ledger = Ledger()
        self.now_ms = 20_000 * _DAY_MS
        self._offset = 0

    def add(self, record: Record) -> None:
        """Encode, decode and fold a record that must be accepted."""
        self.fold(self.encode(record))

    def encode(self, record: Record) -> bytes:
        """Encode the next record."""
        return encode(Envelope(_AUTHOR, self._offset + 1, record))

    def fold(self, payload: bytes) -> None:
        """Decode and fold the next record, which must be accepted."""
        verdict = self.ledger.fold(self._offset, self.now_ms, decode(payload))
        self._offset += 1
        if not verdict.accepted:
            raise ValueError(verdict.reason)


def build(size: Size) -> Builder:
    """Build a ledger: a day of ended jobs, then what runs now."""
    builder = Builder()
    builder.add(records.CellClaimed(1, _AUTHOR.instance, _LEASE_MS))
    for entry in _entries(size.teams):
        builder.add(records.EntryChanged(entry.entry_id, 0, entry, 'op'))
    specs = list(_workers(size))
    for spec in specs[:_FIRST_WORKERS]:
        builder.add(records.WorkerJoined(1, spec))
    for number in range(size.jobs_per_day):
        builder.now_ms += _DAY_MS // size.jobs_per_day // 2
        _run_job(builder, size, number)
    gangs = tuple(_gangs(size, specs))
    for number, gang in enumerate(gangs):
        team = number % size.teams
        builder.add(job(size, f'job-{number}', team, gang[0].accelerators))
    for spec in specs[_FIRST_WORKERS:]:
        builder.add(records.WorkerJoined(1, spec))
    for number, gang in enumerate(gangs):
        builder.add(records.JobPlaced(1, f'job-{number}', 1, gang, True))
        builder.add(records.JobStarted(1, f'job-{number}', 1))
    builder.add(counted(size.teams))
    return builder


def counted(teams: int) -> records.RequestsCounted:
    """Build the counts of an instance, one tally for each team."""
    waits = {bucket_of(wait_ms): 7 for wait_ms in (0, 1, 2, 5, 9, 20, 70)}
    return records.RequestsCounted(
        tuple(
            records.Tally(
                f'team-{team}', 'check', 90, 3, 1, {'queue is full': 2}, waits
            )
            for team in range(teams)
        )
    )


def usage(parts: int, started_ms: int, stopped_ms: int) -> tuple:
    """Build what workers report of a gang on the first workers."""
    return tuple(
        records.PartUsage(
            part, f'w{part % _FIRST_WORKERS}', 0, started_ms, stopped_ms
        )
        for part in range(parts)
    )


def job(size: Size, name: str, team: int, accelerators: int = 0) -> Record:
    """Build the submission of a gang."""
    shape = Shape(size.gang, accelerators)
    spec = records.JobSpec(
        name, f'team-{team}', 'sort', shape, Urgency.BATCH, True, 3_600_000
    )
    return records.JobSubmitted(spec, f'key-{name}')


def _run_job(builder: Builder, size: Size, number: int) -> None:
    name = f'old-{number}'
    builder.add(job(size, name, number % size.teams))
    parts = tuple(
        PartPlacement(f'w{part % _FIRST_WORKERS}', 0, 0)
        for part in range(size.gang)
    )
    builder.add(records.JobPlaced(1, name, 1, parts, True))
    builder.add(records.JobStarted(1, name, 1))
    used = usage(size.gang, builder.now_ms - 1_000, builder.now_ms)
    builder.add(records.JobEnded(1, name, 1, 'done', used))


def _gangs(
    size: Size, specs: list[WorkerSpec]
) -> Iterator[tuple[PartPlacement, ...]]:
    slots = [
        PartPlacement(spec.worker, first, 1)
        for spec in specs
        for first in range(spec.accelerators)
    ]
    for begin in range(0, size.tasks - size.gang + 1, size.gang):
        gang = tuple(slots[begin : begin + size.gang])
        if len(gang) < size.gang:
            gang = tuple(
                PartPlacement(specs[(begin + part) % len(specs)].worker, 0, 0)
                for part in range(size.gang)
            )
        yield gang


def _entries(teams: int) -> Iterator[Entry]:
    for team in range(teams):
        owner = f'team-{team}'
        yield Entry(f'{owner}-sort', owner, 'sort', Work.JOB)
        yield Entry(f'{owner}-check', owner, 'check', Work.REQUEST)


def _workers(size: Size) -> Iterator[WorkerSpec]:
    each, rest = divmod(size.accelerators, size.workers)
    wide = rest // each
    for number in range(size.workers):
        yield WorkerSpec(
            f'w{number}',
            1,
            f'10.0.{number // 250}.{number % 250}:80',
            f'z{number % 12}',
            f'r{number // 6}',
            each * (1 + int(number < wide)),
            128,
            1_048_576,
        )


def resident_mib() -> float:
    """Read the resident memory of this process, in MiB."""
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return pages * _PAGE_KIB / 1024


def snapshot(ledger: Ledger) -> bytes:
    """Encode and compress what a snapshot has to carry, by and large."""
    packed = msgspec.msgpack.encode(
        (
            tuple(ledger.jobs.all_jobs()),
            ledger.fleet.specs(),
            ledger.account.lines(),
            ledger.account.spans(),
            tuple(vars(ledger.account)['_series'].values()),
            tuple(vars(ledger.holdings)['_held'].values()),
            ledger.catalogue.entries(),
        )
    )
    return zlib.compress(packed, level=1)


def weigh(size: Size) -> tuple[Builder, Built]:
    """Build a ledger in this process and weigh it."""
    before_mib = resident_mib()
    started_s = time.process_time()
    builder = build(size)
    built_s = time.process_time()
    after_mib = resident_mib()
    packed = snapshot(builder.ledger)
    packed_s = time.process_time()
    built = Built(
        before_mib,
        after_mib,
        len(packed) / 1024,
        (packed_s - built_s) * 1_000,
        built_s - started_s,
    )
    return builder, built
