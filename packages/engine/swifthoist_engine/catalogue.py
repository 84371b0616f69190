"""The configuration in force: queues, teams and their guarantees."""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from functools import cached_property
from typing import NamedTuple

from swifthoist_core.types import Millis, OwnerId
from swifthoist_engine.model import QueueTerms


class AdviceTerms(NamedTuple):
    """Terms of a queue whose policy selects the runners allowed to run a step.

    :ivar valid_ms: how long a permission is valid, in ms.
    :ivar decision_ms: time that the service needs for a query, in ms.
    :ivar per_runner_ms: the same for each runner in the query, in ms.
    """

    valid_ms: Millis
    decision_ms: float = 0
    per_runner_ms: float = 0


class Queue(NamedTuple):
    """A queue of jobs.

    :ivar name: its name.
    :ivar host: host name that calls use, in lower case.
    :ivar prefix: prefix of the path of its calls.
    :ivar terms: terms of its jobs.
    :ivar public: whether calls need no key.
    :ivar advice: terms of permissions; none if any runner may be used.
    """

    name: str
    host: str
    prefix: str
    terms: QueueTerms
    public: bool = False
    advice: AdviceTerms | None = None


class Team(NamedTuple):
    """A team with its keys and guarantee.

    :ivar name: its name.
    :ivar keys: API keys of its calls.
    :ivar accelerators: accelerators guaranteed to its urgent jobs.
    """

    name: OwnerId
    keys: frozenset[str]
    accelerators: int = 0


@dataclass(frozen=True)
class Catalogue:
    """One version of the configuration, with lookup indexes.

    :ivar version: its number; later versions have greater ones.
    :ivar queues: the queues.
    :ivar teams: the teams.
    :ivar max_body_bytes: largest body of a call, in bytes.
    """

    version: int
    queues: tuple[Queue, ...]
    teams: tuple[Team, ...]
    max_body_bytes: int

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix that matches a path.

        :param host: host name of the call, in lower case.
        :param path: path of the call.
        :returns: the queue; none if no prefix matches.
        """
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def queue_named(self, name: str) -> Queue | None:
        """Return a queue by name.

        :param name: the name.
        :returns: the queue; none if this version doesn't define it.
        """
        return self._by_name.get(name)

    def team_of(self, key: str) -> Team | None:
        """Return the team that owns an API key.

        :param key: the key.
        :returns: the team; none if no team owns it.
        """
        return self._by_key.get(key)

    def guaranteed(self, team: OwnerId) -> int:
        """Return the guarantee of a team.

        :param team: name of the team.
        :returns: number of accelerators; 0 for an unknown team.
        """
        sizes = (item.accelerators for item in self.teams if item.name == team)
        return next(sizes, 0)

    @cached_property
    def _by_name(self) -> Mapping[str, Queue]:
        return {queue.name: queue for queue in self.queues}

    @cached_property
    def _by_key(self) -> Mapping[str, Team]:
        return {key: team for team in self.teams for key in team.keys}

    @cached_property
    def _by_host(self) -> Mapping[str, Sequence[Queue]]:
        """Queues of each host, the longest prefix first."""
        hosts: dict[str, list[Queue]] = defaultdict(list)
        for queue in sorted(self.queues, key=_prefix_length, reverse=True):
            hosts[queue.host].append(queue)
        return hosts


def _prefix_length(queue: Queue) -> int:
    return len(queue.prefix)
