"""The whole system on loopback: emulator in process, instances as processes."""

import contextlib
import functools
import logging
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import anyio
import httpx
import msgspec
from anyio.abc import TaskGroup

from swifthoist_core.clock import SystemClock
from swifthoist_emulator.callers import Caller, Order
from swifthoist_emulator.lives import StepWork
from swifthoist_emulator.serving import ReservedPorts, ServedWorld
from swifthoist_emulator.site import STANDARD, write_settings
from swifthoist_platform import names
from swifthoist_platform.boot import BOOT_VARIABLE

_log = logging.getLogger(__name__)

WAIT_TIMEOUT_S = 40.0
POLL_S = 0.05
_BYTES_PER_KB = 1_024
MAX_SHOWN_LINES = 30
"""Lines of an instance's log that are shown when a scene fails."""

READY_PATH = '/-/readyz'


class Instance:
    """One instance that runs as a process.

    :ivar import_path: folders of another version of the packages, separated as
        in ``PYTHONPATH``; empty for this version.
    """

    def __init__(self, name: str, folder: Path, store: str) -> None:
        """Write its settings file; the process is not started yet."""
        self.name = name
        self.import_path = ''
        self._reserved = ReservedPorts(3)
        listen = self._reserved.addresses
        self.callers = listen[0]
        self.ready = listen[1]
        self.internal = listen[2]
        self.popen: subprocess.Popen[bytes] | None = None
        self.settings = folder / f'{name}.json'
        self.settings.write_bytes(write_settings(name, 'north', listen, store))
        self._log = folder / f'{name}.log'
        self._log_start = 0

    def set_limits(self, memory_mb: int, descriptors: int) -> None:
        """Change its settings, before it is started.

        :param memory_mb: memory of the process, in MB.
        :param descriptors: most descriptors that it may have open.
        """
        document = msgspec.json.decode(self.settings.read_bytes())
        document[names.LIMITS].update(
            {names.MEMORY_MB: memory_mb, names.MAX_FDS: descriptors}
        )
        self.settings.write_bytes(msgspec.json.encode(document))

    def start(self) -> None:
        """Start the process."""
        self._log.touch()
        self._log_start = self._log.stat().st_size
        with self._log.open('ab') as log:
            self.popen = subprocess.Popen(
                (sys.executable, '-m', 'swifthoist_instance'),
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    BOOT_VARIABLE: str(self.settings),
                    'PYTHONPATH': self.import_path,
                },
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.popen is not None
        self.popen.send_signal(number)

    def end(self) -> None:
        """Kill the process, if it runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait(WAIT_TIMEOUT_S)

    def close(self) -> None:
        """Kill the process and release its addresses."""
        self.end()
        self._reserved.close()

    def lines(self) -> list[str]:
        """Return the log lines since its last start."""
        return self._log.read_bytes()[self._log_start :].decode().splitlines()

    @property
    def peak_bytes(self) -> int:
        """Largest memory that the process has had, in bytes; 0 as it ends."""
        status = self._process_folder.joinpath('status').read_text()
        lines = dict(line.split(':', 1) for line in status.splitlines())
        return int(lines.get('VmHWM', '0').split()[0]) * _BYTES_PER_KB

    @property
    def descriptors(self) -> int:
        """Number of descriptors that the process has open."""
        return sum(1 for _ in self._process_folder.joinpath('fd').iterdir())

    @property
    def _process_folder(self) -> Path:
        assert self.popen is not None
        return Path('/proc', str(self.popen.pid))

    def holds(self) -> bool:
        """Return whether it holds the cell: its last log line on terms begins one."""
        terms = [line for line in self.lines() if '"term ' in line]
        return bool(terms) and '"term begins"' in terms[-1]


class Stage:
    """An emulated platform with instances and a caller."""

    def __init__(self, world: ServedWorld, folder: Path, count: int) -> None:
        """Prepare the instances without starting them."""
        self.world = world
        self.instances = [
            Instance(f'instance-{number}', folder, world.store_address)
            for number in range(count)
        ]
        addresses = [instance.callers for instance in self.instances]
        self.caller = Caller(addresses, world.checker)
        self._order_count = 0

    async def start(self) -> None:
        """Start the instances and wait until they are ready."""
        for instance in self.instances:
            instance.start()
        for instance in self.instances:
            await self.wait_ready(instance)

    async def wait_ready(self, instance: Instance) -> None:
        """Wait until an instance reports that it is ready."""
        async with httpx.AsyncClient(trust_env=False) as http:
            await wait_until(functools.partial(_is_ready, http, instance))

    async def holder(self) -> Instance:
        """Wait until exactly one instance holds the cell, and return it."""
        await wait_until(self._is_held)
        return next(item for item in self._alive() if item.holds())

    def order(
        self,
        prefix: str,
        *steps: StepWork,
        width: int = 1,
        key: str = 'key-red',
    ) -> Order:
        """Create a job with a new id."""
        self._order_count += 1
        return Order(f'{self._order_count:016x}', prefix, key, steps, width)

    async def wait_state(self, order: Order, state: str) -> None:
        """Wait until a job is reported in a state."""
        await wait_until(functools.partial(self._is_shown, order, state))

    async def wait_running(self, order: Order, count: int) -> None:
        """Wait until exactly ``count`` tasks of a job run."""
        await wait_until(functools.partial(self._runs, order, count))

    async def close(self) -> None:
        """End every instance and the emulator."""
        for instance in self.instances:
            instance.close()
        with anyio.CancelScope(shield=True):
            await self.caller.close()
        self.world.faults.over.set()

    def log_ends(self) -> None:
        """Log how the logs of the instances end, since they are removed."""
        for instance in self.instances:
            end = '\n'.join(instance.lines()[-MAX_SHOWN_LINES:])
            _log.error('log of %s ends:\n%s', instance.name, end)

    async def _is_held(self) -> bool:
        return sum(item.holds() for item in self._alive()) == 1

    async def _is_shown(self, order: Order, state: str) -> bool:
        return await self.caller.state(order) == state

    async def _runs(self, order: Order, count: int) -> bool:
        return len(self.world.checker.running_of(order.job)) == count

    def _alive(self) -> list[Instance]:
        return [
            item
            for item in self.instances
            if item.popen is not None and item.popen.poll() is None
        ]


async def _is_ready(http: httpx.AsyncClient, instance: Instance) -> bool:
    try:
        reply = await http.get(f'http://{instance.ready}{READY_PATH}')
    except httpx.HTTPError:
        return False
    return reply.status_code == httpx.codes.OK


async def wait_until(holds: Callable[[], Awaitable[bool]]) -> None:
    """Wait until a condition holds, or fail after a timeout."""
    with anyio.fail_after(WAIT_TIMEOUT_S):
        while not await holds():
            await anyio.sleep(POLL_S)


@contextlib.asynccontextmanager
async def open_stage(
    world: ServedWorld,
    folder: Path,
    count: int,
    prepare: Callable[[Stage], None] | None = None,
) -> AsyncIterator[Stage]:
    """Run an emulated platform with instances, and end them on exit.

    :param world: the emulated platform.
    :param folder: folder for the settings and logs of the instances.
    :param count: number of instances.
    :param prepare: called before they start; None for nothing.
    :returns: the stage, with every instance ready.
    """
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_serve, world, tasks)
        stage = Stage(world, folder, count)
        if prepare is not None:
            prepare(stage)
        try:
            await stage.start()
            yield stage
        except Exception:
            stage.log_ends()
            raise
        finally:
            await stage.close()


async def emulate_platform(
    folder: Path, count: int, show: Callable[[str], None]
) -> None:
    """Run the emulator alone until the program is interrupted.

    :param folder: folder for the settings of the instances.
    :param count: number of instances to write settings for.
    :param show: prints a line.
    """
    world = ServedWorld(STANDARD, SystemClock())
    stage = Stage(world, folder, count)
    for instance in stage.instances:
        show(f'{BOOT_VARIABLE}={instance.settings} swifthoistd')
    async with anyio.create_task_group() as tasks:
        await world.run(tasks)


async def _serve(world: ServedWorld, tasks: TaskGroup) -> None:
    await world.run(tasks)
    tasks.cancel_scope.cancel()
