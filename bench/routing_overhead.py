"""What the request path adds to a direct call, and where the time goes."""

import cProfile
import pstats
import statistics
import time
from collections import Counter
from collections.abc import Awaitable
from pathlib import Path

import anyio
import httpx
from routing_load import OURS, Fleet, Instance, make_entry
from routing_report import Line, info

from swifthoistd.work import Done, WorkRequest

_MS_PER_S = 1_000
_ROUNDS = 150
_WORKERS = 8
_PER_WORKER = 40
_PACKAGES = ('swifthoistd', 'httpx', 'httpcore', 'h11', 'anyio', 'asyncio')


def _request(number: int) -> WorkRequest:
    return WorkRequest(
        f'req-{number}',
        'team',
        'check',
        f'key-{number}',
        True,
        b'hi',
        'text/plain',
        5_000,
    )


async def _ask(instance: Instance, number: int) -> None:
    entry = make_entry('team')
    outcome = await instance.dispatcher.send(_request(number), entry)
    if not isinstance(outcome, Done):
        raise TypeError(outcome)


async def _ask_directly(
    client: httpx.AsyncClient, url: str, number: int
) -> None:
    headers = {'Idempotency-Key': f'direct-{number}'}
    answer = await client.post(url, content=b'hi', headers=headers)
    answer.raise_for_status()


async def _time(asking: Awaitable[None]) -> float:
    began_s = time.perf_counter()
    await asking
    return time.perf_counter() - began_s


async def _compare(fleet: Fleet, instance: Instance) -> Line:
    url = f'http://{fleet.items[0].address}/requests/check'
    direct: list[float] = []
    ours: list[float] = []
    async with httpx.AsyncClient(trust_env=False) as client:
        for number in range(_ROUNDS):
            direct.append(await _time(_ask_directly(client, url, number)))
            ours.append(await _time(_ask(instance, number)))
    added_s = statistics.median(ours) - statistics.median(direct)
    return info('routing.overhead_ms_p50', added_s * _MS_PER_S, 'ms')


async def _ask_many(instance: Instance, worker: int) -> None:
    first = worker * _PER_WORKER
    for number in range(first, first + _PER_WORKER):
        await _ask(instance, number)


async def _saturate(instance: Instance) -> None:
    async with anyio.create_task_group() as tasks:
        for worker in range(_WORKERS):
            tasks.start_soon(_ask_many, instance, worker)


def _package(path: str) -> str:
    parts = Path(path).parts
    return next((name for name in _PACKAGES if name in parts), 'other')


def _shares(profile: cProfile.Profile) -> list[Line]:
    spent: Counter[str] = Counter()
    for (path, _, _), entry in pstats.Stats(profile).stats.items():
        spent[_package(path)] += entry[2]
    total = sum(spent.values())
    return [
        info(f'routing.profile.{name}', seconds / total, 'ratio')
        for name, seconds in spent.most_common()
    ]


async def measure_overhead(fleet: Fleet) -> list[Line]:
    """Compare with a direct call, and profile a saturated instance.

    :param fleet: runners that answer at once.
    :returns: the figures.
    """
    instance = Instance('i0', ['i0'], OURS)
    instance.runners.replace(fleet.items)
    added = await _compare(fleet, instance)
    began_s = time.process_time()
    await _saturate(instance)
    cpu_s = time.process_time() - began_s
    profile = cProfile.Profile()
    profile.enable()
    await _saturate(instance)
    profile.disable()
    await instance.connections.aclose()
    rate = _WORKERS * _PER_WORKER / cpu_s
    per_core = info('routing.requests_per_core_s', rate, 'requests/s')
    return [added, per_core, *_shares(profile)]
