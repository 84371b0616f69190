"""Run the whole system on loopback: start it, play the demo, end it.

Stand-ins, entry instances and the load are processes of their own. Each is
started here and ended here by its id.
"""

import os
import selectors
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from swifthoist_cli.demo import LOAD_BEGINS

_BIN = Path(sys.executable).parent
_SECRET = 'a-secret-for-the-demo-only'
_READY_S = 15.0
_STOP_AT_S = 3.0
_KILL_AT_S = 5.0
_END_S = 5.0
_ENTRIES = 3
_RUNNERS_PER_SERVICE = 12
_SERVICES = ('intake', 'booking')


class Process(NamedTuple):
    """One process of the demo.

    :ivar name: what it is.
    :ivar popen: the handle.
    """

    name: str
    popen: subprocess.Popen[Any]


class Stage:
    """Every process of the demo."""

    def __init__(self) -> None:
        """Start with no process."""
        self.processes: list[Process] = []
        self._env = {
            name: text
            for name, text in os.environ.items()
            if not name.startswith('SWIFTHOIST')
        }

    def start(self, name: str, *command: str, lines: int) -> list[Any]:
        """Start a process and wait until it is ready.

        :param name: what it is.
        :param command: program and arguments.
        :param lines: how many lines of JSON it prints when it is ready.
        :returns: the lines, decoded.
        """
        with open(f'build/demo-{name}.log', 'wb') as log:
            popen = subprocess.Popen(
                (str(_BIN / command[0]), *command[1:]),
                stdout=subprocess.PIPE,
                stderr=log,
                env=self._env,
            )
        self.processes.append(Process(name, popen))
        ready = _read_lines(popen, lines)
        print(f'started {name}: process {popen.pid}', flush=True)
        return ready

    def find(self, name: str) -> Process:
        """Find a process.

        :param name: what it is.
        :returns: the process.
        """
        return next(item for item in self.processes if item.name == name)

    def end_all(self) -> None:
        """End every process by its id, those before their platform."""
        entries = [item for item in self.processes if _is_entry(item)]
        others = [item for item in self.processes if not _is_entry(item)]
        for group in (entries, others):
            for process in group:
                if process.popen.poll() is None:
                    process.popen.send_signal(signal.SIGTERM)
            began = time.monotonic()
            _wait_all(group)
            spent = time.monotonic() - began
            print(f'ended {len(group)} processes in {spent:.1f} s')


def _is_entry(process: Process) -> bool:
    return process.name.startswith('entry')


def _wait_all(processes: list[Process]) -> None:
    until = time.monotonic() + _END_S
    for process in processes:
        try:
            process.popen.wait(max(until - time.monotonic(), 0))
        except subprocess.TimeoutExpired:
            print(f'killed {process.name}, which did not end')
            process.popen.kill()
            process.popen.wait()


def main() -> int:
    """Run the demo.

    :returns: 0 if every promise was kept, else 1.
    """
    Path('build').mkdir(exist_ok=True)
    stage = Stage()
    try:
        scene = _set_up(stage)
        return _play(stage, scene)
    finally:
        stage.end_all()


def _set_up(stage: Stage) -> dict[str, Any]:
    standins = ('swifthoist', 'standins')
    log = stage.start('log', *standins, 'log', lines=1)
    listed = stage.start('instances', *standins, 'instances', lines=1)
    list_url = f'http://{listed[0]["address"]}'
    workers = stage.start(
        'workers', *standins, 'workers', f'--list-url={list_url}', lines=24
    )
    runners: list[Any] = []
    for service in _SERVICES:
        runners += stage.start(
            f'runners-{service}',
            *standins,
            'runners',
            f'--list-url={list_url}',
            f'--service={service}',
            f'--runner-prefix={service}-',
            f'--runners={_RUNNERS_PER_SERVICE}',
            lines=_RUNNERS_PER_SERVICE,
        )
    log_url = f'http://{log[0]["address"]}'
    entries = [
        _start_entry(stage, index, log_url, list_url)
        for index in range(_ENTRIES)
    ]
    return {
        'urls': [f'http://{entry["address"]}' for entry in entries],
        'secret': _SECRET,
        'runners': [runner['address'] for runner in runners],
        'workers': {
            worker['instance_id']: worker['address'] for worker in workers
        },
    }


def _start_entry(
    stage: Stage, index: int, log_url: str, list_url: str
) -> dict[str, Any]:
    lines = stage.start(
        f'entry-{index}',
        'swifthoistd',
        f'--instance=entry-{index}',
        f'--zone=zone-{index}',
        '--http=127.0.0.1:0',
        '--peer=127.0.0.1:0',
        f'--log-url={log_url}',
        f'--list-url={list_url}',
        f'--secret={_SECRET}',
        '--worker-lease-ms=4000',
        '--cell-lease-ms=2000',
        '--drain-ms=300',
        lines=1,
    )
    entry: dict[str, Any] = lines[0]
    return entry


def _play(stage: Stage, scene: dict[str, Any]) -> int:
    path = Path('build/demo-scene.json')
    path.write_bytes(msgspec.json.encode(scene))
    play = subprocess.Popen(
        (str(_BIN / 'swifthoist'), 'demo', f'--scene={path}'),
        stdout=subprocess.PIPE,
        text=True,
    )
    stage.processes.append(Process('demo', play))
    faults = threading.Thread(target=_bring_faults, args=(stage, play))
    if _echo(play, until=LOAD_BEGINS):
        faults.start()
        _echo(play)
        faults.join()
    code = play.wait(_END_S)
    stopped = stage.find('entry-1').popen.wait(_END_S)
    if stopped != 0:
        print(f'the graceful shutdown ended with {stopped}, not 0')
        return 1
    return code


def _echo(play: subprocess.Popen[str], until: str = '') -> bool:
    """Pass the demo's output on, up to a line that ends with a text."""
    assert play.stdout is not None
    for line in play.stdout:
        print(line, end='', flush=True)
        if until and line.rstrip().endswith(until):
            return True
    return False


def _bring_faults(stage: Stage, play: subprocess.Popen[str]) -> None:
    started = time.monotonic()
    _wait_until(started + _STOP_AT_S, play)
    _signal(stage, 'entry-1', signal.SIGTERM, 'is stopped gracefully')
    _wait_until(started + _KILL_AT_S, play)
    _signal(stage, 'entry-2', signal.SIGKILL, 'is killed')


def _signal(stage: Stage, name: str, number: signal.Signals, what: str) -> None:
    process = stage.find(name)
    process.popen.send_signal(number)
    print(f'{name} {what}: process {process.popen.pid}', flush=True)


def _wait_until(moment: float, play: subprocess.Popen[str]) -> None:
    while time.monotonic() < moment and play.poll() is None:
        time.sleep(0.05)


def _read_lines(popen: subprocess.Popen[bytes], count: int) -> list[Any]:
    assert popen.stdout is not None
    selector = selectors.DefaultSelector()
    selector.register(popen.stdout, selectors.EVENT_READ)
    os.set_blocking(popen.stdout.fileno(), False)
    buffer = b''
    until = time.monotonic() + _READY_S
    while buffer.count(b'\n') < count:
        left = until - time.monotonic()
        if left <= 0 or popen.poll() is not None:
            raise RuntimeError(f'{popen.args!r} did not get ready')
        if selector.select(left):
            buffer += popen.stdout.read() or b''
    return [msgspec.json.decode(line) for line in buffer.splitlines()]


if __name__ == '__main__':
    sys.exit(main())
