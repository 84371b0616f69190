"""The ways by which groups of records reach the log."""

import enum
from collections.abc import Sequence
from typing import Protocol

import anyio

from swifthoist_core.errors import OutcomeUnknownError
from swifthoistd.logs import LEDGER_STREAM, Log


class Receipt(enum.Enum):
    """How far a group got.

    ``APPENDED``: it is on the log. ``QUEUED``: another instance will append
    it, unless it dies or the log is down.
    """

    APPENDED = 'appended'
    QUEUED = 'queued'


class Committer(Protocol):
    """A way to the log that keeps the order of one author's groups."""

    async def commit(
        self, payloads: Sequence[bytes], timeout_s: float, again: bool
    ) -> Receipt:
        """Bring a group to the log.

        :param payloads: encoded envelopes, in the order of their numbers.
        :param timeout_s: time for it, in seconds.
        :param again: whether an earlier attempt may have taken effect.
        :returns: how far it got.
        :raises LogUnavailableError: when it surely was not and never will
            be appended by this attempt.
        :raises OutcomeUnknownError: when it may be appended.
        """


class DirectCommitter:
    """Appends each group by itself."""

    def __init__(self, log: Log) -> None:
        """Keep the client of the log.

        :param log: the client.
        """
        self._log = log

    async def commit(
        self, payloads: Sequence[bytes], timeout_s: float, again: bool
    ) -> Receipt:
        """Append a group.

        :param payloads: encoded envelopes, in the order of their numbers.
        :param timeout_s: time for it, in seconds.
        :param again: whether an earlier attempt may have taken effect.
        :returns: that it is on the log.
        :raises OutcomeUnknownError: when no reply came in time.
        """
        with anyio.move_on_after(timeout_s):
            await self._log.append(LEDGER_STREAM, payloads, timeout_s)
            return Receipt.APPENDED
        raise OutcomeUnknownError('the log did not reply in time')
