"""The demo's mixed load against running instances, and its checks."""

import random
import sys
import time
from collections import Counter
from collections.abc import Mapping
from typing import Any, TypeVar

import anyio
import httpx
import msgspec

from swifthoist_cli import demo_checks
from swifthoist_cli.client import MSGPACK
from swifthoist_cli.demo_callers import Callers, some_key
from swifthoist_cli.demo_catalogue import (
    IMPOSSIBLE_SHAPE,
    PLAN_SHAPE,
    SMALL_SHAPE,
    USERS,
    demo_entries,
)
from swifthoist_cli.demo_scene import Scene
from swifthoist_cli.verbs_reports import BURN, USAGE
from swifthoist_core.burn import BurnReport
from swifthoist_core.documents import JobDocument, ShapeDocument
from swifthoist_core.reports import UsageReport
from swifthoist_core.tokens import Identity, Role

LOAD_S = 6.0
"""How long requests keep coming, in seconds."""

RATE_PER_S = 60
"""Requests a second, over all owners."""

READY_S = 15.0
"""How long the instances may take to know the workers, in seconds."""

SETTLE_S = 12.0
"""How long jobs may take to end after the load, in seconds."""

LOAD_BEGINS = 'the load begins'
"""What the demo says when faults may be brought about."""

_STARTED_S = time.monotonic()
_SEED = 20_261_203
_POLL_S = 0.3
_PLAN_AT_S = 2.0
_SMALL_JOBS = 24
_OPERATOR = Identity(Role.OPERATOR, 'demo')
_Report = TypeVar('_Report')
_ENDED = frozenset(('done', 'failed', 'cancelled', 'refused', 'unknown'))


