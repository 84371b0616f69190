"""Composition root: connects the components of an instance and runs them."""

import logging
import math
import os
import signal
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup

from swifthoist_core.clock import Clock
from swifthoist_core.types import Millis
from swifthoist_engine.cell import Cell
from swifthoist_engine.evacuation import ZoneLine, zone_lines
from swifthoist_engine.model import SiteTerms
from swifthoist_engine.peers import Peer
from swifthoist_instance.api import Api
from swifthoist_instance.clients import Clients
from swifthoist_instance.cold_zones import ColdZones
from swifthoist_instance.configuration import Configuration
from swifthoist_instance.crash_counts import CrashCounts
from swifthoist_instance.dependencies import HolderDependencies
from swifthoist_instance.evacuations import ZoneGate
from swifthoist_instance.faults import Faults, Quarantine
from swifthoist_instance.follower import READ_PAUSE_S, Follower
from swifthoist_instance.guard import create_guard
from swifthoist_instance.hand_over import HandOverWatch
from swifthoist_instance.holding import Holding
from swifthoist_instance.intake import Intake
from swifthoist_instance.journal import Journal
from swifthoist_instance.jsonlogs import BoundedHandler
from swifthoist_instance.learned import LearnedView
from swifthoist_instance.limits import Limits, limits_of
from swifthoist_instance.listening import ListenAddress, Listening
from swifthoist_instance.lives import LifeCounts
from swifthoist_instance.metrics import Metrics
from swifthoist_instance.open_calls import OpenCalls
from swifthoist_instance.peers import LIFE_SEPARATOR, Peers
from swifthoist_instance.recording import Recorder
from swifthoist_instance.registry import Registry
from swifthoist_instance.settings import Settings
from swifthoist_instance.snapshotting import Snapshots
from swifthoist_instance.store_latency import StoreLatency
from swifthoist_instance.supervision import run_supervised
from swifthoist_instance.tenure import Tenure, claim_delay_ms
from swifthoist_instance.turns import LoopMonitor
from swifthoist_instance.unusable_entries import UnusableEntries
from swifthoist_instance.web import ShutdownState, Web
from swifthoist_platform.endpoint import EndpointProtocol

DEREGISTRATION_S = 2.5
"""How long the load balancer takes to remove an instance that is not ready, in
seconds: it checks once a second and acts on two results."""

RELEASE_S = 1.0
"""Time to release the cell, in seconds."""

RETENTION_FACTOR = 1.5
"""How long finished jobs are kept, as a multiple of the time for which their
state can be requested. A holder that has just started takes the elapsed time
from the wall clock, which may be ahead."""

CALL_PRODUCER = 'calls'
"""Names the producer of the records of callers."""

_log = logging.getLogger(__name__)


class BackgroundTask(NamedTuple):
    """A task that runs as long as the instance.

    :ivar name: name for the log.
    :ivar func: coroutine function of the task.
    """

    name: str
    func: Callable[[], Awaitable[None]]


class Environment(NamedTuple):
    """Clock and platform that an instance runs with.

    :ivar clock: source of time.
    :ivar open_endpoint: opens an address of the platform.
    :ivar life: identifier that distinguishes this life of the instance.
    """

    clock: Clock
    open_endpoint: Callable[[str], EndpointProtocol]
    life: str


