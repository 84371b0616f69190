"""Admission of callers' requests about jobs, and the responses to them.

Every instance serves every request. A job is accepted once its record is on
the log. If the outcome of the append is unknown, the response reports neither
success nor failure. A request that this instance cannot serve is passed on once
to one that can; if there is none, it is refused immediately, with a Retry-After
time unless only this instance is the cause.
"""

import logging
import random
from collections.abc import Callable

import anyio

from swifthoist_core.errors import Finding, OutcomeUnknownError
from swifthoist_core.types import JobId, Millis
from swifthoist_engine.catalogue import Queue
from swifthoist_engine.cell import Cell
from swifthoist_engine.demand import count_waiting
from swifthoist_engine.jobs import Job
from swifthoist_engine.model import JobSpec
from swifthoist_engine.records import Canceled, Record, Submitted
from swifthoist_instance.admission import Admission, Admitted
from swifthoist_instance.call_logs import job_fields, log_rejected
from swifthoist_instance.configuration import Configuration
from swifthoist_instance.follower import Follower
from swifthoist_instance.messages import (
    BAD_REQUEST,
    CONFLICT,
    GATEWAY_TIMEOUT,
    GONE,
    METHOD_NOT_ALLOWED,
    NOT_FOUND,
    OK,
    TOO_LARGE,
    UNAUTHORIZED,
    UNAVAILABLE,
    Answer,
    Call,
)
from swifthoist_instance.open_calls import OpenCalls
from swifthoist_instance.peers import Peers
from swifthoist_instance.recording import (
    NotServedError,
    Recorder,
    answer_deadline,
)
from swifthoist_instance.refusals import Refusal
from swifthoist_instance.submissions import BusyError, Submissions
from swifthoist_platform.job_calls import (
    Verb,
    encode_error,
    encode_job_state,
    encode_pending_count,
    is_job_id,
)

MAX_FOLD_AGE_MS = 2_500
"""Maximum age of the cell state from which callers are answered, in ms; one
read of the log takes up to 1.7 s."""

STATE_RELAY_S = 0.3
"""How long other instances are asked for the state of a job that is known here,
in seconds."""

CANCEL_FOLD_TIMEOUT_S = 1.0
"""How long a cancellation waits until its record is folded, in seconds."""

DEFAULT_WAIT_S = 3.0
RETRY_AFTER_S = 1
"""Retry-After of a refused request, in seconds. Most disturbances of the store
end within seconds, and other instances serve meanwhile."""

RETRY_SPREAD_S = 1
"""Maximum random addition to Retry-After, in seconds, so that refused callers
do not all retry at once."""

_REJECTIONS = frozenset(
    (BAD_REQUEST, UNAUTHORIZED, NOT_FOUND, CONFLICT, TOO_LARGE)
)
"""Answers that blame the call; others log why they are given."""

_log = logging.getLogger(__name__)


