"""Admits callers' requests by the configuration: host, path and key."""

from collections.abc import Callable
from typing import NamedTuple

from swifthoist_core.types import Millis
from swifthoist_engine.catalogue import Queue
from swifthoist_instance.configuration import Configuration
from swifthoist_instance.messages import NOT_FOUND, UNAUTHORIZED, Answer, Call
from swifthoist_instance.recording import NotServedError

MAX_CONFIGURATION_AGE_SHARE = 0.6
"""Maximum age of an unconfirmed configuration that is still used, as a share of
the time within which a revoked key has to be refused."""

DEFAULT_BODY_BYTES = 262_144
"""Largest body while no configuration is known, in bytes."""


class Admitted(NamedTuple):
    """What an admitted request may use.

    :ivar queue: queue that the request addresses.
    :ivar team: team that owns the API key; empty for a public queue.
    :ivar max_body_bytes: maximum body that the configuration allows, in bytes.
    """

    queue: Queue
    team: str
    max_body_bytes: int


class Admission:
    """Admits requests."""

    def __init__(
        self, configuration: Configuration, revocation_ms: Callable[[], Millis]
    ) -> None:
        """Admit by a configuration.

        :param configuration: queues, teams and keys.
        :param revocation_ms: returns the time within which a revoked key has
            to be refused, in ms.
        """
        self._configuration = configuration
        self._revocation_ms = revocation_ms

    @property
    def confirmed(self) -> bool:
        """Whether the configuration is recent enough to be used."""
        age_ms = self._configuration.age_ms
        trust_ms = self._revocation_ms() * MAX_CONFIGURATION_AGE_SHARE
        return age_ms is not None and age_ms < trust_ms

    @property
    def max_body_bytes(self) -> int:
        """Largest body of a request, in bytes."""
        catalogue = self._configuration.catalogue
        return catalogue.max_body_bytes if catalogue else DEFAULT_BODY_BYTES

    def admit(self, call: Call) -> Admitted | Answer:
        """Admit a request.

        :param call: the request; its body is not needed.
        :returns: what it may use, or why it is rejected.
        :raises NotServedError: if this instance can't tell.
        """
        catalogue = self._configuration.catalogue
        if catalogue is None or not self.confirmed:
            raise NotServedError('configuration not confirmed')
        if catalogue.version < call.min_version:
            raise NotServedError('configuration older than at the sender')
        queue = catalogue.find_queue(call.host, call.path)
        if queue is None:
            return Answer(NOT_FOUND)
        team = catalogue.team_of(call.key) if call.key else None
        if team is None and not queue.public:
            return Answer(UNAUTHORIZED)
        name = team.name if team else ''
        return Admitted(queue, name, catalogue.max_body_bytes)
