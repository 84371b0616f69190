"""A ledger of the size that is expected in two years."""

import itertools

from swifthoist_core import records
from swifthoist_core.catalogue import Entry, Urgency, Work
from swifthoist_core.ledger import Ledger
from swifthoist_core.records import Author, Envelope, PartPlacement, Record
from swifthoist_core.shapes import Shape, WorkerSpec

WORKERS = 3_300
ACCELERATORS = 6_900
TASKS = 63_000
TEAMS = 140

HOLDER = Author('entry-1', 1)
OTHER = Author('entry-2', 1)
_NOW_MS = 1_800_000_000_000
_CORES = 64
_MEMORY_MIB = 262_144
_RACK = 6
_ZONES = 4


def two_year_ledger() -> Ledger:
    """Build the ledger; every task is a job of its own, which is the worst.

    :returns: a ledger with a holder, workers, entries and running jobs.
    """
    ledger = Ledger()
    ledger.fold(0, _NOW_MS, Envelope(HOLDER, 1, _claim()))
    for index in range(WORKERS):
        ledger.fleet.join(_worker(index))
    for team in range(TEAMS):
        ledger.catalogue.put(f'team-{team}-sort', _entry(team))
    for task in range(TASKS):
        _run_task(ledger, task)
    return ledger


def request_records(count: int) -> list[Envelope]:
    """Make intents and closes of non-idempotent requests, in turn.

    :param count: how many records.
    :returns: records of one author, from number 1.
    """
    made: list[Record] = []
    for index in range((count + 1) // 2):
        key, owner = f'deposit-{index:012}', f'team-{index % TEAMS}'
        made.append(
            records.RequestIntended(key, owner, 'sort', '0' * 16, 5_000)
        )
        made.append(records.RequestClosed(key, owner, 'done', 200, b'x' * 200))
    numbered = itertools.islice(enumerate(made, 1), count)
    return [Envelope(OTHER, seq, record) for seq, record in numbered]


def job_records(count: int) -> list[Envelope]:
    """Make the ends of running jobs.

    :param count: how many records.
    :returns: records of the holder, from number 2.
    """
    return [
        Envelope(
            HOLDER,
            index + 2,
            records.JobEnded(1, f'job-{index}', 1, 'done', ()),
        )
        for index in range(count)
    ]


def submissions(count: int) -> list[Envelope]:
    """Make submissions of new jobs.

    :param count: how many records.
    :returns: records of one author, from number 1.
    """
    return [
        Envelope(
            Author('entry-3', 1),
            index + 1,
            records.JobSubmitted(_spec(TASKS + index), f'key-{TASKS + index}'),
        )
        for index in range(count)
    ]


def _claim() -> Record:
    return records.CellClaimed(1, HOLDER.instance, 3_000)


def _worker(index: int) -> WorkerSpec:
    share = ACCELERATORS // WORKERS + (index < ACCELERATORS % WORKERS)
    rack = index // _RACK
    return WorkerSpec(
        f'worker-{index:05}',
        _NOW_MS,
        f'10.{index // 65_536}.{index // 256 % 256}.{index % 256}:7000',
        f'zone-{rack % _ZONES}',
        f'rack-{rack}',
        share,
        _CORES,
        _MEMORY_MIB,
    )


def _entry(team: int) -> Entry:
    return Entry(
        f'team-{team}-sort',
        f'team-{team}',
        'sort',
        Work.JOB,
        urgency=Urgency.BATCH,
    )


def _spec(task: int) -> records.JobSpec:
    return records.JobSpec(
        f'job-{task}',
        f'team-{task % TEAMS}',
        'sort',
        Shape(1, 0),
        Urgency.BATCH,
        True,
        60_000,
        'sort --lot 17',
    )


def _run_task(ledger: Ledger, task: int) -> None:
    spec = _spec(task)
    parts = (PartPlacement(f'worker-{task % WORKERS:05}', 0, 0),)
    submitted = records.JobSubmitted(spec, f'key-{task}')
    ledger.jobs.submit(submitted, _NOW_MS, '')
    ledger.fleet.occupy(spec.shape, parts)
    placed = records.JobPlaced(1, spec.job_id, 1, parts, True)
    ledger.jobs.place(placed, _NOW_MS, task)
    ledger.jobs.start(records.JobStarted(1, spec.job_id, 1), _NOW_MS)
