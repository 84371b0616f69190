"""The programs as processes, for tests that need them whole."""

import os
import selectors
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import httpx
import msgspec

from swifthoist_core.tokens import Identity, Role, make_token

BIN = Path(sys.executable).parent
SECRET = 'a-secret-for-the-tests'
WAIT_S = 30.0
_POLL_S = 0.05


class Programs:
    """Processes of one test; each is ended by its id at the end."""

    def __init__(self) -> None:
        """Start with none."""
        self._started: list[subprocess.Popen[bytes]] = []
        self._env = {
            name: text
            for name, text in os.environ.items()
            if not name.startswith('SWIFTHOIST')
        }
        self.log_url = ''
        self.list_url = ''

    def start(self, *command: str, lines: int = 1) -> 'Program':
        """Start a program and wait for its lines of readiness."""
        popen = subprocess.Popen(
            (str(BIN / command[0]), *command[1:]),
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            env=self._env,
        )
        self._started.append(popen)
        return Program(popen, _read_lines(popen, lines))

    def start_platform(self, workers: int = 0, runners: int = 0) -> 'Program':
        """Start all stand-ins in one process."""
        program = self.start(
            'swifthoist',
            'standins',
            'all',
            f'--workers={workers}',
            f'--runners={runners}',
            '--work-ms=50',
            lines=2 + workers + runners,
        )
        for line in program.ready:
            if line['kind'] == 'log':
                self.log_url = f'http://{line["address"]}'
            if line['kind'] == 'instances':
                self.list_url = f'http://{line["address"]}'
        return program

    def start_entry(self, name: str, *flags: str) -> 'Program':
        """Start an entry instance."""
        return self.start(
            'swifthoistd',
            f'--instance={name}',
            '--zone=zone-0',
            '--http=127.0.0.1:0',
            '--peer=127.0.0.1:0',
            f'--log-url={self.log_url}',
            f'--list-url={self.list_url}',
            f'--secret={SECRET}',
            '--drain-ms=300',
            *flags,
        )

    def end(self) -> None:
        """End every process that still runs."""
        for popen in self._started:
            if popen.poll() is None:
                popen.send_signal(signal.SIGCONT)
                popen.kill()
            popen.wait(WAIT_S)
            if popen.stdout is not None:
                popen.stdout.close()


class Program:
    """One process and the lines that it printed when it was ready."""

    def __init__(
        self, popen: subprocess.Popen[bytes], ready: list[dict[str, Any]]
    ) -> None:
        """Keep both."""
        self.popen = popen
        self.ready = ready

    @property
    def url(self) -> str:
        """Base URL of the first listener."""
        return f'http://{self.ready[0]["address"]}'

    def addresses(self, kind: str) -> list[str]:
        """Addresses of the listeners of a kind."""
        return [line['address'] for line in self.ready if line['kind'] == kind]

    def call(
        self,
        method: str,
        path: str,
        identity: Identity | None = None,
        **options: Any,
    ) -> httpx.Response:
        """Make one call, as an operator unless another identity is given."""
        who = identity or Identity(Role.OPERATOR, 'tester')
        headers = {'Authorization': f'Bearer {make_token(SECRET, who)}'}
        headers.update(options.pop('headers', {}))
        with httpx.Client(trust_env=False, timeout=WAIT_S) as http:
            return http.request(
                method, f'{self.url}{path}', headers=headers, **options
            )

    def wait_ready(self) -> None:
        """Wait until the balancer would send work."""
        self.wait_for(lambda: self._is_ready())

    def wait_for(self, condition: Any) -> None:
        """Wait until something holds, or fail."""
        until = time.monotonic() + WAIT_S
        while not condition():
            if time.monotonic() > until:
                raise AssertionError('it did not come about in time')
            time.sleep(_POLL_S)

    def _is_ready(self) -> bool:
        return self.call('GET', '/health/ready').status_code == 200


def _read_lines(
    popen: subprocess.Popen[bytes], count: int
) -> list[dict[str, Any]]:
    assert popen.stdout is not None
    selector = selectors.DefaultSelector()
    selector.register(popen.stdout, selectors.EVENT_READ)
    os.set_blocking(popen.stdout.fileno(), False)
    buffer = b''
    until = time.monotonic() + WAIT_S
    while buffer.count(b'\n') < count:
        left = until - time.monotonic()
        if left <= 0 or popen.poll() is not None:
            raise AssertionError(f'{popen.args!r} did not get ready')
        if selector.select(left):
            buffer += popen.stdout.read() or b''
    return [msgspec.json.decode(line) for line in buffer.splitlines()]
