"""Memory and descriptors of an instance beside clients that keep to no limit.

Each crowd is at one of two instances, which have what a machine of the sites
has. Each figure is one line of JSON. An ordinary job is submitted beside each
crowd, and the bench fails if it is not accepted.
"""

import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import anyio

from bench.placement import show
from swifthoist_core.clock import SystemClock
from swifthoist_emulator.callers import Caller
from swifthoist_emulator.crowds import Crowd, Visit, chunk_of, head_of
from swifthoist_emulator.lives import StepWork
from swifthoist_emulator.serving import ServedWorld
from swifthoist_emulator.site import MAX_BODY_BYTES, STANDARD
from swifthoist_emulator.stage import Stage, open_stage

INSTANCES = 2
MEMORY_MB = 300
MAX_FDS = 4_100

PATIENCE_S = 60.0
"""How long a crowd tries to send, in seconds."""

HOLD_S = 4.0
"""How long it stays before the process is looked at, in seconds."""

ACCEPTED = 200
MB = 1_000_000

_PATH = '/bulk/00000000000000ff'
_SMALL = StepWork(300, (4_000, 8_000, 1))


class Case(NamedTuple):
    """A crowd.

    :ivar name: its name.
    :ivar visit: what each client does.
    :ivar count: number of clients.
    """

    name: str
    visit: Visit
    count: int


def cases() -> Iterator[Case]:
    """Yield the crowds."""
    whole = head_of(
        'POST', _PATH, 'key-red', f'Content-Length: {MAX_BODY_BYTES}'
    )
    long = head_of('POST', _PATH, 'key-red', 'Content-Length: 1000000000')
    chunked = head_of('POST', _PATH, 'key-red', 'Transfer-Encoding: chunked')
    large = chunk_of(b' ' * 100_000)
    tiny = chunk_of(b'  ') * 1_000
    trailer = chunk_of(b' ' * 262_000) + b'0\r\nX-Trailer: a'
    yield Case(
        'one_byte_short', Visit(whole, b' ' * (MAX_BODY_BYTES - 1)), 1_600
    )
    yield Case('pieces', Visit(chunked, chunk_of(b' ' * 17_000), 15), 1_600)
    yield Case('trailers', Visit(chunked, trailer), 1_600)
    yield Case('announced', Visit(long, b' ' * 100_000, 40), 150)
    yield Case('large_chunks', Visit(chunked, large, 40), 150)
    yield Case('tiny_chunks', Visit(chunked, tiny, 100), 250)
    yield Case('silent', Visit(b''), 4_500)


async def measure(stage: Stage, case: Case) -> bool:
    """Measure an instance beside a crowd.

    :param stage: the running system.
    :param case: the crowd.
    :returns: whether every bound holds.
    """
    first = stage.instances[0]
    crowd = Crowd(first.callers, case.visit, case.count)
    await crowd.press(PATIENCE_S)
    await anyio.sleep(HOLD_S)
    caller = Caller([first.callers], stage.world.checker)
    status = await caller.submit(stage.order('/batch/', _SMALL))
    await caller.close()
    name = f'crowds.{case.name}'
    holds = show(f'{name}.peak', first.peak_bytes / MB, 'MB', MEMORY_MB)
    holds &= show(f'{name}.descriptors', first.descriptors, '', MAX_FDS)
    await crowd.leave()
    return holds and status == ACCEPTED


async def measure_case(folder: Path, case: Case) -> bool:
    """Measure a crowd at a new system.

    :param folder: where settings and logs are written.
    :param case: the crowd.
    :returns: whether every bound holds.
    """
    world = ServedWorld(STANDARD, SystemClock())
    async with open_stage(world, folder, INSTANCES, _set_limits) as stage:
        return await measure(stage, case)


def _set_limits(stage: Stage) -> None:
    for instance in stage.instances:
        instance.set_limits(MEMORY_MB, MAX_FDS)


def main() -> int:
    """Run the benchmark.

    :returns: 0 if every bound holds, else 1.
    """
    holds = True
    for case in cases():
        with tempfile.TemporaryDirectory() as folder:
            holds &= anyio.run(measure_case, Path(folder), case)
    return int(not holds)


if __name__ == '__main__':
    sys.exit(main())
