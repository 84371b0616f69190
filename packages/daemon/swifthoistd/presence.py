"""Presence: what this instance tells others of itself, and hears of them."""

from typing import NamedTuple

import anyio

from swifthoist_core.ledger import Ledger
from swifthoist_core.records import Author
from swifthoist_platform.instances import Listed
from swifthoistd.api_status import Health
from swifthoistd.choice import Chooser
from swifthoistd.members import Heard, Member, Members
from swifthoistd.runners import ListedRunner, Runners, RunnerState
from swifthoistd.settings import Settings
from swifthoistd.shares import Shares
from swifthoistd.tenure import Tenure
from swifthoistd.worker_registry import WorkerRegistry

SHARE_S = 0.25
"""Time between two looks at what peers said, in seconds."""


class Addresses(NamedTuple):
    """Where this instance listens.

    :ivar http: ``host:port`` for callers and operators.
    :ivar peer: ``host:port`` for other instances.
    """

    http: str
    peer: str


class Subjects(NamedTuple):
    """What presence is told about and tells of.

    :ivar ledger: the state.
    :ivar tenure: whether this instance holds the cell.
    :ivar health: whether it takes work.
    :ivar members: the other instances.
    :ivar shares: this instance's part of the runners.
    :ivar runners: the table of runners.
    :ivar chooser: what is in flight at them.
    :ivar worker_registry: the workers as listed.
    """

    ledger: Ledger
    tenure: Tenure
    health: Health
    members: Members
    shares: Shares
    runners: Runners
    chooser: Chooser
    worker_registry: WorkerRegistry


class Presence:
    """Describes this instance, and passes on what the others say."""

    def __init__(
        self, cfg: Settings, me: Author, addresses: Addresses, about: Subjects
    ) -> None:
        """Wire the parts.

        :param cfg: settings.
        :param me: this instance.
        :param addresses: where it listens.
        :param about: what it is told about and tells of.
        """
        self._cfg = cfg
        self._me = me
        self._addresses = addresses
        self._about = about

    def heard(self) -> Heard:
        """Describe this instance to its peers."""
        about = self._about
        return Heard(
            self._me,
            self._cfg.zone,
            about.ledger.offset,
            about.health.draining,
            about.chooser.in_flight(),
            about.tenure.epoch,
            about.runners.departed(),
        )

    def listed(self) -> Listed:
        """Describe this instance to the platform."""
        return Listed(
            self._cfg.instance,
            'entry',
            self._addresses.http,
            self._addresses.peer,
            self._cfg.zone,
            self._cfg.rack,
            self._me.incarnation,
            'leaving' if self._about.health.draining else 'live',
        )

    def note_list(self, listed: tuple[Listed, ...]) -> None:
        """Take the platform's list in.

        :param listed: its lines.
        """
        about = self._about
        about.members.note_listed(
            Member(line.instance_id, line.peer_address)
            for line in listed
            if line.kind == 'entry'
        )
        about.worker_registry.note_listed(
            [line for line in listed if line.kind == 'worker']
        )
        about.runners.replace(
            _listed_runner(line) for line in listed if line.kind == 'runner'
        )
        about.chooser.retain(about.runners.listed())

    async def run(self) -> None:
        """Pass on what heartbeats say, for as long as the instance lives."""
        while True:
            self.note_peers()
            await anyio.sleep(SHARE_S)

    def note_peers(self) -> None:
        """Tell the request path what the peers said last.

        Connections are divided by every instance that is listed or heard,
        also one that leaves or is silent, since it may still use its part.
        """
        about = self._about
        others = about.members.all_members()
        about.shares.update(member.instance for member in others)
        for member in about.members.live():
            if member.heard is not None:
                self._note_peer(member.heard)

    def _note_peer(self, heard: Heard) -> None:
        instance = heard.author.instance
        self._about.chooser.note_peer_use(instance, heard.in_flight)
        for runner, incarnation in heard.departed.items():
            self._about.runners.note_leaving(runner, incarnation)


def _listed_runner(line: Listed) -> ListedRunner:
    return ListedRunner(
        line.instance_id,
        line.address,
        line.zone,
        RunnerState(line.state),
        line.incarnation,
        line.service,
    )
