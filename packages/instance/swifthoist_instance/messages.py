"""Requests of callers, and the answers to them."""

from typing import NamedTuple

from swifthoist_platform.job_calls import Verb

OK = 200
BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
CONFLICT = 409
GONE = 410
TOO_LARGE = 413
INTERNAL_ERROR = 500
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

READING_METHODS = frozenset((Verb.SHOW.value, 'HEAD'))
"""Methods of calls that have no effect."""


class Call(NamedTuple):
    """A request of a caller.

    :ivar method: HTTP method.
    :ivar host: host name, in lower case and without port.
    :ivar path: path, without query.
    :ivar key: API key; empty if none was sent.
    :ivar wait_s: how long the caller still waits for the response, in seconds;
        not above 0 if it may have given up before the call was read.
    :ivar content: request body.
    :ivar relayed: whether another instance passed it on.
    :ivar min_version: oldest configuration by which it may be judged: that of
        the instance that passed it on. 0 for any.
    """

    method: str
    host: str
    path: str
    key: str
    wait_s: float
    content: bytes
    relayed: bool = False
    min_version: int = 0

    @property
    def job(self) -> str:
        """Last part of the path, which is the id of a job in most calls."""
        return self.path.rpartition('/')[2]

    @property
    def changes_state(self) -> bool:
        """Whether serving the call may have an effect."""
        return self.method not in READING_METHODS


class Answer(NamedTuple):
    """Response to a request.

    :ivar status: HTTP status.
    :ivar content: response body.
    :ivar retry_after_s: value of Retry-After, in seconds; 0 omits it.
    :ivar closing: whether the connection is closed behind it, since the body
        of the request was not read.
    """

    status: int
    content: bytes = b''
    retry_after_s: int = 0
    closing: bool = False

    @property
    def tells_effect(self) -> bool:
        """Whether the answer is true whatever earlier attempts have done."""
        return self.status in {OK, GONE}