class Intake:
    """Serves callers' requests about jobs."""

    def __init__(
        self,
        configuration: Configuration,
        follower: Follower,
        recorder: Recorder,
        peers: Peers,
        revocation_ms: Callable[[], Millis],
        open_calls: OpenCalls,
        submissions: Submissions,
    ) -> None:
        """Serve from the cell state, and append accepted changes to the log.

        :param configuration: queues, teams and keys.
        :param follower: maintains the cell state from the log.
        :param recorder: records requests on the log.
        :param peers: the other instances.
        :param revocation_ms: returns the time within which a revoked key has
            to be refused, in ms.
        :param open_calls: calls whose outcome was told to be unknown.
        :param submissions: decodes submissions, and bounds what they hold.
        """
        self._configuration = configuration
        self._follower = follower
        self._recorder = recorder
        self._peers = peers
        self._admission = Admission(configuration, revocation_ms)
        self._open_calls = open_calls
        self._submissions = submissions
        self._random = random.Random()

    @property
    def ready(self) -> bool:
        """Whether requests can be served now."""
        age_ms = self._follower.age_ms
        return (
            self._admission.confirmed
            and age_ms is not None
            and age_ms < MAX_FOLD_AGE_MS
        )

    @property
    def max_body_bytes(self) -> int:
        """Largest body of a request, in bytes."""
        return self._admission.max_body_bytes

    def judge_head(self, call: Call, length: int) -> Answer | None:
        """Answer a request that is rejected whatever its body is.

        :param call: the request, without its body.
        :param length: announced length of the body, in bytes.
        :returns: the answer; none if the body has to be received.
        """
        try:
            admitted = self._admission.admit(call)
        except NotServedError:
            # Another instance may serve it.
            admitted = None
        answer = admitted if isinstance(admitted, Answer) else None
        if answer is None and length > self.max_body_bytes:
            answer = _reject_length(self.max_body_bytes)
        if answer is not None and call.changes_state:
            log_rejected(call, answer, self._configuration.catalogue)
        return answer

    def refuse_body(
        self, call: Call, refusal: Refusal, took_s: float
    ) -> Answer:
        """Answer a request whose body is not received to its end.

        :param call: the request, without its body.
        :param refusal: why it is not.
        :param took_s: time spent on receiving it, in seconds.
        :returns: the answer.
        """
        if refusal is Refusal.BODY_LENGTH:
            answer = _reject_length(self.max_body_bytes)
            log_rejected(call, answer, self._configuration.catalogue)
            return answer
        return self._refuse(call, f'{refusal.value} after {took_s:.1f} s')

    async def answer(self, call: Call) -> Answer:
        """Serve a request.

        :param call: the request.
        :returns: the response.
        """
        deadline = answer_deadline(call)
        catalogue = self._configuration.catalogue
        if not call.relayed and catalogue is not None:
            # Callers never see an instance go back to an older configuration.
            call = call._replace(min_version=catalogue.version)
        try:
            answer = await self._serve(call, deadline)
        except BusyError as exc:
            return self._refuse(call, str(exc))
        except NotServedError as exc:
            if call.relayed:
                return self._refuse(call, str(exc))
            return await self._pass_on(call, str(exc), deadline)
        if answer.status in _REJECTIONS and call.changes_state:
            log_rejected(call, answer, self._configuration.catalogue)
        return answer

    async def _pass_on(
        self, call: Call, reason: str, deadline: float
    ) -> Answer:
        left_s = deadline - anyio.current_time()
        relayed = await self._peers.relay(call, reason, left_s, to_holder=False)
        if relayed.answer is not None:
            return relayed.answer
        if relayed.unknown:
            return self._leave_open(call)
        return self._refuse(call, reason, alone=relayed.alone)

    async def _serve(self, call: Call, deadline: float) -> Answer:
        if call.wait_s <= 0 and call.changes_state:
            raise NotServedError('read after its caller may have given up')
        admitted = self._admission.admit(call)
        if isinstance(admitted, Answer):
            return admitted
        suffix = call.path[len(admitted.queue.prefix) :]
        match call.method:
            case Verb.SUBMIT.value if is_job_id(suffix):
                return await self._submit(call, admitted, suffix, deadline)
            case Verb.SHOW.value if not suffix:
                return self._show_queue(call, admitted.queue)
            case Verb.SHOW.value:
                return await self._show_job(call, admitted.queue, suffix)
            case Verb.CANCEL.value:
                return await self._cancel(
                    call, admitted.queue, suffix, deadline
                )
            case Verb.SUBMIT.value:
                finding = Finding('id', 'must be 16 hexadecimal digits')
                return Answer(BAD_REQUEST, encode_error((finding,)))
            case _:
                return Answer(METHOD_NOT_ALLOWED)

    async def _submit(
        self, call: Call, admitted: Admitted, job_id: JobId, deadline: float
    ) -> Answer:
        answer = self._answer_known(admitted, job_id)
        if answer is not None:
            return answer
        if len(call.content) > admitted.max_body_bytes:
            return _reject_length(admitted.max_body_bytes)
        left_s = deadline - anyio.current_time()
        decoded = await self._submissions.decode(call.content, left_s)
        if decoded.request is None:
            return Answer(BAD_REQUEST, encode_error(decoded.findings))
        if not self.ready:
            raise NotServedError('log not followed')
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
        problem = self._submissions.check_record(spec)
        if problem is not None:
            return Answer(BAD_REQUEST, encode_error((problem,)))
        with self._submissions.reserve(spec):
            return await self._append_record(
                Submitted(spec), job_id, call, deadline
            )

    def _answer_known(self, admitted: Admitted, job_id: JobId) -> Answer | None:
        """Answer a submission of a job that was accepted or canceled before."""
        cell = self._follower.cell
        known = cell.find_job(job_id)
        if known is not None:
            same = known.spec.queue == admitted.queue.name
            return Answer(OK) if same else Answer(CONFLICT)
        canceled_ms = cell.state.early_cancels.get(job_id)
        if canceled_ms is None:
            return None
        ago_s = (self._follower.time.now_ms() - canceled_ms) / 1_000
        finding = Finding('id', f'was canceled {ago_s:.1f} s ago')
        return Answer(CONFLICT, encode_error((finding,)))

    def _show_queue(self, call: Call, queue: Queue) -> Answer:
        if not self.ready:
            raise NotServedError('log not followed')
        waiting = count_waiting(self._follower.cell.state, queue.name)
        return Answer(OK, encode_pending_count(waiting))

    async def _show_job(self, call: Call, queue: Queue, job_id: str) -> Answer:
        job = _find_job(self._follower.cell, queue, job_id)
        if job is None or not job.state.final:
            await self._follower.refresh()
            job = _find_job(self._follower.cell, queue, job_id)
        if job is not None:
            return await self._show_newest(call, job)
        if not self.ready:
            raise NotServedError('log not followed')
        return Answer(GONE)

    async def _show_newest(self, call: Call, job: Job) -> Answer:
        """Show a job as another instance knows it, if that may be newer."""
        known = Answer(OK, encode_job_state(job.state))
        reads_succeed = self._follower.reading_since_ms is not None
        if job.state.final or reads_succeed or call.relayed:
            return known
        relayed = await self._peers.relay(
            call, 'state may be outdated', STATE_RELAY_S, to_holder=False
        )
        answer = relayed.answer
        return answer if answer and answer.status == OK else known

    async def _cancel(
        self, call: Call, queue: Queue, job_id: str, deadline: float
    ) -> Answer:
        job = self._follower.cell.find_job(job_id)
        # A record would cancel a job of another queue, which has the same id.
        elsewhere = job is not None and job.spec.queue != queue.name
        if not is_job_id(job_id) or elsewhere:
            return Answer(GONE)
        if job is not None and job.state.final:
            return Answer(OK)
        if not self.ready:
            raise NotServedError('log not followed')
        record = Canceled(job_id, self._follower.time.now_ms())
        answer = await self._append_record(record, job_id, call, deadline)
        # The cell state may not include yet a job that another instance
        # accepted, but does once the later cancellation is folded.
        known = _find_job(self._follower.cell, queue, job_id) is not None
        return answer if known or answer.status != OK else Answer(GONE)

    async def _append_record(
        self, record: Record, job_id: JobId, call: Call, deadline: float
    ) -> Answer:
        kind = type(record).__name__
        fields = {
            'job': job_id,
            'record': kind,
            'method': call.method,
            'path': call.path,
        }
        try:
            recorded = await self._recorder.record(record, call, deadline)
        except OutcomeUnknownError as exc:
            _log.warning('unknown', extra={**fields, 'why': str(exc)})
            return self._leave_open(call)
        if recorded.offset is None:
            return recorded.answer or self._leave_open(call)
        offset = recorded.offset
        _log.info(
            'recorded',
            extra={**fields, **job_fields(record), 'offset': offset},
        )
        if isinstance(record, Canceled):
            await self._follower.wait_folded(offset, CANCEL_FOLD_TIMEOUT_S)
        return Answer(OK)

    def _leave_open(self, call: Call) -> Answer:
        self._open_calls.note(call)
        return Answer(GATEWAY_TIMEOUT)

    def _may_take_effect(self, call: Call) -> bool:
        """Return whether an earlier attempt of a call may take effect."""
        if call in self._open_calls:
            return True
        submits = call.method == Verb.SUBMIT.value
        return submits and self._follower.cell.find_job(call.job) is not None

    def _refuse(
        self, call: Call, reason: str, *, alone: bool = False
    ) -> Answer:
        fields = {
            'job': call.job,
            'method': call.method,
            'path': call.path,
            'why': reason,
            'log_age_ms': self._follower.age_ms,
            'configuration_age_ms': self._configuration.age_ms,
            'alone': alone,
        }
        if self._may_take_effect(call):
            _log.warning('refusal withheld', extra=fields)
            return Answer(GATEWAY_TIMEOUT)
        _log.warning('refused', extra=fields)
        finding = Finding('instance', reason)
        if alone:
            # Another instance may serve the caller at once.
            return Answer(UNAVAILABLE, encode_error((finding,)))
        spread_s = self._random.randint(0, RETRY_SPREAD_S)
        return Answer(
            UNAVAILABLE, encode_error((finding,)), RETRY_AFTER_S + spread_s
        )


def _find_job(cell: Cell, queue: Queue, job_id: str) -> Job | None:
    job = cell.find_job(job_id)
    if job is None or job.spec.queue != queue.name:
        return None
    return job


def _reject_length(max_bytes: int) -> Answer:
    finding = Finding('body', f'is over {max_bytes} bytes')
    return Answer(TOO_LARGE, encode_error((finding,)))
