"""Dependencies of the component that holds the cell."""

from collections.abc import Callable
from typing import NamedTuple

from swifthoist_core.clock import Clock
from swifthoist_core.types import Millis
from swifthoist_engine.model import SiteTerms
from swifthoist_instance.cold_zones import ColdZones
from swifthoist_instance.configuration import Configuration
from swifthoist_instance.crash_counts import CrashCounts
from swifthoist_instance.evacuations import ZoneGate
from swifthoist_instance.faults import Quarantine
from swifthoist_instance.follower import Follower
from swifthoist_instance.journal import Journal
from swifthoist_instance.lives import LifeCounts
from swifthoist_instance.registry import Registry
from swifthoist_instance.snapshotting import Snapshots
from swifthoist_instance.tenure import Tenure
from swifthoist_instance.turns import LoopMonitor
from swifthoist_instance.waves import StatusStore
from swifthoist_platform.advice import AdviceClient
from swifthoist_platform.documents import Registration
from swifthoist_platform.machines import MachinesClient
from swifthoist_platform.runner_calls import RunnerClient


class HolderDependencies(NamedTuple):
    """Dependencies of the component that holds the cell.

    :ivar tenure: knows whether this instance holds the cell.
    :ivar follower: maintains the cell state from the log.
    :ivar journal: appends records to the log.
    :ivar configuration: the operator's configuration.
    :ivar snapshots: writes snapshots.
    :ivar lease_max_ms: returns the longest lease that runners grant, in ms.
    :ivar clock: source of time.
    :ivar open_registry: opens the registry of runners.
    :ivar open_runner: opens a client of a runner.
    :ivar open_advice: opens the client of the policy service.
    :ivar open_machines: opens the client of the machines.
    :ivar status: stores the status of maintenance waves.
    :ivar quarantine: inputs that decisions exclude, since they failed on them.
    :ivar terms: returns the terms of the site.
    :ivar turns: monitors the event loop.
    :ivar zones: knows in which zones runs may be started.
    :ivar cold_zones: knows which zones have cold runners.
    :ivar lives: counts lives of runners that were replaced by a new life.
    :ivar crashes: counts crashes of runners.
    """

    tenure: Tenure
    follower: Follower
    journal: Journal
    configuration: Configuration
    snapshots: Snapshots
    lease_max_ms: Callable[[], Millis]
    clock: Clock
    open_registry: Callable[[], Registry]
    open_runner: Callable[[Registration], RunnerClient]
    open_advice: Callable[[], AdviceClient]
    open_machines: Callable[[], MachinesClient]
    status: StatusStore
    quarantine: Quarantine
    terms: Callable[[], SiteTerms]
    turns: LoopMonitor
    zones: ZoneGate
    cold_zones: ColdZones
    lives: LifeCounts
    crashes: CrashCounts
