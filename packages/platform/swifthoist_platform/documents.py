"""Documents of the store, which the operator, runners and instances write."""

from typing import NamedTuple

import msgspec

from swifthoist_core.errors import Finding
from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.catalogue import AdviceTerms, Catalogue, Queue, Team
from swifthoist_engine.model import QueueTerms, Resources
from swifthoist_engine.past_runs import RunnerFacts
from swifthoist_platform import names
from swifthoist_platform.addresses import is_header_id
from swifthoist_platform.values import DocumentReader, read_json

_DRAINING = 'draining'
_READY = 'ready'
_ACTIVE = 'active'
_COMPLETE = 'complete'
_MS_PER_S = 1_000

MAX_SHOWN_CHARS = 100
"""Number of characters of an invalid text that a finding shows."""

MAX_ENTRY_BYTES = 16_384
"""Largest entry of a runner, in bytes: what it says of itself is recorded, with
that of others in one append."""


class Registration(NamedTuple):
    """A runner's entry in the registry.

    :ivar runner: id of the runner.
    :ivar service: service that it runs tasks for.
    :ivar address: ``host:port``.
    :ivar zone: its zone.
    :ivar draining: whether it is about to leave.
    :ivar room: its capacity.
    :ivar labels: its labels.
    :ivar rack: its rack; empty if unknown.
    :ivar machine: machine that it runs on.
    :ivar leaving_ms: minimum time until it leaves, in ms; none if it does not
        say.
    :ivar kind: its kind; empty if unknown.
    :ivar cold_left_ms: how long it remains slow after its start, in ms,
        counted from the writing of the entry.
    :ivar born_ms: start of this life of the runner, in ms since the Unix
        epoch; 0 if unknown.
    """

    runner: RunnerId
    service: str
    address: str
    zone: str
    draining: bool
    room: Resources
    labels: frozenset[str]
    rack: str
    machine: str
    leaving_ms: Millis | None
    kind: str = ''
    cold_left_ms: Millis = 0
    born_ms: Millis = 0

    @property
    def facts(self) -> RunnerFacts:
        """Facts about the runner that are recorded in the log."""
        return RunnerFacts(
            self.machine, self.rack, self.zone, self.kind, self.born_ms
        )


class DecodedRegistration(NamedTuple):
    """Result of decoding a runner's entry.

    :ivar registration: the runner; none if the entry is invalid.
    :ivar findings: problems of the entry; an invalid birth time alone does
        not make it invalid.
    """

    registration: Registration | None
    findings: tuple[Finding, ...]


def unregistered_runner(runner: RunnerId, address: str) -> Registration:
    """Create a registration for a runner of which only the address is known.

    :param runner: id of the runner.
    :param address: address at which it answered, ``host:port``.
    :returns: a registration without capacity. It is not marked as draining,
        since entries also expire while the store is unavailable.
    """
    return Registration(
        runner=runner,
        service='',
        address=address,
        zone='',
        draining=False,
        room=Resources(),
        labels=frozenset(),
        rack='',
        machine='',
        leaving_ms=None,
    )


def decode_registration(
    runner: RunnerId, content: bytes
) -> DecodedRegistration:
    """Decode the entry of a runner.

    :param runner: id of the runner.
    :param content: content of the entry, which may be invalid.
    :returns: the runner, or the problems of the entry.
    """
    if not is_header_id(runner):
        return DecodedRegistration(None, (Finding('key', 'is no id'),))
    if len(content) > MAX_ENTRY_BYTES:
        problem = f'has over {MAX_ENTRY_BYTES} bytes'
        return DecodedRegistration(None, (Finding('document', problem),))
    reader = read_json(content)
    state = reader.string(names.STATE)
    if state not in {_READY, _DRAINING}:
        problem = f'is unknown: {state[:MAX_SHOWN_CHARS]!r}'
        reader.findings.append(Finding(names.STATE, problem))
    labels = reader.strings(names.LABELS)
    entry = Registration(
        runner=runner,
        service=reader.string(names.SERVICE),
        address=reader.address(names.ADDRESS),
        zone=reader.string(names.ZONE),
        draining=state == _DRAINING,
        room=_decode_resources(reader.nested(names.CAPACITY)),
        labels=frozenset(labels),
        # The first label is the runner's kind, the second one its rack.
        rack=labels[1] if len(labels) > 1 else '',
        machine=reader.string(names.MACHINE),
        leaving_ms=_decode_optional(reader, names.REMAINING_MS),
        kind=labels[0] if labels else '',
        cold_left_ms=reader.integer(names.COLD_LEFT_MS),
    )
    for name in (names.SERVICE, names.ADDRESS, names.CAPACITY):
        if not reader.has(name):
            reader.findings.append(Finding(name, 'is missing'))
    if reader.findings:
        return DecodedRegistration(None, tuple(reader.findings))
    born_ms = reader.timestamp_ms(names.BORN)
    return DecodedRegistration(
        entry._replace(born_ms=born_ms), tuple(reader.findings)
    )


