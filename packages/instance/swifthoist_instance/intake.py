"""Takes calls about jobs in: admission, and what callers are told.

Every instance takes every call. A job is accepted once its record is on the
log; where the outcome of the append is unknown, the caller is told neither
yes nor no. What can't be served is refused at once, with a time to return.
"""

import logging
import random
from collections.abc import Callable
from typing import NamedTuple

from swifthoist_core.errors import (
    Finding,
    LogUnavailableError,
    OutcomeUnknownError,
)
from swifthoist_core.types import JobId, Millis
from swifthoist_engine.catalogue import Queue
from swifthoist_engine.cell import count_waiting
from swifthoist_engine.jobs import Job
from swifthoist_engine.model import JobSpec
from swifthoist_engine.records import Canceled, Record, Submitted
from swifthoist_instance.configuration import Configuration
from swifthoist_instance.follower import Follower
from swifthoist_instance.journal import Journal
from swifthoist_platform.job_calls import (
    Verb,
    decode_job,
    encode_error,
    encode_job_state,
    encode_pending_count,
    is_job_id,
)

TRUST_SHARE = 0.6
"""Share of the time within which a revoked key is to be refused, for which a
configuration that was not confirmed is still gone by."""

FRESH_MS = 2_500
"""Greatest age of the fold from which callers are answered, in ms: a read
takes up to 1.7 s."""

APPEND_SHARE = 0.8
"""Share of the time that a caller waits which an append may take."""

FOLD_S = 1.0
"""How long a cancel waits until it is folded, in seconds."""

DEFAULT_WAIT_S = 3.0
MAX_WAIT_S = 4.0
RETURN_S = 1
"""When a caller that was refused is told to return, in seconds: most
disturbances of the store end within seconds, and other instances serve."""

RETURN_SPREAD_S = 1
"""Callers are spread over this many seconds more, so that they do not return
all at once."""

OK = 200
INVALID = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
NOT_ALLOWED = 405
TAKEN = 409
GONE = 410
UNAVAILABLE = 503
UNKNOWN = 504

_log = logging.getLogger(__name__)


class Call(NamedTuple):
    """A call of a client.

    :ivar method: HTTP method.
    :ivar host: host name, in lower case and without port.
    :ivar path: path, without query.
    :ivar key: key of the call; empty for none.
    :ivar wait_s: how long the client waits for the answer, in seconds.
    :ivar content: body.
    """

    method: str
    host: str
    path: str
    key: str
    wait_s: float
    content: bytes


class Answer(NamedTuple):
    """Answer to a call.

    :ivar status: HTTP status.
    :ivar content: body.
    :ivar return_s: when to come back, in seconds; 0 for no such advice.
    """

    status: int
    content: bytes = b''
    return_s: int = 0


class _Admitted(NamedTuple):
    """A call that the configuration allows.

    :ivar queue: its queue.
    :ivar team: the team of its key; empty for a public queue.
    :ivar body_limit: largest body that the configuration allows, in bytes.
    """

    queue: Queue
    team: str
    body_limit: int