class Demo:
    """Plays the load and checks what came of it.

    :ivar checks: the promises that were checked.
    :ivar usage: the usage report.
    :ivar burn: the report on service-level burn.
    """

    def __init__(self, scene: Scene, http: httpx.AsyncClient) -> None:
        """Set the scene.

        :param scene: the instances and stand-ins.
        :param http: client whose connections are used.
        """
        self.checks: list[demo_checks.Check] = []
        self.usage: UsageReport | None = None
        self.burn: BurnReport | None = None
        self._scene = scene
        self._http = http
        self._callers = Callers(scene.site, http)
        self._rng = random.Random(_SEED)
        self._sizes: dict[str, int] = {}
        self._refused: list[str] = []

    async def run(self) -> None:
        """Play the whole demo."""
        await self._wait_ready()
        await self._publish()
        await self._break_worker()
        _say(LOAD_BEGINS)
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_requests)
            group.start_soon(self._send_jobs)
        _say('load is over; waiting for the jobs to end')
        await self._settle()
        await self._check()

    def summary(self) -> list[tuple[UsageReport | BurnReport, str]]:
        """The tables of the reports that fit on a screen.

        :returns: pairs of a report and the name of one of its tables.
        """
        if self.usage is None or self.burn is None:
            return []
        return [
            (self.usage, 'totals'),
            (self.usage, 'lent out'),
            (self.burn, 'budgets'),
        ]

    async def _wait_ready(self) -> None:
        """Wait as a balancer does, and until the workers are known, since
        guarantees need them."""
        wanted = len(self._scene.workers)
        with anyio.fail_after(READY_S):
            for url in self._scene.site.urls:
                while (await self._http.get(f'{url}/health/ready')).is_error:
                    await anyio.sleep(_POLL_S)
            while (await self._read('/v1/debug'))['workers'] < wanted:
                await anyio.sleep(_POLL_S)
        _say(f'{wanted} workers are known')

    async def _publish(self) -> None:
        entries = demo_entries()
        async with anyio.create_task_group() as group:
            for entry_id, entry in entries.items():
                change = {'expected_version': 0, 'entry': entry}
                path = f'/v1/catalogue/{entry_id}'
                group.start_soon(self._publish_one, path, change)
        _say(f'published {len(entries)} catalogue entries')

    async def _publish_one(self, path: str, change: object) -> None:
        reply = await self._callers.call('PUT', path, _OPERATOR, change)
        if reply is None or reply.is_error:
            detail = reply.text if reply is not None else 'no answer'
            raise RuntimeError(f'{path}: {detail}')

    async def _break_worker(self) -> None:
        worker, address = sorted(self._scene.workers.items())[-1]
        faults = {'fail_all': True}
        reply = await self._http.post(f'http://{address}/faults', json=faults)
        reply.raise_for_status()
        _say(f'worker {worker} fails everything from now on')

    async def _send_requests(self) -> None:
        async with anyio.create_task_group() as group:
            for index in range(int(LOAD_S * RATE_PER_S)):
                user = USERS[index % len(USERS)]
                team = self._rng.choice(user.teams)
                class_name = self._rng.choice((user.check, user.charge))
                key = some_key(self._rng, 'request')
                group.start_soon(self._request, team, class_name, key)
                await anyio.sleep(1 / RATE_PER_S)
        _say(f'made {len(self._callers.attempts)} requests')

    async def _request(self, team: str, class_name: str, key: str) -> None:
        idempotent = class_name in {user.check for user in USERS}
        await self._callers.request(
            team, class_name, key, idempotent=idempotent
        )

    async def _send_jobs(self) -> None:
        borrower, booking = USERS
        async with anyio.create_task_group() as group:
            for team in borrower.teams:
                for _ in range(_SMALL_JOBS):
                    group.start_soon(
                        self._submit, team, borrower.batch, SMALL_SHAPE, 3_500
                    )
        _say('small jobs borrow what is free')
        await anyio.sleep(_PLAN_AT_S)
        for user in USERS:
            for team in user.teams[:2]:
                await self._submit(team, user.plan, PLAN_SHAPE, 1_500)
        _say('gangs reclaim what their teams were guaranteed')
        await self._submit(
            borrower.teams[0], borrower.batch, IMPOSSIBLE_SHAPE, 1
        )
        for team in booking.teams:
            await self._submit(team, booking.batch, SMALL_SHAPE, 800)

    async def _submit(
        self, team: str, class_name: str, shape: ShapeDocument, run_ms: int
    ) -> None:
        document: JobDocument = {
            'class': class_name,
            'shape': shape,
            'key': some_key(self._rng, 'job'),
            'expected_ms': run_ms // 2 + 1,
            'steps': f'run_ms={run_ms}',
        }
        job = await self._callers.submit(team, document)
        if job is None:
            _say(f'job of {team} was not taken')
            return
        self._sizes[job['job_id']] = shape['parts']
        if job['status'] == 'refused':
            self._refused.append(job['reason'])
            _say(f'job of {team} was refused: {job["reason"]}')

    async def _settle(self) -> None:
        with anyio.move_on_after(SETTLE_S):
            while await self._open_jobs():
                await anyio.sleep(_POLL_S)

    async def _open_jobs(self) -> list[str]:
        jobs = (await self._read('/v1/jobs'))['jobs']
        known = {job['job_id']: job['status'] for job in jobs}
        return [
            job_id for job_id in self._sizes if known.get(job_id) not in _ENDED
        ]

    async def _check(self) -> None:
        left = await self._open_jobs()
        records = await self._read_records()
        self.usage = await self._read_report(USAGE, UsageReport)
        self.burn = await self._read_report(BURN, BurnReport)
        differences = await self._read('/v1/reports/differences')
        attempts = self._callers.attempts
        endings = Counter(item.ending.value for item in attempts)
        _say(f'requests ended: {dict(endings)}')
        reclaims = sum(line.reclaims for line in self.usage.lines)
        self.checks = [
            *demo_checks.check_requests(attempts, records),
            demo_checks.check_gangs(records, self._sizes),
            demo_checks.check_places(records),
            demo_checks.check_account(self.usage, records),
            demo_checks.Check(
                'every job came to an end', tuple(left), len(self._sizes)
            ),
            demo_checks.Check(
                'the account differs in nothing from late usage reports',
                tuple(str(item) for item in differences['differences']),
                len(self.usage.spans),
            ),
            _wanted('the impossible job was refused', len(self._refused)),
            _wanted('a guarantee was reclaimed', reclaims),
        ]

    async def _read(self, path: str) -> Any:
        reply = await self._callers.call('GET', path, _OPERATOR)
        while reply is None or reply.is_error:
            await anyio.sleep(_POLL_S)
            reply = await self._callers.call('GET', path, _OPERATOR)
        return reply.json()

    async def _read_report(self, path: str, kind: type[_Report]) -> _Report:
        reply = await self._callers.call('GET', path, _OPERATOR, accept=MSGPACK)
        while reply is None or reply.is_error:
            await anyio.sleep(_POLL_S)
            reply = await self._callers.call(
                'GET', path, _OPERATOR, accept=MSGPACK
            )
        return msgspec.msgpack.decode(reply.content, type=kind)

    async def _read_records(self) -> demo_checks.Records:
        runs: list[Mapping[str, Any]] = []
        for runner in self._scene.runners:
            runs.extend(await self._read_record(runner))
        parts = {
            worker: tuple(await self._read_record(address))
            for worker, address in self._scene.workers.items()
        }
        return demo_checks.Records(tuple(runs), parts)

    async def _read_record(self, address: str) -> list[Mapping[str, Any]]:
        reply = await self._http.get(f'http://{address}/record')
        reply.raise_for_status()
        content: list[Mapping[str, Any]] = reply.json()
        return content


async def play(scene: Scene) -> Demo:
    """Play the demo.

    :param scene: the instances and stand-ins.
    :returns: the demo with its checks and reports.
    """
    limits = httpx.Limits(max_connections=200)
    async with httpx.AsyncClient(limits=limits, trust_env=False) as http:
        demo = Demo(scene, http)
        await demo.run()
    return demo


def _wanted(promise: str, times: int) -> demo_checks.Check:
    broken = () if times else ('it did not happen',)
    return demo_checks.Check(promise, broken, times)


def _say(text: str) -> None:
    passed_s = time.monotonic() - _STARTED_S
    sys.stdout.write(f'demo {passed_s:5.1f} s: {text}\n')
    sys.stdout.flush()
