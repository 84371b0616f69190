"""Tests of clients that keep to no limit, on real processes.

Each crowd stays connected while the process is checked: it lives, its memory
and descriptors stay within its settings, and an ordinary job is served.
"""

import contextlib
import resource
from collections.abc import AsyncIterator

import anyio
import httpx
import msgspec

from swifthoist_emulator.callers import Caller
from swifthoist_emulator.crowds import Crowd, Visit, chunk_of, head_of
from swifthoist_emulator.lives import StepWork
from swifthoist_emulator.site import HOST
from swifthoist_emulator.stage import READY_PATH, Instance, Stage, wait_until
from swifthoist_platform import names
from tests.system.stage import StageCase

MEMORY_MB = 80
MAX_FDS = 300
MAX_BODY = 262_144

PATIENCE_S = 20.0
"""How long a crowd tries to send, in seconds."""

HOLD_S = 4.0
"""How long it stays before the process is checked, in seconds."""

SMALL = StepWork(300, (4_000, 8_000, 1))
JOB_PATH = '/bulk/00000000000000ff'
CHUNKED = 'Transfer-Encoding: chunked'


def _lower_limits(stage: Stage) -> None:
    for instance in stage.instances:
        instance.set_limits(MEMORY_MB, MAX_FDS)


def _pid(instance: Instance) -> int:
    assert instance.popen is not None
    return instance.popen.pid


def _submission(*lines: str) -> bytes:
    return head_of('POST', JOB_PATH, 'key-red', *lines)


def _padded(size: int) -> bytes:
    """Return a valid job whose body has a size."""
    step = {names.COUNT: 1, names.CPU: 1_000, names.MEM_MB: 10}
    body = msgspec.json.encode({names.SPEC: 'x', names.STEPS: [step]})
    return body[:-1] + b' ' * (size - len(body)) + b'}'


def _steps_body(step: bytes, size: int) -> bytes:
    """Return a body that repeats a step up to a size."""
    count = (size - 30) // (len(step) + 1)
    return b'{"%s":[%s]}' % (names.STEPS.encode(), b','.join((step,) * count))


class _Case(StageCase):
    """A crowd at one instance of two."""

    @contextlib.asynccontextmanager
    async def crowd(
        self, address: str, visit: Visit, count: int
    ) -> AsyncIterator[Crowd]:
        """Have a crowd send what it can, and stay."""
        crowd = Crowd(address, visit, count)
        await crowd.press(PATIENCE_S)
        await anyio.sleep(HOLD_S)
        try:
            yield crowd
        finally:
            await crowd.leave()

    async def check_alive(self, stage: Stage) -> None:
        """Check every process, and that the first one serves a job."""
        first = stage.instances[0]
        caller = Caller([first.callers], stage.world.checker)
        order = stage.order('/batch/', SMALL)
        self.assertEqual(await caller.submit(order), 200)
        await caller.close()
        await stage.wait_state(order, 'complete')
        for instance in stage.instances:
            assert instance.popen is not None
            self.assertIsNone(instance.popen.poll())
            self.assertLessEqual(
                instance.peak_bytes, MEMORY_MB * 1_000_000, instance.name
            )
            self.assertLessEqual(instance.descriptors, MAX_FDS)

    def check_crowd(
        self, visit: Visit, count: int, *, internal: bool = False
    ) -> None:
        """Check the processes beside a crowd at the first one."""

        async def scenario(stage: Stage) -> None:
            first = stage.instances[0]
            address = first.internal if internal else first.callers
            async with self.crowd(address, visit, count):
                await self.check_alive(stage)

        self.run_scenario(scenario, instances=2, prepare=_lower_limits)


class BodyTest(_Case):
    """Bodies of any size and form, most of them unfinished."""

    def test_bodies_that_stop_one_byte_short(self) -> None:
        """Each was kept whole for as long as its connection was open."""
        head = _submission(f'Content-Length: {MAX_BODY}')
        self.check_crowd(Visit(head, b' ' * (MAX_BODY - 1)), 300)

    def test_bodies_announced_far_over_the_limit(self) -> None:
        """They were read up to 4 MB each."""
        head = _submission('Content-Length: 1000000000')
        self.check_crowd(Visit(head, b' ' * 100_000, 40), 40)

    def test_large_chunks_far_over_the_limit(self) -> None:
        """A body without a length was read up to 4 MB."""
        piece = chunk_of(b' ' * 100_000)
        self.check_crowd(Visit(_submission(CHUNKED), piece, 40), 40)

    def test_bodies_in_pieces_that_do_not_end(self) -> None:
        """Chunked bodies just below the limit were kept, too."""
        piece = chunk_of(b' ' * 17_000)
        self.check_crowd(Visit(_submission(CHUNKED), piece, 15), 300)

    def test_tiny_chunks_that_do_not_end(self) -> None:
        """Each chunk was kept as an object of its own."""
        pieces = chunk_of(b'  ') * 1_000
        self.check_crowd(Visit(_submission(CHUNKED), pieces, 100), 60)

    def test_trailers_that_do_not_end(self) -> None:
        """The body before them was kept."""
        head = _submission(CHUNKED)
        body = chunk_of(b' ' * 262_000) + b'0\r\nX-Trailer: a'
        self.check_crowd(Visit(head, body), 300)

    def test_chunk_extensions(self) -> None:
        """Much is sent for bodies of a few bytes."""
        piece = chunk_of(b' ', f';x={"y" * 4_000}')
        self.check_crowd(Visit(_submission(CHUNKED), piece, 500), 60)

    def test_bodies_at_the_internal_address(self) -> None:
        """What instances pass on to each other was not bounded, either."""
        head = head_of(
            'POST',
            f'/v1/relay?path={JOB_PATH}',
            'key-red',
            f'Content-Length: {MAX_BODY}',
        )
        visit = Visit(head, b' ' * (MAX_BODY - 1))
        self.check_crowd(visit, 300, internal=True)


