"""What the cases 11 to 15 share: a small deployment on loopback.

The platform is the project's own emulator, in this process. Instances run as
processes of their own, with the command of the deploy file.
"""

import os
import signal
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT / 'target' / 'deps'), str(ROOT / 'target' / 'review-3')]

import anyio
import httpx
import msgspec
from swifthoist_core.clock import SystemClock
from swifthoist_emulator import callers, serving, site, store_calls
from swifthoist_emulator.lives import StepWork

TROUBLE = os.environ.get('TROUBLE', '1')
LIMIT_S = 115
HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEATS_S = 4.5
"""Three heartbeats of a runner, after which its entry is removed."""


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, folder):
        folder = os.environ.get('RECORD_FOLDER', folder)
        self._file = (Path(folder) / 'record.txt').open('w')
        self._began = time.monotonic()

    def now(self):
        """Return the time since the case began, in seconds."""
        return time.monotonic() - self._began

    def __call__(self, text):
        line = f'{self.now():8.3f} {text}'
        self._file.write(line + '\n')
        self._file.flush()
        print(line, flush=True)


class World(serving.ServedWorld):
    """The emulated platform, where entries of crashed runners last longer.

    A runner that crashes sends nothing; its entry is removed after three
    heartbeat intervals of silence; that of one that has left is removed at once.

    :ivar left: ids of runners that left as planned.
    """

    left = frozenset()

    async def _register(self):
        from swifthoist_emulator import world as module

        listed = {}
        silent_since = {}
        while True:
            entries = {
                host.runner: module._entry(host, self._now_ms())
                for host in self.fleet.hosts.values()
                if host.life is not None
            }
            for runner, entry in entries.items():
                silent_since.pop(runner, None)
                if listed.get(runner) != entry:
                    self.store.put(module.RUNNER_TOPIC, runner, entry)
                    listed[runner] = entry
            for runner in listed.keys() - entries.keys():
                since = silent_since.setdefault(runner, time.monotonic())
                silent_s = time.monotonic() - since
                if silent_s >= HEARTBEATS_S or runner in self.left:
                    self.store.put(module.RUNNER_TOPIC, runner, b'')
                    listed.pop(runner)
                    silent_since.pop(runner)
            await anyio.sleep(0.1)

    def use_store(self, store):
        """Replace the store, before anything runs."""
        self.store = store
        self.machines.store = store


class Instance:
    """One instance, a process of its own."""

    def __init__(self, name, folder, world, record, platform):
        self.name = name
        self._folder = folder
        self._record = record
        self._reserved = serving.ReservedPorts(3)
        listen = self._reserved.addresses
        self.callers, self.ready, self.internal = listen
        document = msgspec.json.decode(
            site.write_settings(name, 'north', listen, world.store_address)
        )
        document['Limits'].update(
            {'CpuShare': 0.537, 'Cores': 2, 'MemoryMb': 300, 'MaxFds': 4100}
        )
        document['platform'].update(
            {
                'form': 'log', 'WritesPerS': 800, 'ReadsPerS': 2000,
                'parts': 12, 'AppendMs': 2.0, 'PartitionMbS': 20.0,
                'ReadMbS': 80.0, 'RecordBytes': 262144,
                'CallBytes': 2097152, 'keep_s': 300, 'PartMb': 200,
                'TtlMinMs': 1000, **platform,
            }
        )
        self.settings = folder / f'{name}.json'
        self.settings.write_bytes(msgspec.json.encode(document))
        self.popen = None

    def start(self):
        kept = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self.popen = subprocess.Popen(
                ('python3', '-m', 'swifthoist_instance'),
                cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={
                    **kept,
                    'SWIFTHOIST_BOOT': str(self.settings),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                },
            )
        self._record(f'{self.name} started')

    def kill(self):
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGKILL)
            self.popen.wait(10)
            self._record(f'{self.name} killed')

    def close(self):
        self.kill()
        self._reserved.close()

    def log(self):
        path = self._folder / f'{self.name}.log'
        return path.read_text() if path.exists() else ''


