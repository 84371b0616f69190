"""Requests for work, what becomes of them, and the record before them."""

from typing import NamedTuple, Protocol, TypeAlias

from swifthoist_core.types import ClassName, Millis, OwnerId, RequestKey


class WorkRequest(NamedTuple):
    """A short request as its caller sent it.

    :ivar request_id: id of this request; the runner repeats it.
    :ivar owner: the team.
    :ivar class_name: class of work.
    :ivar key: idempotency key, unique for the owner.
    :ivar idempotent: whether it may run more than once.
    :ivar body: content for the runner.
    :ivar content_type: media type of the body.
    :ivar deadline_ms: time the caller waits, in ms; 0 for the entry's.
    """

    request_id: str
    owner: OwnerId
    class_name: ClassName
    key: RequestKey
    idempotent: bool
    body: bytes
    content_type: str
    deadline_ms: Millis


class Done(NamedTuple):
    """The whole answer of a runner.

    :ivar status: HTTP status, never 5xx.
    :ivar body: the content, complete.
    :ivar content_type: media type of the body.
    """

    status: int
    body: bytes
    content_type: str


class NotRun(NamedTuple):
    """The request did not run and won't.

    :ivar reason: why, as a short stable word such as ``rate``.
    :ivar retry_after_ms: when it makes sense to ask again, in ms.
    """

    reason: str
    retry_after_ms: Millis


class Unknown(NamedTuple):
    """The request may have run; no whole answer came.

    :ivar reason: what went wrong, as a short stable word.
    """

    reason: str


Outcome: TypeAlias = Done | NotRun | Unknown


class Granted(NamedTuple):
    """The intent is in the log and this instance may send the request.

    :ivar valid_ms: time from the call within which the first byte must be
        sent, in ms.
    """

    valid_ms: Millis


class Settled(NamedTuple):
    """The request was settled earlier, under the same key.

    :ivar outcome: what became of it.
    """

    outcome: Outcome


class Refused(NamedTuple):
    """The request did not run under this key and must not be sent now.

    :ivar reason: why, as a short stable word.
    :ivar retry_after_ms: when it makes sense to ask again, in ms.
    """

    reason: str
    retry_after_ms: Millis


Permission: TypeAlias = Granted | Settled | Refused


class Intents(Protocol):
    """The durable record that comes before a non-idempotent request."""

    async def open(self, req: WorkRequest) -> Permission:
        """Record the intent to send a request.

        Answer :class:`Refused` only when it is certain that no request
        under this key has run; raise otherwise.

        :param req: the request.
        :returns: whether it may be sent.
        :raises SwifthoistError: when that can't be known in time.
        """

    async def close(self, req: WorkRequest, outcome: Outcome) -> None:
        """Record what became of a request whose intent was granted.

        :param req: the request.
        :param outcome: what became of it.
        :raises SwifthoistError: when the record can't be written; the
            intent then stays open and its key is never granted again.
        """
