"""What became of calls that were passed on to other instances."""

import logging
from typing import NamedTuple

from swifthoist_instance.messages import Answer, Call

_log = logging.getLogger(__name__)


class Relayed(NamedTuple):
    """What became of a call that was passed on.

    :ivar answer: the answer; None if no instance served the call.
    :ivar refused: number of instances that refused it or failed.
    :ivar unknown: whether an instance may have served it without an answer.
    :ivar unreached: number of instances that could not be reached or gave no
        answer.
    :ivar status: HTTP status of the last instance; 0 if it gave no answer.
    """

    answer: Answer | None = None
    refused: int = 0
    unknown: bool = False
    unreached: int = 0
    status: int = 0

    @property
    def alone(self) -> bool:
        """Whether this instance seems to be cut off from all others."""
        return self.unreached > 0 and not self.refused

    def followed_by(self, later: 'Relayed') -> 'Relayed':
        """Return what became of a call after one more attempt.

        A rejection tells only of the attempt that it answers. If another one
        may have taken effect, the outcome stays unknown.

        :param later: what became of the later attempt.
        :returns: the outcome of all.
        """
        unknown = self.unknown or later.unknown
        answer = later.answer
        if unknown and answer is not None and not answer.tells_effect:
            answer = None
        return Relayed(
            answer,
            self.refused + later.refused,
            unknown,
            self.unreached + later.unreached,
            later.status,
        )

    def describe(self) -> str:
        """Describe the outcome of one attempt, for the log."""
        if self.status:
            return str(self.status)
        return 'unknown' if self.unknown else 'unreachable'


class Try(NamedTuple):
    """An attempt to have another instance serve a call, for the log.

    :ivar node: name of the instance.
    :ivar outcome: what became of the attempt.
    """

    node: str
    outcome: str = 'canceled'


def log_relayed(
    call: Call, reason: str, found: Relayed, tries: list[Try]
) -> None:
    """Log what became of a call.

    :param call: the call.
    :param reason: why this instance did not serve it.
    :param found: the outcome of all attempts.
    :param tries: the attempts, in their order.
    """
    fields = {
        'job': call.job,
        'method': call.method,
        'why': reason,
        'status': found.answer.status if found.answer else None,
        'refused_by': found.refused,
        'outcome_unknown': found.unknown,
        'tries': tries,
    }
    _log.info('call passed on', extra=fields)
