"""The catalogue: entries that name an owner, a class of work and limits."""

import enum
from typing import NamedTuple

from swifthoist_core.shapes import GuaranteedShape
from swifthoist_core.types import ClassName, EntryId, Millis, OwnerId


class Work(enum.StrEnum):
    """What an entry admits: short requests to runners or jobs on workers."""

    REQUEST = 'request'
    JOB = 'job'


class Urgency(enum.IntEnum):
    """Order of service; a smaller value goes first."""

    URGENT = 0
    INTERACTIVE = 1
    BATCH = 2


class Limits(NamedTuple):
    """What an owner may use of a class of work.

    :ivar rate_per_s: requests or jobs a second, over all entry instances.
    :ivar burst: how many may come at once beyond the rate.
    :ivar concurrency: requests in progress, or jobs running, at one time.
    :ivar queue: requests or jobs that may wait.
    :ivar deadline_ms: longest time for an answer, in ms; also the default.
    """

    rate_per_s: float = 100.0
    burst: int = 50
    concurrency: int = 64
    queue: int = 256
    deadline_ms: Millis = 10_000


class Objective(NamedTuple):
    """The service level that an owner was promised for a class.

    :ivar good_ratio: share of requests that must be good, 0 to 1.
    :ivar within_ms: a good one is complete within this time, in ms.
    """

    good_ratio: float = 0.99
    within_ms: Millis = 2_000


class Entry(NamedTuple):
    """One entry of the catalogue.

    :ivar entry_id: id, unique in the catalogue.
    :ivar owner: the team that the entry is for.
    :ivar class_name: class of work, such as ``hazard-check``.
    :ivar work: short requests or jobs.
    :ivar urgency: order of service.
    :ivar limits: what the owner may use.
    :ivar objective: the service level that was promised.
    :ivar guarantee: shapes the owner can always get; for jobs only.
    :ivar service: the service whose runners answer; for requests only.
    """

    entry_id: EntryId
    owner: OwnerId
    class_name: ClassName
    work: Work
    urgency: Urgency = Urgency.INTERACTIVE
    limits: Limits = Limits()
    objective: Objective = Objective()
    guarantee: tuple[GuaranteedShape, ...] = ()
    service: str = ''


class Policy(NamedTuple):
    """Settings of placement that hold for the whole catalogue.

    :ivar completion_weight: weight of completion time, 0 or more.
    :ivar fragmentation_weight: weight of fragmentation, 0 or more.
    :ivar reclaim_ms: time a borrower has to checkpoint and stop, in ms.
    """

    completion_weight: float = 1.0
    fragmentation_weight: float = 1.0
    reclaim_ms: Millis = 1_000


class Versioned(NamedTuple):
    """An entry with its version.

    :ivar version: grows by one with each accepted change, from 1, and never
        restarts, not even after the entry was withdrawn.
    :ivar entry: the entry, or ``None`` once it was withdrawn.
    """

    version: int
    entry: Entry | None


class Catalogue:
    """The aggregate of all entries; changes only by accepted versions.

    :ivar policy: settings of placement in force.
    :ivar policy_version: version of the policy, 0 for the default.
    """

    def __init__(self) -> None:
        """Start with no entry and the default policy."""
        self.policy = Policy()
        self.policy_version = 0
        self._entries: dict[EntryId, Versioned] = {}
        self._by_class: dict[tuple[OwnerId, ClassName], EntryId] = {}

    def version(self, entry_id: EntryId) -> int:
        """Version of an entry.

        :param entry_id: id of the entry.
        :returns: its version, 0 if there never was such an entry.
        """
        found = self._entries.get(entry_id)
        return found.version if found else 0

    def get(self, entry_id: EntryId) -> Entry | None:
        """Find the entry in force.

        :param entry_id: id of the entry.
        :returns: the entry, or ``None`` if there is none in force.
        """
        found = self._entries.get(entry_id)
        return found.entry if found else None

    def find(self, owner: OwnerId, class_name: ClassName) -> Entry | None:
        """Find the entry for an owner's class of work.

        :param owner: the team.
        :param class_name: the class of work.
        :returns: the entry in force, or ``None``.
        """
        entry_id = self._by_class.get((owner, class_name))
        return self.get(entry_id) if entry_id is not None else None

    def entries(self) -> tuple[Versioned, ...]:
        """All entries in force with their versions, by id."""
        ordered = sorted(self._entries.items())
        return tuple(item for _, item in ordered if item.entry is not None)

    def owners(self) -> frozenset[OwnerId]:
        """Every owner that an entry in force names."""
        return frozenset(owner for owner, _ in self._by_class)

    def clash(self, entry: Entry) -> EntryId | None:
        """Find another entry for the same owner and class.

        :param entry: the entry to be put in force.
        :returns: id of the other entry, or ``None``.
        """
        other = self._by_class.get((entry.owner, entry.class_name))
        return other if other != entry.entry_id else None

    def put(self, entry_id: EntryId, entry: Entry | None) -> int:
        """Put the next version of an entry in force.

        :param entry_id: id of the entry.
        :param entry: its new content, or ``None`` to withdraw it.
        :returns: the new version.
        """
        before = self.get(entry_id)
        if before is not None:
            self._by_class.pop((before.owner, before.class_name), None)
        if entry is not None:
            self._by_class[entry.owner, entry.class_name] = entry_id
        version = self.version(entry_id) + 1
        self._entries[entry_id] = Versioned(version, entry)
        return version

    def put_policy(self, policy: Policy) -> int:
        """Put the next version of the policy in force.

        :param policy: the new settings.
        :returns: the new version.
        """
        self.policy = policy
        self.policy_version += 1
        return self.policy_version