class Application:
    """One instance.

    :ivar web: serves HTTP requests.
    :ivar tenure: knows whether the instance holds the cell.
    :ivar faults: internal errors of the instance.
    """

    def __init__(
        self, settings: Settings, logs: BoundedHandler, environment: Environment
    ) -> None:
        """Connect the components.

        :param settings: the platform's settings.
        :param logs: handler that writes the logs.
        :param environment: the clock and the platform.
        """
        clock = environment.clock
        self._environment = environment
        self._settings = settings
        boot = settings.boot
        self._life = f'{boot.instance}{LIFE_SEPARATOR}{environment.life}'
        retention_ms = int(boot.bounds.status_ms * RETENTION_FACTOR)
        self.faults = Faults(clock)
        self._latency = StoreLatency(clock)
        self._clients = Clients(
            settings, environment.open_endpoint, self._latency
        )
        self._quarantine = Quarantine(self.faults, clock)
        snapshots = Snapshots(
            self._clients.store(),
            boot.store.keep_ms,
            boot.store.record_bytes,
            boot.store.part_bytes,
        )
        self._follower = Follower(
            self._clients.store(),
            Cell(retention_ms, max_units=limits_of(boot).units),
            clock,
            snapshots.load,
            self.faults,
            # An instance that claims later than others may also detect the
            # loss of the holder later.
            READ_PAUSE_S + claim_delay_ms(boot.cores) / 1_000,
            self._latency,
        )
        self._learned = LearnedView(self._follower)
        self._journal = Journal(
            self._clients.store(),
            self._life,
            clock,
            boot.link_bytes_s,
            self._latency,
        )
        # Callers' records need no order with the holder's own, and must not
        # wait for them while the store is slow.
        self._call_journal = Journal(
            self._clients.store(),
            f'{self._life}{LIFE_SEPARATOR}{CALL_PRODUCER}',
            clock,
            boot.link_bytes_s,
            self._latency,
        )
        self._peers = Peers(
            self._life,
            Peer(boot.internal_address, boot.cores),
            self._follower,
            clock,
            environment.open_endpoint,
        )
        self._configuration = Configuration(
            self._clients.store(), clock, self._change_bound_ms, self._latency
        )
        self._cold_zones = ColdZones()
        zones = ZoneGate(
            self._configuration.requests,
            lambda: self._configuration.age_ms,
            lambda: settings.boot.bounds.evacuation_ms,
        )
        self.tenure = Tenure(
            self._life,
            self._follower,
            self._journal,
            clock,
            boot.cores,
            self._latency,
        )
        self._hand_over = HandOverWatch(
            self.tenure,
            self._follower,
            self._journal,
            self._peers,
            self._latency,
            clock,
        )
        turns = LoopMonitor(clock)
        self._turns = turns
        self._lives = LifeCounts()
        self._crashes = CrashCounts()
        self._unusable_entries = UnusableEntries()
        self._holding = Holding(
            HolderDependencies(
                self.tenure,
                self._follower,
                self._journal,
                self._configuration,
                snapshots,
                lambda: settings.boot.bounds.lease_max_ms,
                clock,
                lambda: Registry(
                    self._clients.store(), clock, self._unusable_entries
                ),
                self._clients.runner,
                self._clients.advice,
                self._clients.machines,
                self._clients.store(),
                self._quarantine,
                self._site_terms,
                turns,
                zones,
                self._cold_zones,
                self._lives,
                self._crashes,
            )
        )
        guard = create_guard(
            lambda: limits_of(settings.boot),
            lambda: self._follower.cell,
            clock,
        )
        intake = Intake(
            self._configuration,
            self._follower,
            Recorder(self._call_journal, self._peers, self._latency),
            self._peers,
            self._revocation_ms,
            OpenCalls(clock),
            guard.submissions,
        )
        metrics = Metrics()
        metrics.register('log_lines_dropped', logs.dropped.total)
        metrics.register_dropped_lines(logs.dropped)
        metrics.register('records_folded', lambda: self._follower.position)
        metrics.register(
            'records_not_folded', lambda: self._follower.fold_failures
        )
        metrics.register('log_reads', lambda: self._follower.reads)
        metrics.register('snapshots_written', lambda: snapshots.written)
        metrics.register('snapshots_failed', lambda: snapshots.failed)
        metrics.register('snapshot_parts_left_out', lambda: snapshots.left_out)
        metrics.register('snapshot_age_ms', self._snapshot_age_ms)
        metrics.register(
            'records_without_snapshot',
            lambda: self._follower.history.forgotten,
        )
        self._register_store_metrics(metrics)
        guard.register(metrics)
        metrics.register('epoch', lambda: self._follower.cell.state.epoch)
        metrics.register('faults', lambda: self.faults.count)
        metrics.register('set_aside', lambda: len(self._quarantine))
        metrics.register('holds', lambda: int(self.tenure.hold is not None))
        metrics.register('loop_longest_turn_ms', lambda: turns.longest_ms)
        metrics.register('decision_ms', lambda: turns.decision_ms)
        metrics.register(
            'zones_evacuated', lambda: len(self._configuration.requests.since)
        )
        metrics.register(
            'runs_in_evacuated_zones',
            lambda: sum(line.runs for line in self._zone_lines()),
        )
        metrics.register(
            'cold_runners', lambda: self._cold_zones.runners.total()
        )
        self._learned.register(metrics)
        metrics.register('runner_lives_ended', lambda: self._lives.ended)
        metrics.register('runs_lost_with_lives', lambda: self._lives.lost)
        metrics.register('runs_unsure_with_lives', lambda: self._lives.unsure)
        metrics.register('runner_crashes', lambda: self._crashes.crashes)
        metrics.register('tasks_given_up', lambda: self._crashes.given_up)
        metrics.register(
            'unusable_entries', lambda: self._unusable_entries.count
        )
        self._shutdown_state = ShutdownState()
        api = Api(
            self._configuration,
            self._follower,
            self._call_journal,
            self._describe,
            guard.submissions,
        )
        self.web = Web(
            intake,
            api,
            metrics,
            self._shutdown_state,
            boot.internal_ports[0],
            self.tenure,
            self.faults,
            turns,
            guard.bodies,
            guard.refusals,
        )
        self._listening = Listening(self.web, guard.refusals)
        self._listening.register(metrics)

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then shut down gracefully."""
        _log.info('start', extra={'life': self._life, 'pid': os.getpid()})
        stopped = anyio.Event()
        boot = self._settings.boot
        addresses = [
            ListenAddress(boot.callers_address, lambda: self._limits().callers),
            ListenAddress(boot.ready_address, lambda: self._limits().ready),
        ]
        if boot.internal_address:
            addresses.append(
                ListenAddress(
                    boot.internal_address, lambda: self._limits().internal
                )
            )
        async with anyio.create_task_group() as tasks:
            for name, func in self.background_tasks():
                tasks.start_soon(run_supervised, name, func, self.faults)
            tasks.start_soon(self._watch_signals, stopped, tasks)
            served = anyio.Event()
            tasks.start_soon(self._serve, addresses, stopped, served)
            await served.wait()
            tasks.cancel_scope.cancel()
        _log.info('stop', extra={'life': self._life})

    def background_tasks(self) -> list[BackgroundTask]:
        """List the tasks of the instance, except its web server."""
        return [
            BackgroundTask('follower', self._follower.run),
            BackgroundTask('journal', self._journal.run),
            BackgroundTask('call journal', self._call_journal.run),
            BackgroundTask('configuration', self._configuration.run),
            BackgroundTask('tenure', self.tenure.run),
            BackgroundTask('holding', self._holding.run),
            BackgroundTask('hand-over', self._hand_over.run),
            BackgroundTask('join', lambda: self._peers.join(self._journal)),
            BackgroundTask('settings', self._settings.run),
            BackgroundTask('loop monitor', self._turns.run),
        ]

    async def _serve(
        self,
        addresses: list[ListenAddress],
        stopped: anyio.Event,
        served: anyio.Event,
    ) -> None:
        await self._listening.run(addresses, stopped)
        served.set()

    async def _watch_signals(
        self, stopped: anyio.Event, tasks: TaskGroup
    ) -> None:
        wanted = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*wanted) as signals:
            async for number in signals:
                _log.info('signal received', extra={'signal': number.name})
                if number is signal.SIGHUP:
                    self._settings.reload()
                if (
                    number is signal.SIGHUP
                    or self._shutdown_state.shutting_down
                ):
                    continue
                self._shutdown_state.shutting_down = True
                tasks.start_soon(self._shut_down, stopped)

    async def _shut_down(self, stopped: anyio.Event) -> None:
        """Release the cell, and serve until the load balancer removed us."""
        await self.tenure.release(RELEASE_S)
        await anyio.sleep(DEREGISTRATION_S)
        stopped.set()

    def _describe(self) -> dict[str, Any]:
        """Return settings and state, for bug reports."""
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
            'leaving': self._shutdown_state.shutting_down,
            'evacuated': [line._asdict() for line in self._zone_lines()],
            'cold': dict(self._cold_zones.runners),
            'set_aside': len(self._quarantine),
            'faults': self.faults.describe(),
            **self._learned.describe(),
        }

    def _register_store_metrics(self, metrics: Metrics) -> None:
        latency = self._latency
        counts = self._peers.counts
        journals = (self._journal, self._call_journal)
        metrics.register('appends', lambda: sum(it.appends for it in journals))
        metrics.register(
            'appends_repeated', lambda: sum(it.repeats for it in journals)
        )
        metrics.register('store_answer_ms', lambda: latency.answer_s * 1_000)
        metrics.register('store_slow_ms', lambda: latency.slow_ms)
        metrics.register('calls_passed_on', lambda: counts.served)
        metrics.register('calls_not_passed_on', lambda: counts.unserved)
        metrics.register(
            'cell_handed_over', lambda: self._hand_over.handed_over
        )

    def _snapshot_age_ms(self) -> float:
        """Return the age of the newest snapshot; not a number without one."""
        now_ms = self._follower.time.now_ms()
        age_ms = self._follower.history.age_ms(now_ms)
        return math.nan if age_ms is None else age_ms

    def _limits(self) -> Limits:
        return limits_of(self._settings.boot)

    def _revocation_ms(self) -> Millis:
        return self._settings.boot.bounds.revocation_ms

    def _change_bound_ms(self) -> Millis:
        bounds = self._settings.boot.bounds
        evacuation_ms = bounds.evacuation_ms or bounds.revocation_ms
        return min(bounds.revocation_ms, evacuation_ms)

    def _zone_lines(self) -> tuple[ZoneLine, ...]:
        since = self._configuration.requests.since
        return zone_lines(self._follower.cell, since)

    def _site_terms(self) -> SiteTerms:
        bounds = self._settings.boot.bounds
        return SiteTerms(
            bounds.restore_ms, bounds.reclaim_ms, bounds.remote_factor
        )