class Intake:
    """Answers calls about jobs."""

    def __init__(
        self,
        configuration: Configuration,
        follower: Follower,
        journal: Journal,
        revocation_ms: Callable[[], Millis],
    ) -> None:
        """Answer from the fold and by the log.

        :param configuration: the configuration.
        :param follower: folds the log.
        :param journal: appends to it.
        :param revocation_ms: tells the time within which a revoked key is
            refused.
        """
        self._configuration = configuration
        self._follower = follower
        self._journal = journal
        self._revocation_ms = revocation_ms
        self._random = random.Random()

    @property
    def ready(self) -> bool:
        """Whether calls can be served now."""
        age_ms = self._follower.age_ms
        return self._confirmed and age_ms is not None and age_ms < FRESH_MS

    @property
    def _confirmed(self) -> bool:
        age_ms = self._configuration.age_ms
        trust_ms = self._revocation_ms() * TRUST_SHARE
        return age_ms is not None and age_ms < trust_ms

    async def answer(self, call: Call) -> Answer:
        """Answer a call.

        :param call: the call.
        :returns: the answer.
        """
        admitted = self._admit(call)
        if isinstance(admitted, Answer):
            return admitted
        rest = call.path[len(admitted.queue.prefix) :]
        match call.method:
            case Verb.SUBMIT.value if is_job_id(rest):
                return await self._submit(call, admitted, rest)
            case Verb.SHOW.value if not rest:
                return self._show_queue(call, admitted.queue)
            case Verb.SHOW.value:
                return await self._show_job(call, admitted.queue, rest)
            case Verb.CANCEL.value:
                return await self._cancel(call, admitted.queue, rest)
            case Verb.SUBMIT.value:
                finding = Finding('id', 'must be 16 hexadecimal digits')
                return Answer(INVALID, encode_error((finding,)))
            case _:
                return Answer(NOT_ALLOWED)

    def _admit(self, call: Call) -> _Admitted | Answer:
        catalogue = self._configuration.catalogue
        if catalogue is None or not self._confirmed:
            return self._refuse(call, 'configuration not confirmed')
        queue = catalogue.find_queue(call.host, call.path)
        if queue is None:
            return Answer(NOT_FOUND)
        team = catalogue.team_of(call.key) if call.key else None
        if team is None and not queue.public:
            return Answer(UNAUTHORIZED)
        name = team.name if team else ''
        return _Admitted(queue, name, catalogue.body_limit)

    async def _submit(
        self, call: Call, admitted: _Admitted, job_id: JobId
    ) -> Answer:
        known = self._follower.cell.find_job(job_id)
        if known is not None:
            same = known.spec.queue == admitted.queue.name
            return Answer(OK) if same else Answer(TAKEN)
        if len(call.content) > admitted.body_limit:
            finding = Finding('body', f'is over {admitted.body_limit} bytes')
            return Answer(INVALID, encode_error((finding,)))
        decoded = decode_job(call.content)
        if decoded.request is None:
            return Answer(INVALID, encode_error(decoded.findings))
        if not self.ready:
            return self._refuse(call, 'log not followed')
        request = decoded.request
        spec = JobSpec(
            job_id,
            admitted.queue.name,
            admitted.team,
            request.payload,
            request.steps,
            admitted.queue.terms,
            self._follower.time.now_ms(),
            request.schedule,
        )
        return await self._record(Submitted(spec), job_id, call)

    def _show_queue(self, call: Call, queue: Queue) -> Answer:
        if not self.ready:
            return self._refuse(call, 'log not followed')
        waiting = count_waiting(self._follower.cell.state, queue.name)
        return Answer(OK, encode_pending_count(waiting))

    async def _show_job(self, call: Call, queue: Queue, job_id: str) -> Answer:
        job = self._find(queue, job_id)
        if job is None or not job.state.final:
            await self._follower.refresh()
            job = self._find(queue, job_id)
        if job is not None:
            return Answer(OK, encode_job_state(job.state))
        if not self.ready:
            return self._refuse(call, 'log not followed')
        return Answer(GONE)

    async def _cancel(self, call: Call, queue: Queue, job_id: str) -> Answer:
        job = self._find(queue, job_id)
        if job is not None and job.state.final:
            return Answer(OK)
        if not is_job_id(job_id):
            return Answer(GONE)
        if not self.ready:
            return self._refuse(call, 'log not followed')
        record = Canceled(job_id, self._follower.time.now_ms())
        answer = await self._record(record, job_id, call)
        # The fold may lag behind an acceptance elsewhere, but not behind a
        # record that follows it on the log.
        known = self._find(queue, job_id) is not None
        return answer if known or answer.status != OK else Answer(GONE)

    def _find(self, queue: Queue, job_id: str) -> Job | None:
        job = self._follower.cell.find_job(job_id)
        if job is None or job.spec.queue != queue.name:
            return None
        return job

    async def _record(
        self, record: Record, job_id: JobId, call: Call
    ) -> Answer:
        kind = type(record).__name__
        if not self._journal.available:
            return self._refuse(call, 'log away')
        wait_s = min(call.wait_s, MAX_WAIT_S) * APPEND_SHARE
        about = {
            'job': job_id,
            'record': kind,
            'method': call.method,
            'path': call.path,
        }
        try:
            offset = await self._journal.append([record], wait_s)
        except LogUnavailableError as exc:
            return self._refuse(call, str(exc))
        except OutcomeUnknownError as exc:
            _log.warning('unknown', extra={**about, 'why': str(exc)})
            return Answer(UNKNOWN)
        _log.info(
            'recorded', extra={**about, **_size(record), 'offset': offset}
        )
        if isinstance(record, Canceled):
            await self._follower.wait_folded(offset, FOLD_S)
        return Answer(OK)

    def _refuse(self, call: Call, reason: str) -> Answer:
        about = {
            'job': call.path.rpartition('/')[2],
            'method': call.method,
            'path': call.path,
            'why': reason,
            'log_age_ms': self._follower.age_ms,
            'configuration_age_ms': self._configuration.age_ms,
        }
        _log.warning('refused', extra=about)
        spread_s = self._random.randint(0, RETURN_SPREAD_S)
        finding = Finding('instance', reason)
        return Answer(
            UNAVAILABLE, encode_error((finding,)), RETURN_S + spread_s
        )


def _size(record: Record) -> dict[str, object]:
    """Describe a job for the log: what it asks for, and by when."""
    if not isinstance(record, Submitted):
        return {}
    spec = record.spec
    return {
        'team': spec.team,
        'queue': spec.queue,
        'priority': spec.terms.priority,
        'slack': spec.terms.slack,
        'objective_ms': spec.terms.objective_ms,
        'steps': [
            {
                'tasks': step.width,
                'need': step.need,
                'estimate_ms': step.estimate_ms,
                'gang': step.gang,
                'after': step.depends_on,
            }
            for step in spec.steps
        ],
    }
