"""A cell's holder with stand-ins of workers, all in one process."""

from collections.abc import Awaitable, Callable

import anyio
import anyio.lowlevel
import httpx
import trio
import trio.testing

from swifthoist_core import records
from swifthoist_core.jobs import Job
from swifthoist_core.ledger import Verdict
from swifthoist_core.records import PartPlacement, Record
from swifthoist_core.shapes import GuaranteedShape, Shape, WorkerSpec
from swifthoist_platform.orders import PartKey, RenewOrder
from swifthoist_standins.gate import FaultGate
from swifthoist_standins.places import Capacity
from swifthoist_standins.worker import build_worker
from swifthoistd.commands import Commands
from swifthoistd.gangs import GangRunner
from swifthoistd.parts import PartBoard, WorkerAnswer
from tests.core.builders import Book, job_entry, spec

LEASE_MS = 4_000
_MS_PER_S = 1_000
_LONGEST_S = 600
_START_MS = 1_000_000


class TrioClock:
    """The virtual clock of trio, as the project asks for it."""

    def boot_ms(self) -> int:
        """Milliseconds of virtual time."""
        return _START_MS + int(trio.current_time() * _MS_PER_S)

    def wall_ms(self) -> int:
        """Milliseconds of virtual time."""
        return self.boot_ms()


class Site:
    """Two workers of eight accelerators and the holder that commands them.

    ``alive`` names the workers that can be reached.
    """

    def __init__(self, workers: int = 2) -> None:
        """Set the site up."""
        self.clock = TrioClock()
        self.book = Book()
        self.book.now_ms = self.clock.wall_ms() + 1
        self.book.claim()
        self.gates: dict[str, FaultGate] = {}
        mounts: dict[str, httpx.AsyncBaseTransport | None] = {}
        for index in range(workers):
            name = f'w{index}'
            address = f'127.0.0.{index + 1}:80'
            gate = build_worker(Capacity(8, 64, 262_144), self.clock)
            self.gates[name] = gate
            mounts[f'http://{address}'] = httpx.ASGITransport(gate)
            worker = WorkerSpec(name, 1, address, 'z', 'r', 8, 64, 262_144)
            self.book.append(records.WorkerJoined(1, worker))
        self.http = httpx.AsyncClient(mounts=mounts)
        ledger = self.book.ledger
        self.board = PartBoard(self.clock)
        self.commands = Commands(self.http, ledger, LEASE_MS)
        self.gangs = GangRunner(
            ledger, self, self.commands, self.board, self.clock, LEASE_MS
        )

    async def commit(self, record: Record, timeout_s: float) -> Verdict:
        """Append a record and fold it, as the journal does."""
        await anyio.lowlevel.checkpoint()
        self.book.now_ms = max(self.book.now_ms, self.clock.wall_ms())
        return self.book.append(record)

    def place(self, job_id: str, steps: str, *, lent: bool = False) -> Job:
        """Submit a gang of two whole workers and give it its place."""
        shape = Shape(2, 8)
        promised = GuaranteedShape(shape)
        self.book.publish(job_entry('a', *(() if lent else (promised,))))
        if lent:
            self.book.publish(job_entry('b', promised))
        job = spec(job_id, 'a', shape)._replace(steps=steps)
        self.book.append(records.JobSubmitted(job, job_id))
        parts = tuple(PartPlacement(f'w{index}', 0, 8) for index in range(2))
        placed = self.book.append(records.JobPlaced(1, job_id, 1, parts, lent))
        assert placed.accepted, placed.reason
        return self.job(job_id)

    def job(self, job_id: str) -> Job:
        """Find a job in the ledger."""
        job = self.book.ledger.jobs.get(job_id)
        assert job is not None
        return job

    def ask(self, job_id: str) -> None:
        """Submit a gang of two workers for a team that is promised one."""
        self.book.append(
            records.JobSubmitted(spec(job_id, 'b', Shape(2, 8)), job_id)
        )

    def cancel(self, job_id: str) -> None:
        """Let the owner take a job back."""
        self.book.append(records.JobCancelled(job_id, 'a'))

    async def fault(self, name: str, **faults: bool) -> None:
        """Let a worker misbehave."""
        address = self.address(name)
        reply = await self.http.post(f'http://{address}/faults', json=faults)
        reply.raise_for_status()

    def address(self, name: str) -> str:
        """Find where a worker is."""
        spec = self.book.ledger.fleet.spec(name)
        assert spec is not None
        return spec.address

    async def runs(self, name: str) -> list[dict[str, int | str]]:
        """Read what a worker recorded."""
        reply = await self.http.get(f'http://{self.address(name)}/record')
        lines: list[dict[str, int | str]] = reply.json()
        return lines

    async def renew(self, only: str = '', epoch: int = 1) -> None:
        """Renew every running part once and note what the workers say."""
        ledger = self.book.ledger
        for worker in ledger.fleet.specs():
            client = self.commands.client(worker.worker)
            if client is None or only not in {'', worker.worker}:
                continue
            keys = tuple(
                PartKey(job.spec.job_id, job.attempt, index)
                for job in ledger.jobs.open_jobs()
                for index, part in enumerate(job.parts)
                if part.worker == worker.worker
            )
            states = await client.renew(RenewOrder(epoch, keys, LEASE_MS))
            self.board.note(WorkerAnswer(worker.worker, True, states))


def play(scene: Callable[[], Awaitable[None]]) -> None:
    """Play a scene on a clock that jumps over every wait."""

    async def main() -> None:
        with anyio.fail_after(_LONGEST_S):
            await scene()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
