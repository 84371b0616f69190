"""The settings file that the platform gives each process."""

import math
from pathlib import Path
from typing import NamedTuple

from swifthoist_core.errors import raise_findings
from swifthoist_core.types import InstanceId, Millis, ZoneId
from swifthoist_engine.model import DEFAULT_SITE_TERMS
from swifthoist_platform import names
from swifthoist_platform.values import Reader, read_json

BOOT_VARIABLE = 'SWIFTHOIST_BOOT'
"""Environment variable that holds the path of the settings file."""

_MS_PER_S = 1_000
_BYTES_PER_MBIT = 125_000


class StoreTerms(NamedTuple):
    """Where the store is and what it takes.

    :ivar address: ``host:port``.
    :ivar record_bytes: greatest size of a record, in bytes.
    :ivar call_bytes: greatest size of the records of a call, in bytes.
    :ivar keep_ms: how long records are kept, in ms.
    """

    address: str
    record_bytes: int
    call_bytes: int
    keep_ms: Millis


class Bounds(NamedTuple):
    """Bounds of the platform, all times in ms.

    :ivar lease_max_ms: longest lease that a runner grants.
    :ivar stop_ms: longest time that a stop takes.
    :ivar gang_wait_ms: how long a member of a gang waits for the others.
    :ivar revocation_ms: time within which a revoked key is to be refused.
    :ivar grace_ms: time between SIGTERM and SIGKILL.
    :ivar drain_ms: time within which a draining runner gets no more work.
    :ivar status_ms: how long a finished job can be asked for.
    :ivar harm_ms: how long a serving task may be over its target.
    :ivar notice_ms: span for which absences of a lasting task count.
    :ivar duty_lease_ms: lease of whoever orders work on machines.
    :ivar restore_ms: time that a run needs to go on from a checkpoint.
    :ivar reclaim_ms: time within which a guarantee is to be met.
    :ivar remote_factor: how many times as long a task takes far from its data.
    :ivar evacuation_ms: time within which an evacuated zone gets no more work;
        none where evacuations are not agreed on.
    """

    lease_max_ms: Millis
    stop_ms: Millis
    gang_wait_ms: Millis
    revocation_ms: Millis
    grace_ms: Millis
    drain_ms: Millis
    status_ms: Millis
    harm_ms: Millis
    notice_ms: Millis
    duty_lease_ms: Millis
    restore_ms: Millis
    reclaim_ms: Millis
    remote_factor: float
    evacuation_ms: Millis | None = None


class Boot(NamedTuple):
    """What a process learns at its start.

    :ivar instance: name of the machine.
    :ivar zone: its availability zone.
    :ivar callers_address: where callers connect.
    :ivar ready_address: where the balancer asks for readiness.
    :ivar internal_ports: first and last port for the system's own use.
    :ivar ip: the machine's address.
    :ivar store: the store.
    :ivar bounds: bounds of the platform.
    :ivar advice_address: where policies are asked; empty for none.
    :ivar machines_address: where machines are listed and ordered.
    :ivar beat_ms: interval of the runners' heartbeats.
    :ivar cores: processor of the machine, in cores of one's usual speed.
    :ivar link_bytes_s: width of the machine's link, in bytes a second.
    """

    instance: InstanceId
    zone: ZoneId
    callers_address: str
    ready_address: str
    internal_ports: tuple[int, int]
    ip: str
    store: StoreTerms
    bounds: Bounds
    advice_address: str
    machines_address: str
    beat_ms: Millis
    cores: float
    link_bytes_s: float


def read_boot(path: Path) -> Boot:
    """Read the settings file.

    :param path: where it is.
    :returns: the settings.
    :raises InvalidInputError: with everything that is wrong or missing.
    :raises OSError: when it can't be read.
    """
    return decode_boot(path.read_bytes())


def decode_boot(content: bytes) -> Boot:
    """Decode the settings file.

    :param content: its bytes.
    :returns: the settings.
    :raises InvalidInputError: with everything that is wrong or missing.
    """
    reader = read_json(content)
    ports = [
        port for port in reader.rows(names.INTERNAL_PORTS) if _is_port(port)
    ]
    listen = reader.table(names.LISTEN_ADDRS)
    limits = reader.table(names.LIMITS)
    boot = Boot(
        instance=reader.text(names.NODE_NAME),
        zone=reader.text(names.ZONE),
        callers_address=listen.text(names.FRONTEND),
        ready_address=listen.text(names.READY_ADDRESS),
        internal_ports=(min(ports, default=0), max(ports, default=0)),
        ip=reader.text(names.IP),
        store=_store(reader.table(names.PLATFORM)),
        bounds=_bounds(reader.table(names.BOUNDS)),
        advice_address=reader.text(names.ADVICE),
        machines_address=reader.table(names.CLOUD_API).text(names.ADDRESS),
        beat_ms=reader.whole(names.HEARTBEAT_MS, 1_500),
        cores=limits.number(names.CPU_SHARE, 1) * limits.number(names.CORES, 1),
        link_bytes_s=_width(limits),
    )
    raise_findings('settings file', reader.findings)
    return boot


def _is_port(port: object) -> bool:
    return isinstance(port, int) and 0 < port < 65_536


def _width(limits: Reader) -> float:
    mbit_s = limits.number(names.LINK_MBPS, 0)
    return mbit_s * _BYTES_PER_MBIT if mbit_s > 0 else math.inf


def _store(reader: Reader) -> StoreTerms:
    return StoreTerms(
        reader.text(names.ADDRESS),
        reader.whole(names.RECORD_BYTES, 262_144),
        reader.whole(names.CALL_BYTES, 2_097_152),
        int(reader.number(names.KEEP_S, 20) * _MS_PER_S),
    )


def _bounds(reader: Reader) -> Bounds:
    return Bounds(
        lease_max_ms=reader.whole(names.HOLD_MAX_MS, 10_000),
        stop_ms=reader.whole(names.STOP_MS, 400),
        gang_wait_ms=reader.whole(names.GANG_TIMEOUT_MS, 3_000),
        revocation_ms=reader.whole(names.REVOKE_MS, 5_000),
        grace_ms=int(reader.number(names.GRACE_S, 6) * _MS_PER_S),
        drain_ms=reader.whole(names.DRAIN_MS, 2_000),
        status_ms=int(reader.number(names.STATUS_S, 120) * _MS_PER_S),
        harm_ms=reader.whole(names.INTERFERENCE_MS, 4_000),
        notice_ms=reader.whole(names.NOTICE_MS, 4_500),
        duty_lease_ms=reader.whole(names.LEASE_MS, 3_000),
        restore_ms=reader.whole(
            names.RESTORE_MS, DEFAULT_SITE_TERMS.restore_ms
        ),
        reclaim_ms=reader.whole(
            names.RECLAIM_MS, DEFAULT_SITE_TERMS.reclaim_ms
        ),
        remote_factor=reader.number(
            names.REMOTE_FACTOR, DEFAULT_SITE_TERMS.remote_factor
        ),
        evacuation_ms=reader.whole(names.EVACUATE_MS) or None,
    )
