"""The composition root: wires an instance and runs it."""

import logging
import os
import signal
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup

from swifthoist_core.clock import Clock
from swifthoist_core.types import InstanceId, Millis
from swifthoist_engine.cell import Cell
from swifthoist_engine.evacuation import ZoneLine, zone_lines
from swifthoist_engine.model import SiteTerms
from swifthoist_instance.api import Api
from swifthoist_instance.cold_zones import ColdZones
from swifthoist_instance.configuration import Configuration
from swifthoist_instance.evacuations import ZoneGate
from swifthoist_instance.faults import Aside, Faults
from swifthoist_instance.follower import GATHER_S, Follower
from swifthoist_instance.holding import Holding
from swifthoist_instance.intake import Intake
from swifthoist_instance.journal import Journal
from swifthoist_instance.jsonlogs import BoundedHandler
from swifthoist_instance.learned import LearnedView
from swifthoist_instance.lives import LifeCounts
from swifthoist_instance.metrics import Metrics
from swifthoist_instance.parts import Parts
from swifthoist_instance.registry import Registry
from swifthoist_instance.settings import MovingEndpoint, Settings
from swifthoist_instance.snapshotting import Snapshots
from swifthoist_instance.supervision import keep_going
from swifthoist_instance.tenure import LIFE_MARK, Tenure, claim_delay_ms
from swifthoist_instance.turns import Turns
from swifthoist_instance.web import Phase, Web, serve_web
from swifthoist_platform.advice import AdviceClient
from swifthoist_platform.documents import Registration
from swifthoist_platform.endpoint import EndpointProtocol
from swifthoist_platform.machines import MachinesClient
from swifthoist_platform.runner_calls import RunnerClient
from swifthoist_platform.store import StoreClient

LET_GO_S = 2.5
"""How long the balancer takes to let go of an instance that is not ready, in
seconds: it asks once a second and goes by two answers."""

RELEASE_S = 1.0
"""Time to give the cell up, in seconds."""

KEEP_FACTOR = 1.5
"""Finished jobs are kept for this multiple of the time that they can be
asked for: the time of day of a holder that has just started tells how much time
has passed, and may be ahead."""

_log = logging.getLogger(__name__)


class Duty(NamedTuple):
    """A task that runs for as long as the instance does.

    :ivar name: its name, for the log.
    :ivar act: the task.
    """

    name: str
    act: Callable[[], Awaitable[None]]


class Outside(NamedTuple):
    """What an instance meets outside itself.

    :ivar clock: tells the time.
    :ivar open_endpoint: opens an address of the platform.
    :ivar life: what tells this life of the instance from others.
    """

    clock: Clock
    open_endpoint: Callable[[str], EndpointProtocol]
    life: str


