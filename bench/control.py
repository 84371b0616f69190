"""Measure what control costs a node, today and at the two-year size.

Sizes and times come from this run. How often a message is sent comes from the
model below, whose assumptions docs/CAPACITY.md lists.
"""

import json
import subprocess
import sys
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import NamedTuple

import msgspec
from control_costs import Cost, heartbeat_cost, loop_ns, renewal_cost
from control_state import SIZES, TODAY, TWO_YEARS, Built, Size

from swifthoistd.peers import BEAT_S
from swifthoistd.renewals import ROUNDS_PER_LEASE
from swifthoistd.snapshotting import EVERY_MS
from swifthoistd.tallies import pause_after

_DAY_S = 86_400
_US_PER_S = 1_000_000
_MB_PER_MIB = 1.048576
_CHILD_S = 40

TARGET_MB = 32
TARGET_SHARE = 0.012
TARGET_KB_PER_S = 29

LEASE_S = 10
HEARTBEATS_PER_S = 1 / BEAT_S
SNAPSHOT_EVERY_S = EVERY_MS / 1_000
CELL_RENEWALS_PER_S = 1
LOG_READS_PER_S = 2


class Site(NamedTuple):
    """What goes on at a size, beside the state.

    :ivar size: the size.
    :ivar instances: entry instances in all regions.
    :ivar workers_changed: workers that join or leave in a day.
    :ivar entries_changed: catalogue changes a day.
    """

    size: Size
    instances: int
    workers_changed: int
    entries_changed: int


SITES = (Site(TODAY, 8, 4, 20), Site(TWO_YEARS, 32, 872, 2_300))


class Report(NamedTuple):
    """What a child process found about one size.

    :ivar built: sizes and times of the whole.
    :ivar costs: what each kind of record costs.
    :ivar key_bytes: memory of one remembered request, in bytes.
    :ivar loop_ns: how fast the machine was, in ns a loop.
    """

    built: Built
    costs: tuple[Cost, ...]
    key_bytes: float
    loop_ns: float


class Share(NamedTuple):
    """What one mechanism takes of a node.

    :ivar name: the mechanism.
    :ivar cpu_share: share of a core.
    :ivar kb_per_s: kilobytes a second, both ways.
    """

    name: str
    cpu_share: float
    kb_per_s: float


def say(
    name: str, amount: float, unit: str, target: float | None = None
) -> None:
    """Print a figure; a target is the most that is allowed."""
    line = {'name': f'control.{name}', 'value': round(amount, 5), 'unit': unit}
    line['target'] = target
    line['holds'] = None if target is None else amount <= target
    sys.stdout.write(json.dumps(line) + '\n')
    sys.stdout.flush()


def ask_child(size: Size) -> Report:
    """Weigh a size in a fresh process."""
    child = Path(__file__).with_name('control_child.py')
    done = subprocess.run(
        (sys.executable, str(child), size.name),
        stdout=subprocess.PIPE,
        check=True,
        timeout=_CHILD_S,
    )
    return msgspec.json.decode(done.stdout, type=Report)


def shares(
    site: Site, costs: Mapping[str, Cost], renewal: Cost, beat: Cost
) -> Iterator[Share]:
    """Tell what each mechanism takes of one entry instance."""
    yield _share(
        'log follower', _records_per_s(site, costs['requests_counted']), costs
    )
    renewals = renewals_per_s(site)
    yield _share('lease renewal', {'lease_renewal': renewals}, costs)
    # The cost of a heartbeat is that of both ends, and each instance sends
    # one and answers one on each connection.
    beats = HEARTBEATS_PER_S * (site.instances - 1)
    yield _share('heartbeats', {'heartbeat': beats}, costs)
    yield _share('log reads', {'log_read': LOG_READS_PER_S}, costs)


def renewals_per_s(site: Site) -> float:
    """Count renewals of one instance; one renews all parts on a worker."""
    each_s = LEASE_S / ROUNDS_PER_LEASE
    return site.size.workers / site.instances / each_s


def _share(
    name: str, per_s: Mapping[str, float], costs: Mapping[str, Cost]
) -> Share:
    cpu_us = sum(rate * costs[kind].cpu_us for kind, rate in per_s.items())
    sent = sum(rate * costs[kind].size for kind, rate in per_s.items())
    return Share(name, cpu_us / _US_PER_S, sent / 1_000)


def _records_per_s(site: Site, counts: Cost) -> dict[str, float]:
    counted_every_s = pause_after(counts.size)
    jobs = site.size.jobs_per_day / _DAY_S
    return {
        'job_submitted': jobs,
        'job_placed': jobs,
        'job_started': jobs,
        'job_ended': jobs,
        'cell_renewed': CELL_RENEWALS_PER_S,
        'worker_joined': site.workers_changed / _DAY_S,
        'worker_left': 2 * site.workers_changed / _DAY_S,
        'entry_changed': site.entries_changed / _DAY_S,
        'requests_counted': site.instances / counted_every_s,
    }


def report_site(site: Site, renewal: Cost, beat: Cost) -> None:
    """Measure and print one size."""
    name = site.size.name
    found = ask_child(site.size)
    built = found.built
    say(f'machine_loop_ns.{name}', found.loop_ns, 'ns a loop turn')
    total_mb = built.total_mib * _MB_PER_MIB
    state_mb = (built.total_mib - built.baseline_mib) * _MB_PER_MIB
    baseline_mb = built.baseline_mib * _MB_PER_MIB
    say(f'rss_baseline_mb.{name}', baseline_mb, 'MB')
    say(f'rss_state_mb.{name}', state_mb, 'MB', TARGET_MB)
    say(f'rss_total_mb.{name}', total_mb, 'MB', TARGET_MB)
    say(f'request_key_bytes.{name}', found.key_bytes, 'bytes')
    say(f'snapshot_kib.{name}', built.snapshot_kib, 'KiB')
    say(f'snapshot_cpu_ms.{name}', built.snapshot_ms, 'ms')
    costs = {cost.name: cost for cost in (*found.costs, renewal, beat)}
    costs['log_read'] = renewal
    for cost in found.costs:
        say(f'record_bytes.{cost.name}.{name}', cost.size, 'bytes')
        say(f'record_cpu_us.{cost.name}.{name}', cost.cpu_us, 'us')
    every = tuple(shares(site, costs, renewal, beat))
    for share in every:
        say(f'cpu_share.{share.name}.{name}', share.cpu_share, 'cores')
        say(f'kb_per_s.{share.name}.{name}', share.kb_per_s, 'KB/s')
    cpu_share = sum(one.cpu_share for one in every)
    sent = sum(one.kb_per_s for one in every)
    sent += built.snapshot_kib * 1.024 / SNAPSHOT_EVERY_S
    say(f'lease_renewal_msgs_per_s.{name}', renewals_per_s(site), 'messages/s')
    say(f'cpu_share.{name}', cpu_share, 'cores', TARGET_SHARE)
    say(f'kb_per_s.{name}', sent, 'KB/s', TARGET_KB_PER_S)


def main() -> None:
    """Measure messages once, then each size in a process of its own."""
    say('machine_loop_ns.messages', loop_ns(), 'ns a loop turn')
    beat = heartbeat_cost()
    parts = SIZES['two_years'].tasks // SIZES['two_years'].workers
    renewal = renewal_cost(parts)
    for cost in (beat, renewal):
        say(f'message_bytes.{cost.name}', cost.size, 'bytes')
        say(f'message_cpu_us.{cost.name}', cost.cpu_us, 'us')
    for site in SITES:
        report_site(site, renewal, beat)


if __name__ == '__main__':
    main()
