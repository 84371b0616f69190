"""An instance without web server and runners, for tests."""

from collections.abc import Awaitable, Callable

import anyio
import msgspec
from anyio.abc import TaskGroup

from swifthoist_emulator.site import HOST, STANDARD, write_config
from swifthoist_engine.cell import Cell
from swifthoist_engine.peers import Peer
from swifthoist_instance.configuration import Configuration
from swifthoist_instance.fair_turns import FairTurns
from swifthoist_instance.follower import READ_PAUSE_S, Follower
from swifthoist_instance.intake import Intake
from swifthoist_instance.journal import Journal
from swifthoist_instance.messages import Answer, Call
from swifthoist_instance.open_calls import OpenCalls
from swifthoist_instance.peers import Peers
from swifthoist_instance.recording import Recorder
from swifthoist_instance.refusals import Refusals
from swifthoist_instance.snapshotting import Snapshots
from swifthoist_instance.store_latency import StoreLatency
from swifthoist_instance.submissions import Submissions
from swifthoist_instance.tenure import Tenure, claim_delay_ms
from swifthoist_platform import names
from swifthoist_platform.endpoint import EndpointProtocol
from swifthoist_platform.store import CONFIG_KEY, OPERATOR_TOPIC
from tests.instance.fakes import GENEROUS, FakeStore, LoopClock, run

KEEP_MS = 100_000
LOG_KEEP_MS = 20_000
RECORD_BYTES = 400
REVOKE_MS = 5_000
SETTLE_S = 0.5
"""Time until an instance that starts follows the log, in seconds."""

JOB = msgspec.json.encode(
    {
        names.SPEC: 'x',
        names.STEPS: [{names.COUNT: 1, names.CPU: 1, names.MEM_MB: 1}],
    }
)


class InstanceHarness:
    """The parts of one instance that need only a store."""

    def __init__(
        self,
        name: str,
        store: FakeStore,
        cores: float = 1,
        revoke_ms: int = REVOKE_MS,
    ) -> None:
        """Connect the parts of the instance."""
        clock = LoopClock()
        self.turns = FairTurns(clock)
        self.store = store
        self.snapshots = Snapshots(store, LOG_KEEP_MS, RECORD_BYTES)
        self.follower = Follower(
            store,
            Cell(KEEP_MS),
            clock,
            self.snapshots.load,
            read_pause_s=READ_PAUSE_S + claim_delay_ms(cores) / 1_000,
        )
        self.journal = Journal(store, name, clock)
        self.configuration = Configuration(store, clock, lambda: revoke_ms)
        self.tenure = Tenure(name, self.follower, self.journal, clock, cores)
        peers = Peers(
            name, Peer('', cores), self.follower, clock, _open_nothing
        )
        self.intake = Intake(
            self.configuration,
            self.follower,
            Recorder(self.journal, peers, StoreLatency(clock)),
            peers,
            lambda: revoke_ms,
            OpenCalls(clock),
            Submissions(
                lambda: self.follower.cell,
                lambda: GENEROUS,
                self.turns,
                Refusals(clock),
            ),
        )

    def start(self, tasks: TaskGroup, *, claims: bool = False) -> None:
        """Start the background tasks; claim the cell if ``claims`` is set."""
        tasks.start_soon(self.follower.run)
        tasks.start_soon(self.journal.run)
        tasks.start_soon(self.configuration.run)
        if claims:
            tasks.start_soon(self.tenure.run)

    @property
    def epoch(self) -> int:
        """Newest epoch that the instance has folded."""
        return self.follower.cell.state.epoch

    async def call(
        self,
        method: str,
        job: str,
        content: bytes = b'',
        key: str = 'key-red',
        *,
        wait_s: float = 3,
        queue: str = 'batch',
    ) -> Answer:
        """Call the intake about a job of a queue."""
        path = f'/{queue}/{job}'
        return await self.intake.answer(
            Call(method, HOST, path, key, wait_s, content)
        )


def _open_nothing(address: str) -> EndpointProtocol:
    """Fail: no other instance can be reached."""
    raise AssertionError(f'unexpected call to {address}')


def configure(store: FakeStore, version: int = 1) -> None:
    """Publish the standard configuration."""
    content = write_config(STANDARD, version)
    store.publish(OPERATOR_TOPIC, CONFIG_KEY, content)


def run_two(
    scenario: Callable[[InstanceHarness, InstanceHarness], Awaitable[None]],
    *,
    apart: bool = False,
) -> None:
    """Run a scenario with two instances.

    :param scenario: the test.
    :param apart: faults of the first one's store don't reach the second.
    """

    async def main() -> None:
        store = FakeStore()
        configure(store)
        view = FakeStore() if apart else store
        view.topics = store.topics
        first = InstanceHarness('first', store)
        second = InstanceHarness('second', view)
        async with anyio.create_task_group() as tasks:
            first.start(tasks)
            second.start(tasks)
            await anyio.sleep(SETTLE_S)
            await scenario(first, second)
            tasks.cancel_scope.cancel()

    run(main)
