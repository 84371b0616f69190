"""Decoding of the settings file that the platform provides to each process."""

import math
from pathlib import Path
from typing import NamedTuple

from swifthoist_core.errors import raise_findings
from swifthoist_core.types import InstanceId, Millis, ZoneId
from swifthoist_engine.model import DEFAULT_SITE_TERMS
from swifthoist_platform import names
from swifthoist_platform.values import DocumentReader, read_json

BOOT_VARIABLE = 'SWIFTHOIST_BOOT'
"""Environment variable that holds the path of the settings file."""

_MS_PER_S = 1_000
_BYTES_PER_MBIT = 125_000
_BYTES_PER_MB = 1_000_000


class StoreSettings(NamedTuple):
    """Address and limits of the store.

    :ivar address: ``host:port``.
    :ivar record_bytes: maximum size of a record, in bytes.
    :ivar call_bytes: maximum size of all records of a call, in bytes.
    :ivar keep_ms: retention time of records, in ms.
    :ivar part_bytes: size of a partition beyond which it drops its oldest
        records, in bytes.
    """

    address: str
    record_bytes: int
    call_bytes: int
    keep_ms: Millis
    part_bytes: int


class Bounds(NamedTuple):
    """Time limits and costs that the platform sets, all times in ms.

    :ivar lease_max_ms: longest lease that a runner grants.
    :ivar stop_ms: longest time that stopping a run takes.
    :ivar gang_timeout_ms: how long a member of a gang waits for the others.
    :ivar revocation_ms: time after which a revoked key has to be rejected.
    :ivar grace_ms: time between SIGTERM and SIGKILL.
    :ivar drain_ms: time after which a draining runner must get no new work.
    :ivar status_ms: how long the state of a finished job can be queried.
    :ivar interference_ms: how long a serving task may exceed its latency
        target because of other tasks.
    :ivar absence_window_ms: window in which absences of a long-running task
        count.
    :ivar upkeep_lease_ms: lease of the instance that orders machine upkeep.
    :ivar restore_ms: time that a run needs to resume from a checkpoint.
    :ivar reclaim_ms: time within which a team gets its guaranteed capacity.
    :ivar remote_factor: slowdown of a task that runs far from its data.
    :ivar evacuation_ms: time after which an evacuated zone must get no new
        work; none if the platform sets no such limit.
    """

    lease_max_ms: Millis
    stop_ms: Millis
    gang_timeout_ms: Millis
    revocation_ms: Millis
    grace_ms: Millis
    drain_ms: Millis
    status_ms: Millis
    interference_ms: Millis
    absence_window_ms: Millis
    upkeep_lease_ms: Millis
    restore_ms: Millis
    reclaim_ms: Millis
    remote_factor: float
    evacuation_ms: Millis | None = None


class BootSettings(NamedTuple):
    """Settings of a process.

    :ivar instance: name of the instance.
    :ivar zone: its availability zone.
    :ivar callers_address: address that callers connect to.
    :ivar ready_address: address of the load balancer's readiness checks.
    :ivar internal_ports: first and last port for internal use.
    :ivar ip: IP address of the machine.
    :ivar store: address and limits of the store.
    :ivar bounds: time limits of the platform.
    :ivar advice_address: address of the policy service; empty if there is
        none.
    :ivar machines_address: address of the machine service.
    :ivar beat_ms: interval of the runners' heartbeats, in ms.
    :ivar cores: processor capacity, in cores of standard speed.
    :ivar link_bytes_s: bandwidth of the machine's link, in bytes per second.
    :ivar memory_bytes: memory beyond which the process is killed, in bytes.
    :ivar max_descriptors: most descriptors that the process may open.
    """

    instance: InstanceId
    zone: ZoneId
    callers_address: str
    ready_address: str
    internal_ports: tuple[int, int]
    ip: str
    store: StoreSettings
    bounds: Bounds
    advice_address: str
    machines_address: str
    beat_ms: Millis
    cores: float
    link_bytes_s: float
    memory_bytes: int
    max_descriptors: int

    @property
    def internal_address(self) -> str:
        """Where other instances reach this one; empty if nowhere."""
        port = self.internal_ports[0]
        return f'{self.ip}:{port}' if port else ''


