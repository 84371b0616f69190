"""Tests of the HTTP API against callers that send what they should not."""

import socket
import unittest
from typing import Any, ClassVar, TypeAlias

import anyio
import httpx
import msgspec
from starlette.requests import Request
from starlette.responses import Response
from trio.testing import MockClock

from swifthoist_core.tokens import Identity, Role, make_token
from swifthoistd import replies
from swifthoistd.callers import BODY_S, Gatekeeper, read_body
from tests.programs import SECRET, WAIT_S, Program, Programs

OWNER = Identity(Role.OWNER, 'recife')
ENTRIES: dict[str, Any] = {
    'sort': {'owner': 'recife', 'class_name': 'sort', 'work': 'job'},
    'check': {
        'owner': 'recife',
        'class_name': 'check',
        'work': 'request',
        'service': 'service',
    },
}
HUGE = b'9' * 40
DEEP = b'[' * 100_000
SHAPE = b'{"parts":1,"accelerators":1}'
CATALOGUE = '/v1/catalogue/sort'


def policy(text: bytes) -> bytes:
    """A policy change with a weight of any text."""
    return b'{"expected_version":0,"policy":{"completion_weight":%b}}' % text


def job(key: bytes, rest: bytes = b'') -> bytes:
    """A job of any text."""
    return b'{"class":"sort","key":%b,"shape":%b%b}' % (key, SHAPE, rest)


Case: TypeAlias = tuple[str, str, bytes, str]

BODIES: dict[str, tuple[Case, ...]] = {
    'nested too deeply': (
        ('PUT', '/v1/policy', DEEP, 'body'),
        ('PUT', CATALOGUE, b'{"a":' * 100_000, 'body'),
        ('POST', '/v1/jobs', DEEP, 'body'),
    ),
    'not UTF-8': (
        ('PUT', '/v1/policy', b'\xff\xfe', 'body'),
        ('POST', '/v1/jobs', job(b'"\xff"'), 'body'),
        ('POST', '/v1/jobs', job(b'"\\' + b'ud800"'), 'body'),
    ),
    'no number': (
        ('PUT', '/v1/policy', policy(b'NaN'), 'body'),
        ('PUT', '/v1/policy', policy(b'1e999'), 'body'),
        ('PUT', '/v1/policy', policy(b'true'), 'policy.completion_weight'),
    ),
    'out of bounds': (
        ('PUT', '/v1/policy', policy(b'-1'), 'policy.completion_weight'),
        ('PUT', '/v1/policy', policy(HUGE), 'policy.completion_weight'),
        (
            'PUT',
            '/v1/policy',
            b'{"expected_version":%b,"policy":{}}' % HUGE,
            'expected_version',
        ),
        ('POST', '/v1/jobs', job(b'"k"', b',"expected_ms":-1'), 'expected_ms'),
        (
            'POST',
            '/v1/jobs',
            job(b'"k"', b',"expected_ms":%b' % HUGE),
            'expected_ms',
        ),
    ),
    'not what it must be': (
        ('PUT', '/v1/policy', b'{"expected_version":0}', 'policy'),
        (
            'PUT',
            '/v1/policy',
            b'{"expected_version":0,"policy":null}',
            'policy',
        ),
        ('PUT', CATALOGUE, b'null', 'document'),
        ('POST', '/v1/jobs', b'[]', 'document'),
    ),
}

PARAMETERS = (
    ('DELETE', f'{CATALOGUE}?expected_version=-1', 'expected_version'),
    ('DELETE', f'{CATALOGUE}?expected_version={"9" * 40}', 'expected_version'),
    ('DELETE', f'{CATALOGUE}?expected_version={"9" * 5_000}', None),
    ('GET', '/v1/reports/usage?month=2026-13', 'month'),
)

HEADERS: tuple[tuple[str, Any], ...] = (
    ('X-Deadline-Ms', '-5'),
    ('X-Deadline-Ms', '0'),
    ('X-Deadline-Ms', '1.5'),
    ('X-Deadline-Ms', '9' * 5_000),
    ('Idempotency-Key', 'k' * 129),
    ('X-Idempotent', 'maybe'),
    ('Content-Type', b'text/\xff'),
)