class OtherUseTest(_Case):
    """Answers that are not read, and the addresses of operators."""

    def test_answers_that_nobody_reads(self) -> None:
        """Many requests are sent ahead on each connection."""
        head = head_of('GET', JOB_PATH, 'key-red')
        self.check_crowd(Visit(head, head * 20, 100), 100)

    def test_silent_connections_at_the_internal_address(self) -> None:
        """The metrics are answered beside them."""

        async def scenario(stage: Stage) -> None:
            first = stage.instances[0]
            limit = (MAX_FDS, MAX_FDS)
            resource.prlimit(_pid(first), resource.RLIMIT_NOFILE, limit)
            async with self.crowd(first.internal, Visit(b''), 500):
                shown = await _metrics(first)
                self.assertIn('open_connections', shown)
                await self.check_alive(stage)

        self.run_scenario(scenario, instances=2, prepare=_lower_limits)

    def test_the_metrics_tell_what_was_refused(self) -> None:
        """An operator sees which limit a crowd has met."""

        async def scenario(stage: Stage) -> None:
            first = stage.instances[0]
            head = _submission('Content-Length: 1000000000')
            async with self.crowd(first.callers, Visit(head), 20):
                shown = await _metrics(first)
            figure = 'swifthoist_state{figure="refused_body_length"} 20.0'
            self.assertIn(figure, shown)
            self.assertIn('"client refused"', '\n'.join(first.lines()))

        self.run_scenario(scenario, instances=1, prepare=_lower_limits)


class WholeJobTest(_Case):
    """Whole bodies of legal size that cost far more than ordinary ones."""

    def test_jobs_of_empty_steps(self) -> None:
        """Three such jobs filled the memory of every instance."""
        body = _steps_body(b'{}', MAX_BODY)
        self._check_jobs(body, 3)

    def test_many_large_jobs(self) -> None:
        """Accepted jobs were kept in every instance, without a bound."""
        step = b'{"Count":1,"Cpu":1000,"MemMb":10,"EstimateMs":1000,"Gpu":9   }'
        self._check_jobs(_steps_body(step, 250_000), 60)

    def test_bodies_of_wrong_steps(self) -> None:
        """Each row was a finding in the answer."""
        body = _steps_body(b'1', MAX_BODY)
        head = _submission(f'Content-Length: {len(body)}')
        self.check_crowd(Visit(head, body), 30)

    def _check_jobs(self, body: bytes, count: int) -> None:
        async def scenario(stage: Stage) -> None:
            callers = stage.instances[0].callers
            async with httpx.AsyncClient(trust_env=False) as http:
                for number in range(count):
                    await self._submit(http, callers, number, body)
            await self.check_alive(stage)

        self.run_scenario(scenario, instances=2, prepare=_lower_limits)

    async def _submit(
        self, http: httpx.AsyncClient, address: str, number: int, body: bytes
    ) -> None:
        with contextlib.suppress(httpx.HTTPError):
            await http.post(
                f'http://{address}/bulk/{number + 0xF000:016x}',
                content=body,
                headers={
                    'Host': HOST,
                    names.AUTHORIZATION: 'Token key-red',
                },
                timeout=PATIENCE_S,
            )


class ConnectionTest(_Case):
    """More connections than the process has descriptors."""

    def test_silent_connections(self) -> None:
        """They took every descriptor, and readiness failed beside them."""
        self._check_descriptors(Visit(b''))

    def test_heads_that_do_not_end(self) -> None:
        """They did the same, with some bytes each."""
        head = b'POST /bulk/1 HTTP/1.1\r\nHost: a\r\nX-Long: '
        self._check_descriptors(Visit(head, b'y' * 1_000, 8))

    def test_idle_connections(self) -> None:
        """A request was served on each of them."""
        self._check_descriptors(Visit(head_of('GET', '/bulk/', 'key-red')))

    def test_unfinished_bodies_give_their_descriptors_back(self) -> None:
        """A body that stopped short held its connection for ever."""

        async def scenario(stage: Stage) -> None:
            first = stage.instances[0]
            usual = first.descriptors
            head = _submission(f'Content-Length: {MAX_BODY}')
            visit = Visit(head, b' ' * 1_000)
            async with self.crowd(first.callers, visit, 100):

                async def given_back() -> bool:
                    return first.descriptors < usual + 50

                await wait_until(given_back)
                await self.check_alive(stage)

        self.run_scenario(scenario, instances=2, prepare=_lower_limits)

    def _check_descriptors(self, visit: Visit) -> None:
        async def scenario(stage: Stage) -> None:
            first = stage.instances[0]
            limit = (MAX_FDS, MAX_FDS)
            resource.prlimit(_pid(first), resource.RLIMIT_NOFILE, limit)
            async with self.crowd(first.callers, visit, 500):
                async with httpx.AsyncClient(trust_env=False) as http:
                    url = f'http://{first.ready}{READY_PATH}'
                    reply = await http.get(url)
                self.assertEqual(reply.status_code, 200)
                await self.check_alive(stage)

        self.run_scenario(scenario, instances=2, prepare=_lower_limits)


