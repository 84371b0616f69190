"""The administration API: jobs, usage accounting and state for debugging.

It is served to operators on the instance's internal address.
"""

import re
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from typing import Any, NamedTuple, NotRequired, TypedDict
from urllib.parse import parse_qs

import msgspec

from swifthoist_core.errors import (
    Finding,
    LogUnavailableError,
    OutcomeUnknownError,
)
from swifthoist_core.types import Millis
from swifthoist_engine.account import UsageFilter, usage_lines
from swifthoist_engine.burn import burn_lines
from swifthoist_engine.done_units import count_bits
from swifthoist_engine.evacuation import zone_lines
from swifthoist_engine.job_checks import check_job
from swifthoist_engine.jobs import Job
from swifthoist_engine.model import (
    JobSpec,
    Resources,
    Schedule,
    StepSpec,
)
from swifthoist_engine.records import Canceled, Record, Submitted
from swifthoist_engine.speed_lines import speed_lines
from swifthoist_instance.configuration import Configuration
from swifthoist_instance.follower import Follower
from swifthoist_instance.job_lines import describe_end
from swifthoist_instance.journal import Journal
from swifthoist_instance.submissions import BusyError, Submissions

APPEND_TIMEOUT_S = 3.0
MAX_JOBS = 500
"""Maximum number of jobs in a listing."""

_JOB_PATH = re.compile('/v1/jobs/([0-9a-fA-F]{16})')


class Answer(NamedTuple):
    """Response to an operator.

    :ivar status: HTTP status.
    :ivar document: response body, encoded as JSON.
    """

    status: int
    document: object


class ScheduleInput(TypedDict):
    """Schedule of a recurring job, as operators write it.

    Times are in ms; ``first_ms`` counts from the Unix epoch.
    """

    first_ms: Millis
    interval_ms: Millis
    times: int


class StepInput(TypedDict, total=False):
    """A step as operators write it, with the names of ``StepSpec``."""

    width: int
    cpu: int
    memory: int
    accelerators: int
    estimate_ms: Millis
    depends_on: tuple[int, ...]
    checkpointing: bool
    gang: bool
    same_rack: bool
    label: str
    data_rack: str
    spread_limit: int


class JobInput(TypedDict):
    """A job as operators submit it."""

    queue: str
    steps: list[StepInput]
    team: NotRequired[str]
    payload: NotRequired[str]
    schedule: NotRequired[ScheduleInput]