class BadCallsTest(unittest.TestCase):
    """Each bad call gets an answer that says what is wrong with it."""

    programs: ClassVar[Programs]
    entry: ClassVar[Program]

    @classmethod
    def setUpClass(cls) -> None:
        """Start one instance with an entry for each kind of work."""
        cls.programs = Programs()
        cls.addClassCleanup(cls.programs.end)
        cls.programs.start_platform(workers=1, runners=1)
        cls.entry = cls.programs.start_entry('e1')
        cls.entry.wait_ready()
        for entry_id, document in ENTRIES.items():
            change = {'expected_version': 0, 'entry': document}
            path = f'/v1/catalogue/{entry_id}'
            reply = cls.entry.call('PUT', path, json=change)
            assert reply.status_code == 200, reply.text

    def check(self, reply: httpx.Response, place: str | None) -> None:
        """The reply names the place and the instance still serves."""
        self.assertEqual(reply.status_code, 400, reply.text)
        self.assertEqual(reply.json()['outcome'], 'not_run')
        places = {found['place'] for found in reply.json()['findings']}
        self.assertIn(place or next(iter(places)), places)

    def tearDown(self) -> None:
        """No call may bring the instance down."""
        self.assertIsNone(self.entry.popen.poll(), 'the instance ended')

    def test_a_bad_body_gets_findings_and_brings_nothing_down(self) -> None:
        """Deep, huge, negative, not a number, not UTF-8, not an object."""
        for fault, cases in BODIES.items():
            for method, path, body, place in cases:
                who = OWNER if path == '/v1/jobs' else None
                with self.subTest(fault=fault, body=body[:60]):
                    reply = self.entry.call(method, path, who, content=body)
                    self.check(reply, place)

    def test_a_bad_parameter_gets_a_finding(self) -> None:
        """Numbers in the query are bounded too."""
        for method, path, place in PARAMETERS:
            with self.subTest(path=path[:60]):
                self.check(self.entry.call(method, path), place)

    def test_a_bad_header_of_a_request_gets_a_finding(self) -> None:
        """Nothing is sent to a runner for any of them."""
        before = self.entry.call('GET', '/v1/debug').json()['attempts']
        for name, text in HEADERS:
            with self.subTest(header=name, text=text[:20]):
                reply = self.entry.call(
                    'POST',
                    '/v1/requests/check',
                    OWNER,
                    headers={name: text},
                    content=b'x',
                )
                self.check(reply, name)
        after = self.entry.call('GET', '/v1/debug').json()['attempts']
        self.assertEqual(after, before)

    def test_a_key_gives_one_answer_and_serves_no_other_request(self) -> None:
        """A retry hears the answer that was kept; another body is refused."""
        headers = {'Idempotency-Key': 'lot-1', 'X-Idempotent': 'false'}
        replies_of = [
            self.entry.call(
                'POST',
                '/v1/requests/check',
                OWNER,
                headers=headers,
                content=body,
            )
            for body in (b'lot', b'lot', b'other')
        ]
        statuses = [reply.status_code for reply in replies_of]
        self.assertEqual(statuses, [200, 200, 409])
        self.assertEqual(replies_of[0].content, replies_of[1].content)
        self.assertEqual(replies_of[2].json()['outcome'], 'not_run')

    def test_an_unknown_owner_and_odd_ids_find_nothing(self) -> None:
        """Reserved characters lead to no other route."""
        stranger = Identity(Role.OWNER, 'nobody')
        cases = (
            ('POST', '/v1/requests/check', stranger, 404),
            ('POST', '/v1/requests/%00', OWNER, 404),
            ('POST', '/v1/requests/a%2Fb', OWNER, 404),
            ('GET', '/v1/catalogue/%ff%fe', None, 404),
            ('GET', '/v1/jobs/%2e%2e%2fdebug', None, 404),
            ('PUT', '/v1/catalogue/A%20b', None, 400),
        )
        change = {'expected_version': 0, 'entry': ENTRIES['sort']}
        for method, path, who, status in cases:
            with self.subTest(path=path):
                body = change if method == 'PUT' else None
                reply = self.entry.call(method, path, who, json=body)
                self.assertEqual(reply.status_code, status, reply.text)

    def test_a_head_that_is_too_large_is_turned_away(self) -> None:
        """The status is 431 and the connection is of no more use."""
        reply = self.entry.call(
            'GET', '/health/ready', headers={'X-Big': 'x' * 100_000}
        )
        self.assertEqual(reply.status_code, 431)

    def test_what_is_not_http_is_turned_away(self) -> None:
        """Such a connection is ended."""
        url = httpx.URL(self.entry.url)
        with socket.create_connection((url.host, url.port), WAIT_S) as conn:
            conn.sendall(b'\x16\x03\x01 hello\r\n\r\n')
            answer = b''.join(iter(lambda: conn.recv(4_096), b''))
        self.assertIn(b'400', answer.splitlines()[0])


class SlowSenderTest(unittest.TestCase):
    """A caller that does not send its body holds nothing for long."""

    def test_a_body_that_does_not_arrive_is_given_up(self) -> None:
        """The answer is a finding, after the stated time."""
        clock = MockClock(autojump_threshold=0)
        reply, waited_s = anyio.run(
            _call_slowly, backend='trio', backend_options={'clock': clock}
        )
        self.assertEqual(reply.status_code, 400)
        finding = msgspec.json.decode(reply.body)['findings'][0]
        self.assertEqual(finding['place'], 'body')
        self.assertAlmostEqual(waited_s, BODY_S, places=3)


async def _call_slowly() -> tuple[Response, float]:
    async def receive() -> dict[str, Any]:
        await anyio.sleep(BODY_S / 3)
        return {'type': 'http.request', 'body': b'x', 'more_body': True}

    async def handler(request: Request, identity: Identity) -> Response:
        await read_body(request)
        return replies.json_reply({})

    token = make_token(SECRET, OWNER).encode()
    headers = [(b'authorization', b'Bearer ' + token)]
    scope = {'type': 'http', 'method': 'POST', 'headers': headers}
    endpoint = Gatekeeper(SECRET).allow(handler, Role.OWNER)
    started_s = anyio.current_time()
    reply = await endpoint(Request(scope, receive))
    return reply, anyio.current_time() - started_s
