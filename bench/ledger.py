"""Measures the order of decisions; prints one JSON line for each figure.

Latencies are on a virtual clock, on which the processor's work costs nothing
(see ``ledger_load.py``); that work is measured apart, in real time, at the
size that is expected in two years.
"""

import json
import sys
import time
from collections.abc import Sequence
from functools import partial
from pathlib import Path

import anyio

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from bench import ledger_load, ledger_state
from swifthoist_core import codec, records
from swifthoist_core.ledger import Ledger
from swifthoistd.logs import LEDGER_STREAM, SNAPSHOT_STREAM
from swifthoistd.snapshotting import EVERY_MS, EVERY_RECORDS, Restorer, take
from tests.daemon import fakes
from tests.daemon.scenario import Findings, Scenario, random_steps

TAKEOVERS = 40
FAULT_RUNS = 8
FAULT_STEPS = 60
_FIRST_SEED = 1_000
_MS_PER_S = 1_000
_US_PER_S = 1_000_000
_KIB = 1_024


def emit(
    name: str, value: float, unit: str, target: float | None = None
) -> None:
    """Print a figure; smaller is better for all of them.

    :param name: name of the figure.
    :param value: as measured.
    :param unit: its unit.
    :param target: the bound that it must not exceed, or ``None``.
    """
    holds = None if target is None else value <= target
    line = {
        'name': f'ledger.{name}',
        'value': round(value, 3),
        'unit': unit,
        'target': target,
        'holds': holds,
    }
    print(json.dumps(line), flush=True)


def p99(found: Sequence[float]) -> float:
    """Choose the value that 99 in 100 do not exceed."""
    return sorted(found)[int(len(found) * 0.99)]


def latencies() -> float:
    """Measure what a virtual clock can.

    :returns: bytes that the load puts on the log per second.
    """
    load = fakes.run(ledger_load.load)
    requests = len(load.loaded_ms)
    added_ms = p99(load.loaded_ms) - p99(load.alone_ms)
    emit('appends_per_request', load.appends / requests, 'appends', 0.2)
    emit('single_append_ms_p99', p99(load.alone_ms), 'ms')
    emit('group_commit_ms_p99', p99(load.loaded_ms), 'ms')
    emit('commit_ms_p99', added_ms, 'ms', 10)
    emit('in_force_s_p99', p99(fakes.run(ledger_load.in_force)), 's', 10)
    taken = [
        fakes.run(partial(ledger_load.takeover, seed), seed)
        for seed in range(TAKEOVERS)
    ]
    emit('takeover_s_p99', p99(taken), 's', 5)
    return load.bytes_per_s


def faults() -> None:
    """Count broken promises over runs with random faults."""
    totals = Findings()
    for seed in range(_FIRST_SEED, _FIRST_SEED + FAULT_RUNS):
        steps = random_steps(seed, FAULT_STEPS)
        scenario = Scenario(seed, gathers=bool(seed % 2))
        found = fakes.run(partial(scenario.play, steps), seed)
        both = zip(totals, found, strict=True)
        totals = Findings(*map(sum, both))
    for name, count in totals._asdict().items():
        emit(name, count, 'count', 0)


def two_years(load_bytes_per_s: float) -> None:
    """Measure at the size of two years, in real time.

    :param load_bytes_per_s: what the load puts on the log.
    """
    ledger = ledger_state.two_year_ledger()
    started = time.perf_counter()
    chunks = anyio.run(take, ledger)
    emit('snapshot_take_s', time.perf_counter() - started, 's')
    sizes = [len(chunk) for chunk in chunks]
    emit('snapshot_kib', sum(sizes) / _KIB, 'KiB')
    emit('snapshot_chunk_kib_max', max(sizes) / _KIB, 'KiB', 256)
    snapshot_bytes_per_s = sum(sizes) * _MS_PER_S / EVERY_MS
    emit('log_bytes_per_s', load_bytes_per_s + snapshot_bytes_per_s, 'B/s')
    tail = ledger_state.request_records(EVERY_RECORDS)
    emit('bootstrap_s', anyio.run(_bootstrap, ledger, chunks, tail), 's', 5)
    emit('fold_us_per_record', _fold_us(ledger, tail), 'us')
    ends = ledger_state.job_records(5_000)
    emit('fold_us_per_job_end', _fold_us(ledger, ends), 'us')
    submitted = ledger_state.submissions(20)
    emit('fold_us_per_job_submitted', _fold_us(ledger, submitted), 'us')


async def _bootstrap(
    ledger: Ledger, chunks: Sequence[bytes], tail: list[records.Envelope]
) -> float:
    """Start an instance from a snapshot and the longest tail behind it."""
    log = fakes.FakeLog()
    log.streams[LEDGER_STREAM] = [fakes.Entry(0, ledger.time_ms, b'')]
    log.apply(SNAPSHOT_STREAM, chunks)
    log.apply(LEDGER_STREAM, [codec.encode(envelope) for envelope in tail])
    started = time.perf_counter()
    late = fakes.Instance('late', log, bootstrap=Restorer(log))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(partial(late.run, decides=False))
        await late.follower.wait_for(len(tail))
        spent_s = time.perf_counter() - started
        late.kill()
    if late.follower.resets or late.ledger.jobs.get('job-0') is None:
        raise ValueError('the snapshot was not taken')
    return spent_s


def _fold_us(ledger: Ledger, envelopes: Sequence[records.Envelope]) -> float:
    started = time.perf_counter()
    for envelope in envelopes:
        verdict = ledger.fold(ledger.offset, ledger.time_ms + 1, envelope)
        if not verdict.accepted:
            raise ValueError(verdict.reason)
    spent = time.perf_counter() - started
    return spent * _US_PER_S / len(envelopes)


def main() -> None:
    """Run every measurement."""
    load_bytes_per_s = latencies()
    two_years(load_bytes_per_s)
    faults()


if __name__ == '__main__':
    main()