class RefusalTest(_Case):
    """What is refused by its head, and what is not."""

    def test_the_head_decides_without_its_body(self) -> None:
        """The answer came only behind the whole body."""

        async def scenario(stage: Stage) -> None:
            address = stage.instances[0].callers
            body = 'Content-Length: 1000'
            refused = {
                head_of('POST', '/none/1', 'key-red', body): 404,
                head_of('POST', JOB_PATH, 'wrong', body): 401,
                _submission('Content-Length: 1000000000'): 413,
            }
            for head, status in refused.items():
                with self.subTest(status=status):
                    found = await _first_line(address, head)
                    self.assertIn(b' %d ' % status, found)

        self.run_scenario(scenario, instances=1, prepare=_lower_limits)

    def test_the_answer_to_a_body_over_the_limit_is_seen(self) -> None:
        """The connection was reset while the client still sent."""

        async def scenario(stage: Stage) -> None:
            address = stage.instances[0].callers
            head = _submission('Content-Length: 4000000')
            found = await _first_line(address, head + b' ' * 4_000_000)
            self.assertIn(b' 413 ', found)
            await self.check_alive(stage)

        self.run_scenario(scenario, instances=1, prepare=_lower_limits)

    def test_one_request_inside_the_limits_is_served(self) -> None:
        """A limit must not refuse an ordinary request."""

        async def scenario(stage: Stage) -> None:
            address = stage.instances[0].callers
            whole = _padded(MAX_BODY)
            small = _padded(500)
            pieces = [
                whole[at : at + 9_000] for at in range(0, MAX_BODY, 9_000)
            ]
            bodies = [
                (f'Content-Length: {MAX_BODY}', whole),
                (CHUNKED, _chunked(pieces)),
                (CHUNKED, _chunked(_split(small, 1))),
                ('Content-Length: 500\r\nExpect: 100-continue', small),
            ]
            for number, (line, body) in enumerate(bodies):
                path = f'/bulk/{number + 0xFF00:016x}'
                with self.subTest(line=line, size=len(body)):
                    head = head_of('POST', path, 'key-red', line)
                    found = await _first_line(address, head + body)
                    self.assertIn(b' 200 ', found)

        self.run_scenario(scenario, instances=1, prepare=_lower_limits)

    def test_no_other_protocol_is_spoken(self) -> None:
        """HTTP/2 has streams and windows of its own, outside the limits."""

        async def scenario(stage: Stage) -> None:
            address = stage.instances[0].callers
            settings_frame = b'\0\0\0\4\0\0\0\0\0'
            preface = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n' + settings_frame
            found = await _first_line(address, preface)
            self.assertFalse(found.startswith(b'\0\0'), found)
            for line in (
                'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'
                'HTTP2-Settings: AAMAAABkAAQCAAAAAAIAAAAA',
                'Connection: Upgrade\r\nUpgrade: websocket\r\n'
                'Sec-WebSocket-Version: 13\r\n'
                'Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==',
            ):
                head = head_of('GET', '/bulk/', 'key-red', line)
                found = await _first_line(address, head)
                self.assertNotIn(b' 101 ', found)

        self.run_scenario(scenario, instances=1, prepare=_lower_limits)


def _split(content: bytes, size: int) -> list[bytes]:
    starts = range(0, len(content), size)
    return [content[start : start + size] for start in starts]


async def _metrics(instance: Instance) -> str:
    async with httpx.AsyncClient(trust_env=False) as http:
        reply = await http.get(f'http://{instance.internal}/metrics')
    return reply.text


def _chunked(pieces: list[bytes]) -> bytes:
    return b''.join(map(chunk_of, pieces)) + b'0\r\n\r\n'


async def _first_line(address: str, sent: bytes) -> bytes:
    """Send a request, and return the first line of the final answer.

    Nothing is returned if there is no answer within some time.
    """
    host, _, port = address.rpartition(':')
    found = b''
    with anyio.move_on_after(PATIENCE_S), contextlib.suppress(Exception):
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(sent)
            while not _final_line(found):
                found += await stream.receive()
    return _final_line(found) or found


def _final_line(received: bytes) -> bytes:
    """Return the first line of an answer that is not an interim one."""
    for head in received.split(b'\r\n\r\n')[:-1]:
        line = head.split(b'\r\n')[0]
        if not line.startswith(b'HTTP/1.1 100'):
            return line
    return b''