class Stage:
    """The deployment of a case."""

    def __init__(self, world, folder, record, count, platform):
        self.world = world
        self.record = record
        self.instances = [
            Instance(f'edge-{number}', folder, world, record, platform)
            for number in range(count)
        ]
        self.http = httpx.AsyncClient(trust_env=False)

    async def until(self, what, test, limit_s=30.0):
        """Wait for a condition; the case can't run if it does not come."""
        end = time.monotonic() + limit_s
        while True:
            found = test()
            if hasattr(found, '__await__'):
                found = await found
            if found:
                return found
            if time.monotonic() > end:
                raise TimeoutError(f'not in {limit_s} s: {what}')
            await anyio.sleep(0.02)

    async def is_ready(self, instance):
        try:
            reply = await self.http.get(
                f'http://{instance.ready}/-/readyz', timeout=1.0
            )
        except httpx.HTTPError:
            return False
        return reply.status_code == 200

    async def start(self):
        for instance in self.instances:
            instance.start()
        await self.all_ready()

    async def all_ready(self):
        for instance in self.instances:
            await self.until(
                f'{instance.name} ready',
                lambda it=instance: self.is_ready(it),
                45.0,
            )
            self.record(f'{instance.name} ready')

    async def call(self, instance, method, path, body=None, key='key-red'):
        """Call as a client; return status and body, status 0 for no answer."""
        headers = {
            'Host': site.HOST, 'Authorization': f'Token {key}',
            'Deadline-Ms': '3000',
        }
        try:
            reply = await self.http.request(
                method, f'http://{instance.callers}{path}', content=body,
                headers=headers, timeout=3.0,
            )
        except httpx.HTTPError as exc:
            self.record(f'{method} {path} at {instance.name}: none, {exc!r}')
            return 0, b''
        self.record(
            f'{method} {path} at {instance.name}: '
            f'{reply.status_code} {reply.content[:160].decode()}'
        )
        return reply.status_code, reply.content

    async def state(self, instance, path):
        """Return the state shown for a job; the status if there is none."""
        status, content = await self.call(instance, 'GET', path)
        if status != 200:
            return str(status)
        return msgspec.json.decode(content).get('State', '')

    def running(self, job):
        """Return the hosts and tasks of a job that run."""
        return [
            (host, run)
            for host in self.world.fleet.hosts.values()
            if host.life is not None
            for run in host.life.runs.values()
            if run.task.job == job
        ]


def order(number, prefix, *steps, width=1):
    """Make a job; return its path and body."""
    made = callers.Order(f'{number:016x}', prefix, 'key-red', steps, width)
    return made.job, prefix + made.job, callers.write_job(made)


def run_case(folder, case, *, count=3, platform=None, prepare=None):
    """Run a case and exit with its result."""
    record = Record(folder)
    result = NOT_RUN
    os.environ.setdefault('PYTHONHASHSEED', '0')

    async def main():
        nonlocal result
        world = World(site.STANDARD, SystemClock())
        if prepare is not None:
            prepare(world, record)
        world.store.pace = store_calls.USUAL_PACE
        with tempfile.TemporaryDirectory() as name:
            stage = Stage(world, Path(name), record, count, platform or {})
            async with anyio.create_task_group() as tasks:
                world.case_tasks = tasks
                tasks.start_soon(world.run, tasks)
                try:
                    with anyio.fail_after(LIMIT_S):
                        await stage.start()
                        result = await case(stage, record)
                except (Exception, KeyboardInterrupt):
                    record('could not run: ' + traceback.format_exc())
                    result = NOT_RUN
                finally:
                    for instance in stage.instances:
                        instance.close()
                    for word in os.environ.get('SHOW', '').split(','):
                        for instance in stage.instances:
                            for line in instance.log().splitlines():
                                if word and word in line:
                                    print(instance.name, line)
                    with anyio.CancelScope(shield=True):
                        await stage.http.aclose()
                    world.faults.over.set()
                    tasks.cancel_scope.cancel()

    anyio.run(main)
    record(f'result {result}: ' + ('held', 'BROKEN', 'could not run')[result])
    # An error of the script itself would exit with 1; run.sh translates.
    sys.exit(10 if result == BROKEN else result)


__all__ = ['BROKEN', 'HELD', 'NOT_RUN', 'TROUBLE', 'StepWork', 'order', 'run_case']
