"""Tests of the load tool, on a clock that jumps."""

import json
import unittest
from collections.abc import Awaitable, Callable

import anyio
import httpx
import trio.testing

from swifthoist_cli.load import LoadPlan, LoadSummary, play
from swifthoist_cli.verdicts import KindSummary
from swifthoist_core.errors import InvalidInputError

Handler = Callable[[httpx.Request], Awaitable[httpx.Response]]
LOOPBACK = ('127.0.0.1:8080', '[::1]:8080')


def run(plan: LoadPlan, handler: Handler, told: list) -> LoadSummary:
    """Play a plan against a handler, without waiting for real."""

    async def main() -> LoadSummary:
        transport = httpx.MockTransport(handler)
        async with httpx.AsyncClient(transport=transport) as client:
            return await play(plan, client, told.append)

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)


def total(summary: LoadSummary) -> KindSummary:
    """Add the kinds of a summary up."""
    kinds = summary.kinds
    reasons: dict[str, int] = {}
    for kind in kinds:
        reasons.update(kind.reasons)
    return KindSummary(
        '',
        sum(kind.done for kind in kinds),
        sum(kind.not_run for kind in kinds),
        sum(kind.unknown for kind in kinds),
        reasons,
        max(kind.latency for kind in kinds),
    )


async def job_done(req: httpx.Request) -> httpx.Response | None:
    """Answer what is about jobs; the job ends at the second look."""
    if '/v1/jobs' not in req.url.path:
        return None
    if req.method == 'POST':
        return httpx.Response(201, json={'job_id': 'j', 'status': 'waiting'})
    await anyio.sleep(1)
    return httpx.Response(200, json={'job_id': 'j', 'status': 'done'})


class LatencyTest(unittest.TestCase):
    """Latency counts from the scheduled time."""

    def test_a_stall_shows_in_every_request_that_was_due(self) -> None:
        """Ten a second are due, but the system takes one a second."""
        lock = anyio.Lock()

        async def slow(req: httpx.Request) -> httpx.Response:
            async with lock:
                await anyio.sleep(1)
            return httpx.Response(200)

        plan = LoadPlan(LOOPBACK, 't', 'pilha-certa', 10, 5, seed=3)
        alone = plan._replace(in_flight=1)
        for bounded in (plan, alone):
            latency = total(run(bounded, slow, [])).latency
            self.assertAlmostEqual(latency.max_ms, 4_600, delta=5)

    def test_sends_do_not_wait_for_answers(self) -> None:
        """Five sends are 100 ms apart although none is answered."""
        sent: list[float] = []

        async def stuck(req: httpx.Request) -> httpx.Response:
            sent.append(anyio.current_time())
            await anyio.sleep(9)
            return httpx.Response(200)

        plan = LoadPlan(LOOPBACK, 't', 'pilha-certa', 10, 5, seed=3)
        summary = run(plan, stuck, [])
        self.assertAlmostEqual(sent[-1] - sent[0], 0.4, places=3)
        self.assertEqual(summary.late_sends, 0)