def read_boot_settings(path: Path) -> BootSettings:
    """Read the settings file.

    :param path: path of the file.
    :returns: the settings.
    :raises InvalidInputError: with all problems of the file.
    :raises OSError: if the file can't be read.
    """
    return decode_boot_settings(path.read_bytes())


def decode_boot_settings(content: bytes) -> BootSettings:
    """Decode the settings file.

    :param content: content of the file.
    :returns: the settings.
    :raises InvalidInputError: with all problems of the file.
    """
    reader = read_json(content)
    ports = [
        port for port in reader.array(names.INTERNAL_PORTS) if _is_port(port)
    ]
    listen = reader.nested(names.LISTEN_ADDRS)
    limits = reader.nested(names.LIMITS)
    boot = BootSettings(
        instance=reader.string(names.NODE_NAME),
        zone=reader.string(names.ZONE),
        callers_address=listen.string(names.FRONTEND),
        ready_address=listen.string(names.READY_ADDRESS),
        internal_ports=(min(ports, default=0), max(ports, default=0)),
        ip=reader.string(names.IP),
        store=_decode_store(reader.nested(names.PLATFORM)),
        bounds=_decode_bounds(reader.nested(names.BOUNDS)),
        advice_address=reader.address(names.ADVICE, optional=True),
        machines_address=reader.nested(names.CLOUD_API).address(
            names.ADDRESS, optional=True
        ),
        beat_ms=reader.integer(names.HEARTBEAT_MS, 1_500),
        cores=limits.number(names.CPU_SHARE, 1) * limits.number(names.CORES, 1),
        link_bytes_s=_link_bandwidth(limits),
        memory_bytes=(limits.integer(names.MEMORY_MB) or 300) * _BYTES_PER_MB,
        max_descriptors=limits.integer(names.MAX_FDS) or 4_100,
    )
    raise_findings('settings file', reader.findings)
    return boot


def _is_port(port: object) -> bool:
    if not isinstance(port, int) or isinstance(port, bool):
        return False
    return 0 < port < 65_536


def _link_bandwidth(limits: DocumentReader) -> float:
    mbit_s = limits.number(names.LINK_MBPS, 0)
    return mbit_s * _BYTES_PER_MBIT if mbit_s > 0 else math.inf


def _decode_store(reader: DocumentReader) -> StoreSettings:
    return StoreSettings(
        reader.address(names.ADDRESS, optional=True),
        reader.integer(names.RECORD_BYTES, 262_144),
        reader.integer(names.CALL_BYTES, 2_097_152),
        int(reader.number(names.KEEP_S, 20) * _MS_PER_S),
        int(reader.number(names.PART_MB, 200) * _BYTES_PER_MB),
    )


def _decode_bounds(reader: DocumentReader) -> Bounds:
    return Bounds(
        lease_max_ms=reader.integer(names.HOLD_MAX_MS, 10_000),
        stop_ms=reader.integer(names.STOP_MS, 400),
        gang_timeout_ms=reader.integer(names.GANG_TIMEOUT_MS, 3_000),
        revocation_ms=reader.integer(names.REVOKE_MS, 5_000),
        grace_ms=int(reader.number(names.GRACE_S, 6) * _MS_PER_S),
        drain_ms=reader.integer(names.DRAIN_MS, 2_000),
        status_ms=int(reader.number(names.STATUS_S, 120) * _MS_PER_S),
        interference_ms=reader.integer(names.INTERFERENCE_MS, 4_000),
        absence_window_ms=reader.integer(names.NOTICE_MS, 4_500),
        upkeep_lease_ms=reader.integer(names.LEASE_MS, 3_000),
        restore_ms=reader.integer(
            names.RESTORE_MS, DEFAULT_SITE_TERMS.restore_ms
        ),
        reclaim_ms=reader.integer(
            names.RECLAIM_MS, DEFAULT_SITE_TERMS.reclaim_ms
        ),
        remote_factor=reader.number(
            names.REMOTE_FACTOR, DEFAULT_SITE_TERMS.remote_factor
        ),
        evacuation_ms=reader.integer(names.EVACUATE_MS) or None,
    )