class Application:
    """One instance.

    :ivar web: answers calls.
    :ivar tenure: tells whether it holds the cell.
    :ivar faults: faults of its own.
    """

    def __init__(
        self, settings: Settings, logs: BoundedHandler, outside: Outside
    ) -> None:
        """Wire the parts.

        :param settings: settings of the platform.
        :param logs: where the logs go.
        :param outside: the clock and the platform.
        """
        clock = outside.clock
        self._outside = outside
        self._settings = settings
        boot = settings.boot
        self._life = f'{boot.instance}{LIFE_MARK}{outside.life}'
        keep_ms = int(boot.bounds.status_ms * KEEP_FACTOR)
        self.faults = Faults(clock)
        self._aside = Aside(self.faults, clock)
        snapshots = Snapshots(
            self._open_store(), boot.store.keep_ms, boot.store.record_bytes
        )
        self._follower = Follower(
            self._open_store(),
            Cell(keep_ms),
            clock,
            snapshots.load,
            self.faults,
            # Who lets others claim first need not see a loss before they do.
            GATHER_S + claim_delay_ms(boot.cores) / 1_000,
        )
        self._learned = LearnedView(self._follower)
        self._journal = Journal(
            self._open_store(), self._life, clock, boot.link_bytes_s
        )
        self._configuration = Configuration(
            self._open_store(), clock, self._change_ms
        )
        self._cold_zones = ColdZones()
        zones = ZoneGate(
            self._configuration.requests,
            lambda: self._configuration.age_ms,
            lambda: settings.boot.bounds.evacuation_ms,
        )
        self.tenure = Tenure(
            self._life, self._follower, self._journal, clock, boot.cores
        )
        turns = Turns(clock)
        self._lives = LifeCounts()
        self._holding = Holding(
            Parts(
                self.tenure,
                self._follower,
                self._journal,
                self._configuration,
                snapshots,
                lambda: settings.boot.bounds.lease_max_ms,
                clock,
                lambda: Registry(self._open_store(), clock),
                self._open_runner,
                self._open_advice,
                self._open_machines,
                self._open_store(),
                self._aside,
                self._site_terms,
                turns,
                zones,
                self._cold_zones,
                self._lives,
            )
        )
        intake = Intake(
            self._configuration,
            self._follower,
            self._journal,
            self._revocation_ms,
        )
        metrics = Metrics()
        metrics.watch('log_lines_dropped', logs.dropped.total)
        metrics.watch_dropped(logs.dropped)
        metrics.watch('records_folded', lambda: self._follower.position)
        metrics.watch('records_not_folded', lambda: self._follower.unfolded)
        metrics.watch('log_reads', lambda: self._follower.reads)
        metrics.watch('snapshots_written', lambda: snapshots.written)
        metrics.watch('appends', lambda: self._journal.appends)
        metrics.watch('epoch', lambda: self._follower.cell.state.epoch)
        metrics.watch('faults', lambda: self.faults.count)
        metrics.watch('set_aside', lambda: len(self._aside))
        metrics.watch('holds', lambda: int(self.tenure.hold is not None))
        metrics.watch('loop_longest_turn_ms', lambda: turns.longest_ms)
        metrics.watch('decision_ms', lambda: turns.decision_ms)
        metrics.watch(
            'zones_evacuated', lambda: len(self._configuration.requests.since)
        )
        metrics.watch(
            'runs_in_evacuated_zones',
            lambda: sum(line.runs for line in self._zone_lines()),
        )
        metrics.watch('cold_runners', lambda: self._cold_zones.runners.total())
        self._learned.watch(metrics)
        metrics.watch('runner_lives_ended', lambda: self._lives.ended)
        metrics.watch('runs_lost_with_lives', lambda: self._lives.lost)
        metrics.watch('runs_unsure_with_lives', lambda: self._lives.unsure)
        self._phase = Phase()
        api = Api(
            self._configuration,
            self._follower,
            self._journal,
            self._describe,
        )
        self.web = Web(
            intake, api, metrics, self._phase, boot.internal_ports[0]
        )

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then leave gracefully."""
        _log.info('start', extra={'life': self._life, 'pid': os.getpid()})
        stopped = anyio.Event()
        boot = self._settings.boot
        addresses = [boot.callers_address, boot.ready_address]
        if boot.internal_ports[0]:
            addresses.append(f'{boot.ip}:{boot.internal_ports[0]}')
        async with anyio.create_task_group() as tasks:
            for name, act in self.duties():
                tasks.start_soon(keep_going, name, act)
            tasks.start_soon(self._watch_signals, stopped, tasks)
            served = anyio.Event()
            tasks.start_soon(self._serve, addresses, stopped, served)
            await served.wait()
            tasks.cancel_scope.cancel()
        _log.info('stop', extra={'life': self._life})

    def duties(self) -> list[Duty]:
        """List the tasks of the instance beside its web server."""
        return [
            Duty('follower', self._follower.run),
            Duty('journal', self._journal.run),
            Duty('configuration', self._configuration.run),
            Duty('tenure', self.tenure.run),
            Duty('holding', self._holding.run),
            Duty('settings', self._settings.run),
        ]

    async def _serve(
        self,
        addresses: list[str],
        stopped: anyio.Event,
        served: anyio.Event,
    ) -> None:
        await serve_web(self.web, addresses, stopped)
        served.set()

    async def _watch_signals(
        self, stopped: anyio.Event, tasks: TaskGroup
    ) -> None:
        wanted = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*wanted) as signals:
            async for number in signals:
                _log.info('signal', extra={'signal': number.name})
                if number is signal.SIGHUP:
                    self._settings.reload()
                if number is signal.SIGHUP or self._phase.leaving:
                    continue
                self._phase.leaving = True
                tasks.start_soon(self._leave, stopped)

    async def _leave(self, stopped: anyio.Event) -> None:
        """Give the cell up, and serve until the balancer has let go."""
        await self.tenure.release(RELEASE_S)
        await anyio.sleep(LET_GO_S)
        stopped.set()

    def _describe(self) -> dict[str, Any]:
        """Describe settings and state, for bug reports."""
        state = self._follower.cell.state
        catalogue = self._configuration.catalogue
        return {
            'life': self._life,
            'settings': self._settings.boot._asdict(),
            'position': self._follower.position,
            'caught_up': self._follower.caught_up,
            'log_age_ms': self._follower.age_ms,
            'configuration': catalogue.version if catalogue else None,
            'configuration_age_ms': self._configuration.age_ms,
            'epoch': state.epoch,
            'holder': state.holder,
            'holds': self.tenure.hold is not None,
            'jobs': len(state.jobs),
            'runs': len(self._follower.cell.runs.all()),
            'leaving': self._phase.leaving,
            'evacuated': [line._asdict() for line in self._zone_lines()],
            'cold': dict(self._cold_zones.runners),
            'set_aside': len(self._aside),
            'faults': self.faults.describe(),
            **self._learned.describe(),
        }

    def _revocation_ms(self) -> Millis:
        return self._settings.boot.bounds.revocation_ms

    def _change_ms(self) -> Millis:
        bounds = self._settings.boot.bounds
        evacuation_ms = bounds.evacuation_ms or bounds.revocation_ms
        return min(bounds.revocation_ms, evacuation_ms)

    def _zone_lines(self) -> tuple[ZoneLine, ...]:
        since = self._configuration.requests.since
        return zone_lines(self._follower.cell, since)

    def _site_terms(self) -> SiteTerms:
        bounds = self._settings.boot.bounds
        return SiteTerms(
            bounds.restore_ms, bounds.reclaim_ms, bounds.far_factor
        )

    def _open_machines(self) -> MachinesClient:
        endpoint = self._open(lambda: self._settings.boot.machines_address)
        return MachinesClient(endpoint, self._settings.boot.instance)

    def _open_store(self) -> StoreClient:
        return StoreClient(
            self._open(lambda: self._settings.boot.store.address),
            self._settings.boot.link_bytes_s,
        )

    def _open_advice(self) -> AdviceClient:
        return AdviceClient(
            self._open(lambda: self._settings.boot.advice_address)
        )

    def _open(self, address: Callable[[], str]) -> MovingEndpoint:
        return MovingEndpoint(address, self._outside.open_endpoint)

    def _open_runner(self, entry: Registration) -> RunnerClient:
        endpoint = self._outside.open_endpoint(entry.address)
        return RunnerClient(entry.runner, endpoint)


def agent_of(instance: InstanceId) -> str:
    """Name an instance to the platform, in each call.

    :param instance: its name.
    :returns: value of the ``User-Agent`` header.
    """
    return f'swifthoist/{instance}'