class VerdictTest(unittest.TestCase):
    """Done, not run and unknown are told apart."""

    def verdicts(self, reply: httpx.Response | Exception) -> KindSummary:
        """Play ten requests that are all answered alike."""

        async def answer(req: httpx.Request) -> httpx.Response:
            if isinstance(reply, Exception):
                raise reply
            return await job_done(req) or reply

        plan = LoadPlan(LOOPBACK, 't', 'saltamontes', 100, 10)
        return total(run(plan, answer, []))

    def test_each_answer_has_its_verdict(self) -> None:
        """Counted as done, not run, unknown."""
        refused = {'outcome': 'not_run', 'reason': 'queue is full'}
        lost = {'outcome': 'unknown', 'reason': 'no answer'}
        cases = (
            (httpx.Response(200, content=b'whole'), (10, 0, 0)),
            (httpx.Response(429, json=refused), (0, 10, 0)),
            (httpx.Response(503, json=refused), (0, 10, 0)),
            (httpx.Response(401), (0, 10, 0)),
            (httpx.Response(504, json=lost), (0, 0, 10)),
            (httpx.Response(502, content=b'<html>'), (0, 0, 10)),
            (httpx.ConnectError('refused'), (0, 10, 0)),
            (httpx.ReadTimeout('silent'), (0, 0, 10)),
            (httpx.RemoteProtocolError('cut off'), (0, 0, 10)),
        )
        for reply, expected in cases:
            with self.subTest(reply=reply):
                seen = self.verdicts(reply)
                told = (seen.done, seen.not_run, seen.unknown)
                self.assertEqual(told, expected)

    def test_a_job_has_the_verdict_of_its_end(self) -> None:
        """A look that is lost is repeated; a job that hangs is unknown."""
        cases = (
            (
                httpx.Response(201, json={'job_id': 'j', 'status': 'w'}),
                {
                    'done': 'done',
                    'refused': 'not_run',
                    'failed': 'unknown',
                    'running': 'unknown',
                },
            ),
            (
                httpx.Response(429, json={'outcome': 'not_run'}),
                {
                    'done': 'not_run',
                },
            ),
            (
                httpx.Response(201, json={'status': 'no id'}),
                {
                    'done': 'unknown',
                },
            ),
        )
        for reply, ends in cases:
            for status, expected in ends.items():
                with self.subTest(reply=reply, status=status):
                    kind = self.job_summary(reply, status)
                    self.assertGreater(
                        kind.done + kind.not_run + kind.unknown, 0
                    )
                    others = {'done', 'not_run', 'unknown'} - {expected}
                    self.assertEqual(
                        {getattr(kind, one) for one in others}, {0}
                    )

    def job_summary(self, reply: httpx.Response, status: str) -> KindSummary:
        """Play jobs that are answered and end alike."""
        looks: list[int] = []

        async def answer(req: httpx.Request) -> httpx.Response:
            if req.method == 'POST':
                return reply
            looks.append(1)
            if len(looks) % 2:
                raise httpx.ReadError('lost')
            return httpx.Response(200, json={'job_id': 'j', 'status': status})

        plan = LoadPlan(LOOPBACK, 't', 'saltamontes', 100, 60)
        kinds = run(plan, answer, []).kinds
        return next(one for one in kinds if one.class_name == 'capacity-plan')

    def test_requests_carry_what_the_interface_asks_for(self) -> None:
        """Keys are unique, and a deposit is not idempotent."""
        seen: list[httpx.Request] = []

        async def note(req: httpx.Request) -> httpx.Response:
            seen.append(req)
            return await job_done(req) or httpx.Response(200)

        plan = LoadPlan(LOOPBACK, 'secret', 'saltamontes', 100, 60)
        told: list = []
        summary = run(plan, note, told)
        self.assertEqual((told[-1].ended, told[-1].scheduled), (60, 60))
        self.assertEqual(total(summary).done, 60)
        jobs = [req for req in seen if req.url.path == '/v1/jobs']
        asked = [req for req in seen if '/v1/requests/' in req.url.path]
        keys = {json.loads(req.content)['key'] for req in jobs}
        keys |= {req.headers['Idempotency-Key'] for req in asked}
        self.assertEqual(len(keys), 60)
        for req in asked:
            charge = req.url.path.endswith('/deposit-charge')
            marked = 'false' if charge else 'true'
            self.assertEqual(req.headers['X-Idempotent'], marked)
            self.assertEqual(req.headers['Authorization'], 'Bearer secret')


class BoundsTest(unittest.TestCase):
    """The tool keeps to loopback and to its bounds."""

    def test_every_broken_bound_is_reported_and_nothing_is_sent(self) -> None:
        """All findings come together."""
        sent: list[httpx.Request] = []

        async def note(req: httpx.Request) -> httpx.Response:
            sent.append(req)
            return httpx.Response(200)

        addresses = ('10.0.0.1:80', 'example.org:80', '127.0.0.1:x')
        plan = LoadPlan(addresses, 't', 'nobody', 1_000, 0)
        with self.assertRaises(InvalidInputError) as caught:
            run(plan, note, [])
        places = {finding.place for finding in caught.exception.findings}
        expected = {f'addresses[{index}]' for index in range(3)}
        self.assertEqual(places, expected | {'rate_per_s', 'total', 'mix'})
        self.assertEqual(sent, [])

    def test_a_remote_address_is_used_only_when_allowed(self) -> None:
        """The same plan passes with the permission."""

        async def whole(req: httpx.Request) -> httpx.Response:
            return await job_done(req) or httpx.Response(200)

        plan = LoadPlan(('10.0.0.1:80',), 't', 'saltamontes', 10, 1)
        with self.assertRaises(InvalidInputError):
            run(plan, whole, [])
        allowed = plan._replace(allow_remote=True)
        self.assertEqual(total(run(allowed, whole, [])).done, 1)
