"""Documents that the operator and the runners write to the store."""

from typing import NamedTuple

import msgspec

from swifthoist_core.errors import Finding
from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.catalogue import AdviceTerms, Catalogue, Queue, Team
from swifthoist_engine.model import QueueTerms, Resources
from swifthoist_engine.past_runs import RunnerFacts
from swifthoist_platform import names
from swifthoist_platform.values import DocumentReader, read_json

_DRAINING = 'draining'
_READY = 'ready'
_ACTIVE = 'active'
_COMPLETE = 'complete'
_MS_PER_S = 1_000


class Registration(NamedTuple):
    """A runner as it registered itself.

    :ivar runner: its id.
    :ivar service: the service that it runs for.
    :ivar address: ``host:port``.
    :ivar zone: its zone.
    :ivar draining: it is about to leave.
    :ivar room: its capacity.
    :ivar labels: its labels.
    :ivar rack: its rack; empty if unknown.
    :ivar machine: the machine that it is a life of.
    :ivar leaving_ms: least time that is left while it drains.
    :ivar kind: its kind; empty if unknown.
    :ivar cold_left_ms: how much longer it is slow after its start, as of its entry.
    :ivar born_ms: when this life began, since the Unix epoch; 0 if unsaid.
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
        """What is kept of it beside its runs."""
        return RunnerFacts(
            self.machine, self.rack, self.zone, self.kind, self.born_ms
        )


class DecodedRegistration(NamedTuple):
    """What came of a registration's bytes.

    :ivar registration: the runner; none if its entry names none to use.
    :ivar findings: what is wrong with the entry; a birth that can't be read
        leaves the runner in use.
    """

    registration: Registration | None
    findings: tuple[Finding, ...]


def unregistered_runner(runner: RunnerId, address: str) -> Registration:
    """Describe a runner of which only the address is known.

    :param runner: its id.
    :param address: where it answered, ``host:port``.
    :returns: a registration that offers no room. It does not say that the
        runner leaves: entries expire while the store is away.
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

    :param runner: its id.
    :param content: bytes of the entry, by any writer.
    :returns: the runner, or what is wrong with the entry.
    """
    reader = read_json(content)
    state = reader.string(names.STATE)
    if state not in {_READY, _DRAINING}:
        reader.findings.append(Finding(names.STATE, f'is unknown: {state!r}'))
    labels = reader.strings(names.LABELS)
    entry = Registration(
        runner=runner,
        service=reader.string(names.SERVICE),
        address=reader.string(names.ADDRESS),
        zone=reader.string(names.ZONE),
        draining=state == _DRAINING,
        room=_resources(reader.nested(names.CAPACITY)),
        labels=frozenset(labels),
        # The first label is the kind of the runner, the second its rack.
        rack=labels[1] if len(labels) > 1 else '',
        machine=reader.string(names.MACHINE),
        leaving_ms=_optional(reader, names.REMAINING_MS),
        kind=labels[0] if labels else '',
        cold_left_ms=reader.integer(names.COLD_LEFT_MS),
    )
    for name in (names.SERVICE, names.ADDRESS, names.CAPACITY):
        if not reader.has(name):
            reader.findings.append(Finding(name, 'is missing'))
    host, _, port = entry.address.rpartition(':')
    if not host or not port.isdecimal():
        reader.findings.append(Finding(names.ADDRESS, 'is no address'))
    if reader.findings:
        return DecodedRegistration(None, tuple(reader.findings))
    born_ms = reader.timestamp_ms(names.BORN)
    return DecodedRegistration(
        entry._replace(born_ms=born_ms), tuple(reader.findings)
    )


class DecodedCatalogue(NamedTuple):
    """What came of a configuration's bytes.

    :ivar catalogue: the configuration; none if it can't be used.
    :ivar findings: what is wrong with it.
    """

    catalogue: Catalogue | None
    findings: tuple[Finding, ...]


def decode_catalogue(content: bytes) -> DecodedCatalogue:
    """Decode a configuration.

    :param content: its bytes.
    :returns: the configuration, and what is wrong with it.
    """
    reader = read_json(content)
    if not reader.has(names.VERSION):
        return DecodedCatalogue(None, (Finding(names.VERSION, 'is missing'),))
    catalogue = Catalogue(
        version=reader.integer(names.VERSION),
        queues=reader.decode_each(names.ROUTES, _queue),
        teams=reader.decode_each(names.TENANTS, _team),
        body_limit=reader.nested(names.LIMITS).integer(
            names.MAX_BODY_BYTES, 262_144
        ),
    )
    return DecodedCatalogue(catalogue, tuple(reader.findings))


def find_problems(content: bytes) -> tuple[Finding, ...]:
    """Tell what is wrong with a document of which nothing is needed.

    :param content: its bytes.
    :returns: the findings.
    """
    return tuple(read_json(content).findings)


class Wave(NamedTuple):
    """Machines that are to have their upkeep.

    :ivar number: number of the wave.
    :ivar machines: the machines.
    :ivar deadline_ms: time within which all are to be done, in ms.
    :ivar at_once: most machines that may be away for it at a time.
    """

    number: int
    machines: tuple[str, ...]
    deadline_ms: Millis
    at_once: int


def decode_wave(content: bytes) -> Wave:
    """Decode a wave of upkeep.

    :param content: its bytes.
    :returns: the wave.
    """
    reader = read_json(content)
    return Wave(
        reader.integer(names.WAVE),
        reader.strings(names.MACHINES),
        int(reader.number(names.DEADLINE_S) * _MS_PER_S),
        max(reader.integer(names.MAX_COUNT, 1), 1),
    )


def encode_wave_state(number: int, *, complete: bool) -> bytes:
    """Write the state of a wave.

    :param number: number of the wave.
    :param complete: every machine of it has had its upkeep.
    :returns: the document.
    """
    state = _COMPLETE if complete else _ACTIVE
    return msgspec.json.encode({names.WAVE: number, names.STATE: state})


def _queue(reader: DocumentReader) -> Queue | None:
    terms = QueueTerms(
        priority=reader.integer(names.PRIORITY),
        max_attempts=max(reader.integer(names.MAX_ATTEMPTS, 1), 1),
        slack=reader.number(names.SLACK_FACTOR, 1) or 1,
        # The bound of a job's latency beyond its chain of work.
        objective_ms=reader.integer(names.TARGET_LATENCY_MS),
        service=reader.string(names.SERVICE),
    )
    advice = None
    if reader.has(names.ADVICE):
        valid_ms = reader.nested(names.ADVICE).integer(names.VALID_MS, 1_000)
        advice = AdviceTerms(valid_ms)
    return Queue(
        name=reader.string(names.NAME),
        host=reader.string(names.HOST).lower(),
        prefix=reader.string(names.PATH_PREFIX),
        terms=terms,
        public=reader.boolean(names.PUBLIC),
        advice=advice,
    )


def _team(reader: DocumentReader) -> Team | None:
    return Team(
        reader.string(names.NAME),
        frozenset(reader.strings(names.API_KEYS)),
        reader.nested(names.GUARANTEED).integer(names.GPU),
    )


def _resources(reader: DocumentReader) -> Resources:
    return Resources(
        reader.integer(names.CPU),
        reader.integer(names.MEM_MB),
        reader.integer(names.GPU),
    )


def _optional(reader: DocumentReader, name: str) -> int | None:
    return reader.integer(name) if reader.has(name) else None
