"""An emulated site: its queues, teams and runners, and their documents."""

from collections.abc import Sequence
from typing import Any, NamedTuple

import msgspec

from swifthoist_engine.model import Resources
from swifthoist_platform import names

HOST = 'jobs.example'
MAX_BODY_BYTES = 262_144
SERVICE = 'pool'
RUNNER_CAPACITY = Resources(64_000, 262_144, 8)
RUNNERS_PER_RACK = 6

EVACUATE_MS = 5_000
"""Time after which an evacuated zone gets no more work, in ms."""

VALID_MS = 5_000
"""Validity of the tickets of a policy, in ms."""


class QueueSpec(NamedTuple):
    """A queue.

    :ivar name: its name.
    :ivar prefix: prefix of its paths.
    :ivar priority: its priority; 0 is urgent.
    :ivar attempts: failed runs of a task after which its job fails.
    :ivar slack: objective for the duration of a job, as a multiple of its
        critical path.
    :ivar needs_ticket: a policy decides which runners may run its steps.
    :ivar query_ms: stated time of a call to the policy service, in ms, and
        that for each runner in it.
    """

    name: str
    prefix: str
    priority: int
    attempts: int = 3
    slack: float = 3.0
    needs_ticket: bool = False
    query_ms: tuple[int, int] = (0, 0)


class TeamSpec(NamedTuple):
    """A team.

    :ivar name: its name.
    :ivar keys: its API keys.
    :ivar accelerators: number of accelerators that it is guaranteed.
    """

    name: str
    keys: tuple[str, ...]
    accelerators: int


class Site(NamedTuple):
    """A site, as far as its configuration describes it.

    :ivar lines: its queues.
    :ivar accounts: its teams.
    :ivar runners: number of its runners.
    :ivar zones: its zones.
    :ivar lasting_ids: runners keep their id over restarts, and report the start
        of their life.
    """

    lines: tuple[QueueSpec, ...]
    accounts: tuple[TeamSpec, ...]
    runners: int = 12
    zones: tuple[str, ...] = ('north', 'south')
    lasting_ids: bool = False


STANDARD = Site(
    lines=(
        QueueSpec('urgent', '/urgent/', 0, slack=2.0),
        QueueSpec('batch', '/batch/', 1),
        QueueSpec('bulk', '/bulk/', 2),
    ),
    accounts=(
        TeamSpec('red', ('key-red',), 24),
        TeamSpec('blue', ('key-blue',), 24),
    ),
)
"""A site with an urgent queue, two other queues and two teams."""


def write_config(site: Site, version: int) -> bytes:
    """Encode the configuration of a site.

    :param site: the site.
    :param version: version of the configuration.
    :returns: the document.
    """
    document: dict[str, Any] = {
        names.VERSION: version,
        names.ROUTES: [_route(line) for line in site.lines],
        names.TENANTS: [
            {
                names.NAME: account.name,
                names.API_KEYS: list(account.keys),
                names.GUARANTEED: {names.GPU: account.accelerators},
            }
            for account in site.accounts
        ],
        names.LIMITS: {names.MAX_BODY_BYTES: MAX_BODY_BYTES},
    }
    return msgspec.json.encode(document)


def write_wave(
    number: int, machines: Sequence[str], at_once: int, deadline_s: float
) -> bytes:
    """Encode the operator's request for a wave of upkeep.

    :param number: number of the wave.
    :param machines: names of the machines in the wave.
    :param at_once: maximum number of machines that are down at a time.
    :param deadline_s: time for the whole wave, in seconds.
    :returns: the document.
    """
    return msgspec.json.encode(
        {
            names.WAVE: number,
            names.MACHINES: list(machines),
            names.DEADLINE_S: deadline_s,
            names.MAX_COUNT: at_once,
        }
    )


def _route(line: QueueSpec) -> dict[str, Any]:
    route: dict[str, Any] = {
        names.NAME: line.name,
        names.HOST: HOST,
        names.PATH_PREFIX: line.prefix,
        names.SERVICE: SERVICE,
        names.PRIORITY: line.priority,
        names.MAX_ATTEMPTS: line.attempts,
        names.SLACK_FACTOR: line.slack,
        names.TARGET_LATENCY_MS: 500,
    }
    if line.needs_ticket:
        decision_ms, per_runner_ms = line.query_ms
        route[names.ADVICE] = {
            names.VALID_MS: VALID_MS,
            names.DECISION_MS: decision_ms,
            names.PER_WORKER_MS: per_runner_ms,
        }
    return route


def write_settings(
    instance: str,
    zone: str,
    listen: Sequence[str],
    store: str,
    link_mbps: float = 1_000,
    ip: str = '127.0.0.1',
) -> bytes:
    """Encode the settings file of an instance.

    :param instance: its name.
    :param zone: its zone.
    :param listen: addresses for callers, the balancer and operators.
    :param store: address of the store.
    :param link_mbps: bandwidth of its machine's link, in Mbit/s.
    :param ip: IP address of its machine.
    :returns: the document.
    """
    document: dict[str, Any] = {
        names.NODE_NAME: instance,
        names.ZONE: zone,
        names.IP: ip,
        names.INTERNAL_PORTS: [int(listen[2].rpartition(':')[2])],
        names.LISTEN_ADDRS: {
            names.FRONTEND: listen[0],
            names.READY_ADDRESS: listen[1],
        },
        names.LIMITS: {names.LINK_MBPS: link_mbps},
        names.PLATFORM: {names.ADDRESS: store},
        names.CLOUD_API: {names.ADDRESS: store},
        names.ADVICE: store,
        names.BOUNDS: {
            names.HOLD_MAX_MS: 10_000,
            names.REVOKE_MS: 5_000,
            names.EVACUATE_MS: EVACUATE_MS,
        },
    }
    return msgspec.json.encode(document)
