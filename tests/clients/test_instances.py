"""Tests of the client of the list against its stand-in."""

from swifthoist_core.clock import ManualClock
from swifthoist_platform.instances import (
    InstanceClient,
    Listed,
    ListUnavailableError,
    SupersededError,
)
from swifthoist_standins.instances import TTL_MS, build_instances
from tests.loopback import LONG_MS, PATIENT_S, LoopbackTest, Target, scene

ENTRY = Listed(
    'entry-1', 'entry', '127.0.0.1:1', '127.0.0.1:2', 'zone-1', incarnation=5
)
WORKER = Listed(
    'worker-1', 'worker', '127.0.0.1:3', '', 'zone-1', 'rack-1', 5,
    accelerators=8, cores=64, memory_mib=262_144,
)  # fmt: skip
LEAVING = ENTRY._replace(state='leaving')


class ListTest(LoopbackTest):
    """The list is a hint that lags behind."""

    def build(self):
        """Build the list, with a clock that is set by hand."""
        self.clock = ManualClock()
        return build_instances(self.clock)

    def client(self, target: Target) -> InstanceClient:
        """Make a client of the list."""
        return InstanceClient(target.http, target.url, PATIENT_S)

    @scene
    async def test_lines_are_read_as_they_were_registered(self, target):
        """Every field comes back, in the order of the ids."""
        client = self.client(target)
        await client.register(WORKER)
        await client.register(ENTRY)
        self.assertEqual(await client.list(), (ENTRY, WORKER))
        await client.remove('worker-1')
        self.assertEqual(await client.list(), (ENTRY,))

    @scene
    async def test_a_line_without_heartbeats_vanishes(self, target):
        """One with heartbeats stays."""
        client = self.client(target)
        await client.register(ENTRY)
        await client.register(WORKER)
        self.clock.advance(TTL_MS - 1)
        await client.register(ENTRY)
        self.clock.advance(1)
        self.assertEqual(await client.list(), (ENTRY,))

    @scene
    async def test_the_list_lags_behind(self, target):
        """Neither a new line nor a leaving one shows before the lag."""
        client = self.client(target)
        await target.fault(lag_ms=300)
        await client.register(ENTRY)
        self.clock.advance(299)
        self.assertEqual(await client.list(), ())
        await client.leaving('entry-1')
        self.clock.advance(1)
        self.assertEqual(await client.list(), (ENTRY,))
        self.clock.advance(299)
        self.assertEqual(await client.list(), (LEAVING,))

    @scene
    async def test_leaving_lasts_until_a_newer_incarnation(self, target):
        """A heartbeat does not undo it, and the older life is refused."""
        client = self.client(target)
        await client.register(ENTRY)
        await client.leaving('entry-1')
        await client.register(ENTRY)
        self.assertEqual(await client.list(), (LEAVING,))
        newer = ENTRY._replace(incarnation=6)
        await client.register(newer)
        self.assertEqual(await client.list(), (newer,))
        with self.assertRaises(SupersededError):
            await client.register(ENTRY)

    @scene
    async def test_a_frozen_list_stays_as_it_is(self, target):
        """It takes lines, but shows them when it thaws."""
        client = self.client(target)
        await client.register(ENTRY)
        await target.fault(frozen=True)
        await client.register(WORKER)
        self.assertEqual(await client.list(), (ENTRY,))
        await target.fault(frozen=False)
        self.assertEqual(await client.list(), (ENTRY, WORKER))

    @scene
    async def test_a_list_that_is_down_says_so(self, target):
        """Also when it is cut short."""
        client = self.client(target)
        await client.register(ENTRY)
        for fault in ({'truncate': True}, {'down_ms': LONG_MS}):
            await target.fault(**fault)
            with self.assertRaises(ListUnavailableError):
                await client.list()
        with self.assertRaises(ListUnavailableError):
            await client.register(ENTRY)