class Api:
    """Serves operators' requests."""

    def __init__(
        self,
        configuration: Configuration,
        follower: Follower,
        journal: Journal,
        describe: Callable[[], dict[str, Any]],
        submissions: Submissions,
    ) -> None:
        """Serve from the cell state.

        :param configuration: queues and evacuation requests.
        :param follower: maintains the cell state from the log.
        :param journal: appends records to the log.
        :param describe: returns the instance's state, for bug reports.
        :param submissions: bounds what jobs hold.
        """
        self._configuration = configuration
        self._follower = follower
        self._journal = journal
        self._describe = describe
        self._submissions = submissions

    async def answer(
        self, method: str, path: str, query: str, content: bytes
    ) -> Answer:
        """Serve a request.

        :param method: HTTP method.
        :param path: path.
        :param query: query string, not decoded.
        :param content: request body.
        :returns: the response.
        """
        job_path = _JOB_PATH.fullmatch(path)
        if method in {'GET', 'POST'}:
            await self._follower.refresh()
        match method:
            case 'GET' if job_path:
                return self._show(job_path[1])
            case 'GET':
                return self._read(path, query)
            case 'POST' if job_path:
                return await self._submit(job_path[1], content)
            case 'DELETE' if job_path:
                record = Canceled(job_path[1], self._follower.time.now_ms())
                return await self._append_record(record, nullcontext())
            case _:
                return Answer(404, {'error': ['no such call']})

    def _read(self, path: str, query: str) -> Answer:
        state = self._follower.cell.state
        params = {name: rows[0] for name, rows in parse_qs(query).items()}
        question = UsageFilter(params.get('month', ''), params.get('team', ''))
        match path:
            case '/v1/state':
                return Answer(200, self._describe())
            case '/v1/jobs':
                jobs = list(state.jobs.values())[-MAX_JOBS:]
                return Answer(200, [_summarize(job) for job in jobs])
            case '/v1/usage':
                lines = usage_lines(state.account, question)
                return Answer(200, _to_dicts(lines))
            case '/v1/spans':
                spans = (
                    span
                    for span in state.account.spans
                    if question.team in {'', span.team}
                )
                return Answer(200, _to_dicts(spans))
            case '/v1/zones':
                since = self._configuration.requests.since
                zones = zone_lines(self._follower.cell, since)
                return Answer(200, [line._asdict() for line in zones])
            case '/v1/speeds':
                return Answer(200, _to_dicts(speed_lines(state)))
            case '/v1/burn':
                return Answer(200, _to_dicts(burn_lines(state)))
            case _:
                return Answer(404, {'error': ['no such call']})

    def _show(self, job_id: str) -> Answer:
        job = self._follower.cell.find_job(job_id)
        if job is None:
            return Answer(404, {'error': ['no such job']})
        units = [
            {
                'occurrence': key[0],
                'step': key[1],
                'ordinal': key[2],
                'runs': unit.last_run,
                'failures': unit.failures,
                'done': unit.done,
                'failed_on': unit.failed_on,
                'open': [
                    {'runner': run.runner, 'since_ms': run.started_ms}
                    for run in unit.open.values()
                ],
            }
            for key, unit in sorted(job.units.items())
        ]
        summary = {
            **_summarize(job),
            'units': units,
            'packed_units': count_bits(job.packed),
        }
        return Answer(200, {**summary, 'history': describe_end(job, {})})

    async def _submit(self, job_id: str, content: bytes) -> Answer:
        try:
            request = msgspec.json.decode(content, type=JobInput)
        except (msgspec.MsgspecError, RecursionError) as exc:
            return Answer(400, {'error': [str(exc)]})
        known = self._follower.cell.find_job(job_id)
        if known is not None:
            return _answer_repeat(known, request)
        if job_id in self._follower.cell.state.early_cancels:
            return Answer(409, {'error': ['the job was canceled before']})
        return await self._accept(job_id, request)

    async def _accept(self, job_id: str, request: JobInput) -> Answer:
        catalogue = self._configuration.catalogue
        queue = catalogue.queue_named(request['queue']) if catalogue else None
        if queue is None:
            finding = Finding('queue', 'is not configured')
            return Answer(400, {'error': [str(finding)]})
        rows = request.get('schedule')
        schedule = Schedule(**rows) if rows else None
        steps = tuple(map(_to_step_spec, request['steps']))
        payload = request.get('payload', '')
        findings = check_job(steps, payload, schedule)
        if findings:
            return Answer(400, {'error': list(map(str, findings))})
        spec = JobSpec(
            job_id,
            request['queue'],
            request.get('team', ''),
            payload,
            steps,
            queue.terms,
            self._follower.time.now_ms(),
            schedule,
        )
        problem = self._submissions.check_record(spec)
        if problem is not None:
            return Answer(400, {'error': [str(problem)]})
        return await self._append_record(
            Submitted(spec), self._submissions.reserve(spec)
        )

    async def _append_record(
        self, record: Record, room: AbstractContextManager[None]
    ) -> Answer:
        try:
            with room:
                offset = await self._journal.append([record], APPEND_TIMEOUT_S)
        except (BusyError, LogUnavailableError) as exc:
            return Answer(503, {'error': [str(exc)]})
        except OutcomeUnknownError as exc:
            return Answer(504, {'error': [str(exc)]})
        return Answer(200, {'offset': offset})


def _answer_repeat(job: Job, request: JobInput) -> Answer:
    """Answer a submission of a job that was accepted before."""
    if job.spec.queue == request['queue']:
        return Answer(200, _summarize(job))
    finding = Finding('queue', f'is {job.spec.queue} for the job of this id')
    return Answer(409, {'error': [str(finding)]})


def _to_step_spec(request: StepInput) -> StepSpec:
    rest: dict[str, Any] = dict(request)
    need = Resources(
        request.get('cpu', 0),
        request.get('memory', 0),
        request.get('accelerators', 0),
    )
    for part in Resources._fields:
        rest.pop(part, None)
    base = StepSpec(request.get('width', 1), need)
    return base._replace(**rest)


def _summarize(job: Job) -> dict[str, object]:
    return {
        'job': job.job,
        'queue': job.spec.queue,
        'team': job.spec.team,
        'state': job.state.value,
        'accepted_ms': job.spec.accepted_ms,
        'finished_ms': job.finished_ms,
        'running': sum(1 for _ in job.open_runs()),
    }


def _to_dicts(rows: object) -> list[dict[str, object]]:
    """Convert named tuples to dictionaries, so that field names are encoded."""
    return [_to_dict(row) for row in rows]  # type: ignore[attr-defined]


def _to_dict(row: Any) -> dict[str, object]:
    return {
        name: _to_dict(value) if hasattr(value, '_asdict') else value
        for name, value in row._asdict().items()
    }