class DecodedCatalogue(NamedTuple):
    """Result of decoding a configuration.

    :ivar catalogue: the configuration; none if it has no valid version.
    :ivar findings: problems of the configuration.
    """

    catalogue: Catalogue | None
    findings: tuple[Finding, ...]


def decode_catalogue(content: bytes) -> DecodedCatalogue:
    """Decode a configuration.

    :param content: content of the document.
    :returns: the configuration and its problems.
    """
    reader = read_json(content)
    version = reader.integer(names.VERSION)
    if not reader.has(names.VERSION):
        reader.findings.append(Finding(names.VERSION, 'is missing'))
    if reader.findings:
        return DecodedCatalogue(None, tuple(reader.findings))
    catalogue = Catalogue(
        version=version,
        queues=reader.decode_each(names.ROUTES, _decode_queue),
        teams=reader.decode_each(names.TENANTS, _decode_team),
        max_body_bytes=reader.nested(names.LIMITS).integer(
            names.MAX_BODY_BYTES, 262_144
        ),
    )
    return DecodedCatalogue(catalogue, tuple(reader.findings))


def find_problems(content: bytes) -> tuple[Finding, ...]:
    """Check that a document of which no field is used is valid.

    :param content: content of the document.
    :returns: its problems.
    """
    return tuple(read_json(content).findings)


class Wave(NamedTuple):
    """A wave of upkeep: machines that are to be maintained.

    :ivar number: number of the wave.
    :ivar machines: names of the machines.
    :ivar deadline_ms: time within which all of them have to be done, in ms.
    :ivar at_once: maximum number of machines in upkeep at the same time.
    """

    number: int
    machines: tuple[str, ...]
    deadline_ms: Millis
    at_once: int


class DecodedWave(NamedTuple):
    """Result of decoding a wave of upkeep.

    :ivar wave: the wave; none if the document has no valid number.
    :ivar findings: problems of the document.
    """

    wave: Wave | None
    findings: tuple[Finding, ...]


def decode_wave(content: bytes) -> DecodedWave:
    """Decode a wave of upkeep.

    :param content: content of the document.
    :returns: the wave and its problems.
    """
    reader = read_json(content)
    number = reader.integer(names.WAVE)
    if not reader.has(names.WAVE):
        reader.findings.append(Finding(names.WAVE, 'is missing'))
    if reader.findings:
        return DecodedWave(None, tuple(reader.findings))
    wave = Wave(
        number,
        reader.strings(names.MACHINES),
        int(reader.number(names.DEADLINE_S) * _MS_PER_S),
        max(reader.integer(names.MAX_COUNT, 1), 1),
    )
    return DecodedWave(wave, tuple(reader.findings))


def encode_wave_state(number: int, *, complete: bool) -> bytes:
    """Encode the state of a wave.

    :param number: number of the wave.
    :param complete: whether the upkeep of all its machines is done.
    :returns: the document.
    """
    state = _COMPLETE if complete else _ACTIVE
    return msgspec.json.encode({names.WAVE: number, names.STATE: state})


def _decode_queue(reader: DocumentReader) -> Queue | None:
    terms = QueueTerms(
        priority=reader.integer(names.PRIORITY),
        max_attempts=max(reader.integer(names.MAX_ATTEMPTS, 1), 1),
        slack=reader.number(names.SLACK_FACTOR, 1) or 1,
        # Allowed latency of a job in addition to its critical path.
        objective_ms=reader.integer(names.TARGET_LATENCY_MS),
        service=reader.string(names.SERVICE),
    )
    advice = None
    if reader.has(names.ADVICE):
        policy = reader.nested(names.ADVICE)
        advice = AdviceTerms(
            policy.integer(names.VALID_MS, 1_000),
            max(policy.number(names.DECISION_MS, 0), 0),
            max(policy.number(names.PER_WORKER_MS, 0), 0),
        )
    return Queue(
        name=reader.string(names.NAME),
        host=reader.string(names.HOST).lower(),
        prefix=reader.string(names.PATH_PREFIX),
        terms=terms,
        public=reader.boolean(names.PUBLIC),
        advice=advice,
    )


def _decode_team(reader: DocumentReader) -> Team | None:
    return Team(
        reader.string(names.NAME),
        frozenset(reader.strings(names.API_KEYS)),
        reader.nested(names.GUARANTEED).integer(names.GPU),
    )


def _decode_resources(reader: DocumentReader) -> Resources:
    return Resources(
        reader.integer(names.CPU),
        reader.integer(names.MEM_MB),
        reader.integer(names.GPU),
    )


def _decode_optional(reader: DocumentReader, name: str) -> int | None:
    return reader.integer(name) if reader.has(name) else None
