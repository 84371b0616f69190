"""What the holder of the cell is wired with."""

from collections.abc import Callable
from typing import NamedTuple

from swifthoist_core.clock import Clock
from swifthoist_core.types import Millis
from swifthoist_engine.model import SiteTerms
from swifthoist_instance.cold_zones import ColdZones
from swifthoist_instance.configuration import Configuration
from swifthoist_instance.evacuations import ZoneGate
from swifthoist_instance.faults import Aside
from swifthoist_instance.follower import Follower
from swifthoist_instance.journal import Journal
from swifthoist_instance.lives import LifeCounts
from swifthoist_instance.registry import Registry
from swifthoist_instance.snapshotting import Snapshots
from swifthoist_instance.tenure import Tenure
from swifthoist_instance.turns import Turns
from swifthoist_instance.waves import PutsStatus
from swifthoist_platform.advice import AdviceClient
from swifthoist_platform.documents import Registration
from swifthoist_platform.machines import MachinesClient
from swifthoist_platform.runner_calls import RunnerClient


class HolderDependencies(NamedTuple):
    """What the holder is wired with.

    :ivar tenure: tells whether this instance holds the cell.
    :ivar follower: folds the log.
    :ivar journal: appends to it.
    :ivar configuration: the configuration.
    :ivar snapshots: writes snapshots.
    :ivar lease_max_ms: tells the longest lease that runners grant.
    :ivar clock: tells the time.
    :ivar open_registry: opens the runners' registry.
    :ivar open_runner: opens a client of a runner.
    :ivar open_advice: opens the client of policies.
    :ivar open_machines: opens the client of machines.
    :ivar status: where the state of waves is written.
    :ivar aside: what decisions leave out, since they failed on it.
    :ivar terms: tells the terms of the site.
    :ivar turns: watches the event loop.
    :ivar zones: tells in which zones work may be started.
    :ivar cold_zones: tells which zones have cold runners.
    :ivar lives: counts the lives of runners that ended under their ids.
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
    status: PutsStatus
    aside: Aside
    terms: Callable[[], SiteTerms]
    turns: Turns
    zones: ZoneGate
    cold_zones: ColdZones
    lives: LifeCounts
