"""The configuration in force: queues, teams and their guarantees."""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from functools import cached_property
from typing import NamedTuple

from swifthoist_core.types import Millis, OwnerId
from swifthoist_engine.model import QueueTerms


class AdviceTerms(NamedTuple):
    """A queue whose policy names the runners that may run a step.

    :ivar valid_ms: how long a permission holds, in ms.
    """

    valid_ms: Millis


class Queue(NamedTuple):
    """A queue of jobs.

    :ivar name: its name.
    :ivar host: host name that calls give, in lower case.
    :ivar prefix: what the path of its calls begins with.
    :ivar terms: terms of its jobs.
    :ivar public: calls need no key.
    :ivar advice: terms of permissions; none if any runner will do.
    """

    name: str
    host: str
    prefix: str
    terms: QueueTerms
    public: bool = False
    advice: AdviceTerms | None = None


class Team(NamedTuple):
    """A team and what belongs to it.

    :ivar name: its name.
    :ivar keys: keys that its calls carry.
    :ivar accelerators: accelerators guaranteed to its urgent jobs.
    """

    name: OwnerId
    keys: frozenset[str]
    accelerators: int = 0


@dataclass(frozen=True)
class Catalogue:
    """One version of the configuration, with indexes of what is looked up.

    :ivar version: its number, which rises.
    :ivar queues: the queues.
    :ivar teams: the teams.
    :ivar max_body_bytes: largest body of a call, in bytes.
    """

    version: int
    queues: tuple[Queue, ...]
    teams: tuple[Team, ...]
    max_body_bytes: int

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Find the queue with the longest prefix of a path.

        :param host: host name of the call, in lower case.
        :param path: path of the call.
        :returns: the queue, or none.
        """
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def queue_named(self, name: str) -> Queue | None:
        """Find a queue by its name.

        :param name: the name.
        :returns: the queue, or none if this version has none such.
        """
        return self._by_name.get(name)

    def team_of(self, key: str) -> Team | None:
        """Find the team that a key belongs to.

        :param key: a key.
        :returns: the team, or none if no team has it.
        """
        return self._by_key.get(key)

    def guaranteed(self, team: OwnerId) -> int:
        """Tell what belongs to a team.

        :param team: its name.
        :returns: number of accelerators; 0 for a team that is not known.
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
