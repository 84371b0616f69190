"""Settings of the stand-ins."""

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from swifthoist_core.errors import Finding, raise_findings
from swifthoist_core.types import Millis
from swifthoist_standins.instances import TTL_MS
from swifthoist_standins.runner import RunnerLimits
from swifthoist_standins.streams import Retention
from swifthoist_standins.worker import USAGE_LAG_MS

_RETENTION = Retention()
_LIMITS = RunnerLimits()


class Settings(NamedTuple):
    """Settings of the stand-ins of one process; each kind reads its own.

    A port of 0 takes any that is free. Workers and runners take the ports
    from theirs on, one each.

    :ivar host: IP number to listen on.
    :ivar log_port: port of the log.
    :ivar log_records: greatest number of records in a stream.
    :ivar log_age_ms: greatest age of a record, in ms.
    :ivar list_port: port of the list of instances.
    :ivar list_url: URL of the list, where workers and runners register;
        empty for none.
    :ivar list_lag_ms: how far the list lags behind, in ms.
    :ivar list_ttl_ms: how long a line stays without a heartbeat, in ms.
    :ivar heartbeat_ms: time between heartbeats to the list, in ms.
    :ivar zones: number of availability zones.
    :ivar workers: number of workers.
    :ivar worker_port: port of the first worker.
    :ivar worker_prefix: prefix of the workers' ids.
    :ivar workers_per_rack: workers in a rack; racks go round the zones.
    :ivar accelerators: accelerators of a worker.
    :ivar cores: processor cores of a worker.
    :ivar memory_mib: memory of a worker, in MiB.
    :ivar usage_lag_ms: how long after its end a part is reported, in ms.
    :ivar runners: number of runners.
    :ivar runner_port: port of the first runner.
    :ivar runner_prefix: prefix of the runners' ids.
    :ivar service: the service that the runners belong to.
    :ivar slots: slots of a runner.
    :ivar connections: connections of a runner.
    :ivar work_ms: service time of a request, in ms.
    :ivar refuse_busy: whether a runner without a free slot answers 429.
    """

    host: str = '127.0.0.1'
    log_port: int = 0
    log_records: int = _RETENTION.records
    log_age_ms: Millis = _RETENTION.age_ms
    list_port: int = 0
    list_url: str = ''
    list_lag_ms: Millis = 0
    list_ttl_ms: Millis = TTL_MS
    heartbeat_ms: Millis = 1000
    zones: int = 4
    workers: int = 24
    worker_port: int = 0
    worker_prefix: str = 'worker-'
    workers_per_rack: int = 6
    accelerators: int = 8
    cores: int = 64
    memory_mib: int = 262_144
    usage_lag_ms: Millis = USAGE_LAG_MS
    runners: int = 24
    runner_port: int = 0
    runner_prefix: str = 'runner-'
    service: str = 'service'
    slots: int = _LIMITS.slots
    connections: int = _LIMITS.connections
    work_ms: Millis = _LIMITS.work_ms
    refuse_busy: bool = _LIMITS.refuse_busy


def parse_settings(options: Mapping[str, object]) -> Settings:
    """Read settings from flags or environment variables.

    :param options: settings by name; numbers may be texts.
    :returns: the settings, with defaults for what is left out.
    :raises InvalidInputError: with everything that is wrong.
    """
    known = Settings._field_defaults
    findings = [
        Finding(option, 'is no setting')
        for option in options
        if option not in known
    ]
    for name, default in known.items():
        problem = _find_problem(options.get(name, default), type(default))
        if problem:
            findings.append(Finding(name, problem))
    raise_findings('settings of the stand-ins', findings)
    values = [options.get(field, known[field]) for field in Settings._fields]
    return msgspec.convert(values, Settings, strict=False)


def _find_problem(given: object, kind: type[object]) -> str:
    try:
        number = msgspec.convert(given, kind, strict=False)
    except msgspec.ValidationError as exc:
        return str(exc)
    if isinstance(number, int) and number < 0:
        return 'must not be negative'
    return ''
