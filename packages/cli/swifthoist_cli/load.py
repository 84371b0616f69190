"""The load tool: plays a user's mix against running entry instances.

It is an open loop: each request has a scheduled time that does not depend on
earlier answers, and its latency counts from that time. A stall of the system
thus shows in every request that was due meanwhile.
"""

import ipaddress
import random
import uuid
from collections.abc import Callable, Iterator
from typing import NamedTuple

import anyio
import httpx

from swifthoist_cli.callers import Caller, Target
from swifthoist_cli.mixes import MIXES, Kind, Mix
from swifthoist_cli.verdicts import KindSummary, Tallies
from swifthoist_core.errors import Finding, raise_findings

MAX_RATE_PER_S = 500
"""Highest rate that the tool sends at."""

MAX_TOTAL = 100_000
"""Most requests and jobs of one run."""

MAX_SECONDS = 3_600
"""Longest time for which a run sends, in s."""

MAX_IN_FLIGHT = 512
"""Most requests and jobs in progress at one time."""

GRACE_S = 30.0
"""How long after the last send the run waits for answers, in s."""

_PROGRESS_S = 1.0
_LATE_S = 0.01


class LoadPlan(NamedTuple):
    """What to send, and to whom.

    :ivar addresses: ``host:port`` of entry instances, by IP number.
    :ivar token: the owner's token.
    :ivar mix: name of the mix.
    :ivar rate_per_s: requests and jobs a second.
    :ivar total: at most so many in all.
    :ivar seconds: send for no longer, in s.
    :ivar allow_remote: whether addresses beyond loopback are allowed.
    :ivar in_flight: at most so many in progress; those beyond wait, and
        their waiting counts.
    :ivar seed: seed of the order of kinds.
    """

    addresses: tuple[str, ...]
    token: str
    mix: str
    rate_per_s: float = 10
    total: int = 100
    seconds: float = 30
    allow_remote: bool = False
    in_flight: int = MAX_IN_FLIGHT
    seed: int = 1


class Progress(NamedTuple):
    """How far a run is.

    :ivar ended: requests and jobs with a verdict.
    :ivar scheduled: all that the run is to send.
    """

    ended: int
    scheduled: int


class LoadSummary(NamedTuple):
    """What a run has seen.

    :ivar mix: name of the mix.
    :ivar rate_per_s: the rate asked for.
    :ivar scheduled: requests and jobs that were to be sent.
    :ivar late_sends: those sent more than 10 ms after their time.
    :ivar seconds: length of the run, in s.
    :ivar kinds: verdicts and latencies by class.
    """

    mix: str
    rate_per_s: float
    scheduled: int
    late_sends: int
    seconds: float
    kinds: tuple[KindSummary, ...]


class _Shot(NamedTuple):
    number: int
    due_s: float
    kind: Kind
    address: str


def check_plan(plan: LoadPlan) -> Mix:
    """Check the bounds of a plan.

    :param plan: the plan.
    :returns: the mix that it names.
    :raises InvalidInputError: with every bound that it breaks.
    """
    found = [mix for mix in MIXES if mix.name == plan.mix]
    findings = list(_findings(plan))
    if not found:
        names = ', '.join(mix.name for mix in MIXES)
        findings.append(Finding('mix', f'must be one of: {names}'))
    raise_findings('load plan', findings)
    return found[0]


async def play(
    plan: LoadPlan,
    client: httpx.AsyncClient,
    on_progress: Callable[[Progress], None],
) -> LoadSummary:
    """Send the mix and collect the verdicts.

    :param plan: the plan.
    :param client: the client to send with; its pool must hold
        ``plan.in_flight`` connections.
    :param on_progress: called about once a second.
    :returns: the summary.
    :raises InvalidInputError: when the plan breaks a bound.
    """
    mix = check_plan(plan)
    shots = tuple(_schedule(plan, mix))
    run = _Run(plan, client, len(shots))
    started_s = anyio.current_time()
    async with anyio.create_task_group() as watchers:
        watchers.start_soon(run.tell_progress, on_progress)
        await _send_all(run, shots, started_s)
        watchers.cancel_scope.cancel()
    on_progress(Progress(run.tallies.ended, len(shots)))
    return LoadSummary(
        mix.name,
        plan.rate_per_s,
        len(shots),
        run.late_sends,
        round(anyio.current_time() - started_s, 3),
        run.tallies.summaries(),
    )


async def _send_all(
    run: '_Run', shots: tuple[_Shot, ...], started_s: float
) -> None:
    async with anyio.create_task_group() as group:
        for shot in shots:
            await anyio.sleep_until(started_s + shot.due_s)
            group.start_soon(run.send, shot, started_s)


class _Run:
    def __init__(
        self, plan: LoadPlan, client: httpx.AsyncClient, scheduled: int
    ) -> None:
        self.tallies = Tallies()
        self.late_sends = 0
        self._scheduled = scheduled
        self._target = Target(plan.token, uuid.uuid4().hex)
        self._caller = Caller(client, self._target)
        self._limiter = anyio.CapacityLimiter(plan.in_flight)

    async def send(self, shot: _Shot, started_s: float) -> None:
        due_s = started_s + shot.due_s
        async with self._limiter:
            self.late_sends += int(anyio.current_time() - due_s > _LATE_S)
            verdict = await self._caller.call(
                shot.address, shot.kind, shot.number, GRACE_S
            )
        elapsed_s = anyio.current_time() - due_s
        self.tallies.add(shot.kind.class_name, verdict, elapsed_s)

    async def tell_progress(
        self, on_progress: Callable[[Progress], None]
    ) -> None:
        while True:
            on_progress(Progress(self.tallies.ended, self._scheduled))
            await anyio.sleep(_PROGRESS_S)


def _schedule(plan: LoadPlan, mix: Mix) -> Iterator[_Shot]:
    draw = random.Random(plan.seed)
    weights = [kind.weight for kind in mix.kinds]
    count = min(plan.total, int(plan.rate_per_s * plan.seconds))
    kinds = draw.choices(mix.kinds, weights, k=count)
    for index, kind in enumerate(kinds):
        address = plan.addresses[index % len(plan.addresses)]
        yield _Shot(index, index / plan.rate_per_s, kind, address)


def _findings(plan: LoadPlan) -> Iterator[Finding]:
    bounds = (
        ('rate_per_s', plan.rate_per_s, MAX_RATE_PER_S),
        ('total', plan.total, MAX_TOTAL),
        ('seconds', plan.seconds, MAX_SECONDS),
        ('in_flight', plan.in_flight, MAX_IN_FLIGHT),
    )
    for place, value, most in bounds:
        if not 0 < value <= most:
            yield Finding(place, f'must be above 0 and at most {most}')
    if not plan.addresses:
        yield Finding('addresses', 'at least one is needed')
    for index, address in enumerate(plan.addresses):
        problem = _address_problem(address, plan.allow_remote)
        if problem:
            yield Finding(f'addresses[{index}]', problem)


def _address_problem(address: str, allow_remote: bool) -> str:
    host, _, port = address.rpartition(':')
    try:
        number = ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return 'must be an IP number and a port'
    if not port.isdecimal():
        return 'must end with a port'
    if number.is_loopback or allow_remote:
        return ''
    return 'is not loopback, and remote addresses were not allowed'
