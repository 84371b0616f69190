"""Tests of the runner's stand-in over loopback."""

import base64
import hashlib

import anyio
import httpx

from swifthoist_core.clock import SystemClock
from swifthoist_standins.runner import BODY_LIMIT, RunnerLimits, build_runner
from tests.loopback import HASTY_S, LONG_MS, LoopbackTest, Target, scene

BODY = b'lot 7, swollen'


async def ask(target: Target, request_id: str, **headers: str):
    """Send a request to the runner."""
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    return await target.http.post(
        f'{target.url}/requests/hazard-check',
        content=BODY,
        headers={'X-Request-Id': request_id, **named},
    )


async def wait_present(target: Target, count: int) -> None:
    """Wait until the runner has so many requests."""
    present = -1
    while present != count:
        reply = await target.http.get(f'{target.url}/health')
        present = reply.json()['present']


class RunnerTest(LoopbackTest):
    """A runner answers whole, or says that it did not run."""

    limits = RunnerLimits(slots=1, connections=2, work_ms=0)

    def build(self):
        """Build the runner."""
        return build_runner(SystemClock(), self.limits)

    @scene
    async def test_an_answer_belongs_to_its_request(self, target):
        """It carries the id, the key, the digest and the whole body."""
        reply = await ask(target, 'r1', Idempotency_Key='k', X_Owner='t')
        answer = reply.json()
        self.assertEqual(answer['request_id'], 'r1')
        self.assertEqual(answer['key'], 'k')
        digest = hashlib.sha256(BODY).hexdigest()
        self.assertEqual(answer['digest'], digest)
        self.assertEqual(base64.b64decode(answer['body']), BODY)
        run = (await target.record())[0]
        named = (run['key'], run['owner'], run['class_name'])
        self.assertEqual(named, ('k', 't', 'hazard-check'))
        self.assertGreaterEqual(run['ended_ms'], run['started_ms'])

    @scene
    async def test_what_does_not_run_is_refused_as_not_run(self, target):
        """Too late for a slot, too large, or without an id."""
        async with anyio.create_task_group() as group:
            await self.occupy(target, group)
            late = await ask(target, 'r2', X_Deadline_Ms='50')
            self.assertEqual(late.status_code, 503)
            self.assertEqual(late.headers['x-not-run'], '1')
            nameless = await ask(target, '')
            self.assertEqual(nameless.headers['x-not-run'], '1')
            large = await target.http.post(
                f'{target.url}/requests/x', content=bytes(BODY_LIMIT + 1)
            )
            self.assertEqual(large.status_code, 413)
            self.assertEqual(large.headers['x-not-run'], '1')
            ran = [run['request_id'] for run in await target.record()]
            self.assertEqual(ran, ['r1'])
            group.cancel_scope.cancel()

    @scene
    async def test_more_than_the_connections_are_refused(self, target):
        """One in work and one that waits are all there may be."""
        async with anyio.create_task_group() as group:
            await self.occupy(target, group)
            group.start_soon(ask, target, 'r2')
            await wait_present(target, 2)
            refused = await ask(target, 'r3')
            self.assertEqual(refused.status_code, 503)
            self.assertEqual(refused.headers['x-not-run'], '1')
            group.cancel_scope.cancel()

    @scene
    async def test_a_runner_that_is_down_runs_nothing_and_says_so(self, target):
        """The refusal is as good as the runner's own."""
        await target.fault(down_ms=LONG_MS)
        refused = await ask(target, 'r1')
        self.assertEqual(refused.status_code, 503)
        self.assertEqual(refused.headers['x-not-run'], '1')
        self.assertEqual(await target.record(), [])

    @scene
    async def test_a_failed_run_is_on_the_record(self, target):
        """It ran, so it is not refused as not run."""
        await target.fault(fail_all=True)
        failed = await ask(target, 'r1')
        self.assertEqual(failed.status_code, 500)
        self.assertNotIn('x-not-run', failed.headers)
        self.assertEqual(len(await target.record()), 1)

    @scene
    async def test_a_truncated_answer_is_seen_by_the_client(self, target):
        """The body is shorter than its length says."""
        await target.fault(truncate=True)
        with self.assertRaises(httpx.RemoteProtocolError):
            await ask(target, 'r1')

    @scene
    async def test_silent_connections_stay_so_and_new_ones_work(self, target):
        """Nothing that came over a silent one runs."""
        await ask(target, 'r1')
        await target.fault(silence_connections=True)
        old = target.http
        old.timeout = httpx.Timeout(HASTY_S)
        with self.assertRaises(httpx.ReadTimeout):
            await ask(target, 'r2')
        async with httpx.AsyncClient(trust_env=False) as fresh:
            reply = await ask(Target(target.address, fresh), 'r3')
        self.assertEqual(reply.status_code, 200)
        ran = [run['request_id'] for run in await target.record()]
        self.assertEqual(ran, ['r1', 'r3'])

    @scene
    async def test_faults_are_checked_and_read_back(self, target):
        """Every wrong field is named, and none takes effect."""
        url = f'{target.url}/faults'
        wrong = {'work_ms': -1, 'frozen': True, 'fail_all': True}
        reply = await target.http.post(url, json=wrong)
        self.assertEqual(reply.status_code, 422)
        places = [finding[0] for finding in reply.json()]
        self.assertEqual(places, ['work_ms', 'frozen'])
        self.assertEqual((await target.http.get(url)).json(), {})
        await target.fault(late_ms=1)
        shown = (await target.http.get(url)).json()
        self.assertEqual(shown, {'late_ms': 1})

    async def occupy(self, target: Target, group) -> None:
        """Keep the only slot busy for the rest of the test."""

        async def work() -> None:
            await ask(target, 'r1', X_Work_Ms=str(LONG_MS))

        group.start_soon(work)
        await wait_present(target, 1)


class EagerRunnerTest(LoopbackTest):
    """A runner that refuses what would have to wait."""

    def build(self):
        """Build the runner."""
        limits = RunnerLimits(slots=1, work_ms=LONG_MS, refuse_busy=True)
        return build_runner(SystemClock(), limits)

    @scene
    async def test_a_request_beyond_the_slots_is_refused_at_once(self, target):
        """With the status for too many requests."""
        async with anyio.create_task_group() as group:
            group.start_soon(ask, target, 'r1')
            await wait_present(target, 1)
            refused = await ask(target, 'r2')
            self.assertEqual(refused.status_code, 429)
            self.assertEqual(refused.headers['x-not-run'], '1')
            group.cancel_scope.cancel()
