"""HTTP API of jobs: gangs that the holder of the cell places."""

from typing import TypedDict

import anyio
import xxhash
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from swifthoist_core import planner
from swifthoist_core.catalogue import Entry, Work
from swifthoist_core.documents import (
    JobDocument,
    ShapeDocument,
    read_job,
    shape_document,
)
from swifthoist_core.errors import (
    Finding,
    LogUnavailableError,
    OutcomeUnknownError,
)
from swifthoist_core.jobs import ENDED, Job, Status
from swifthoist_core.records import JobCancelled, JobSpec, JobSubmitted, Record
from swifthoist_core.tokens import Identity, Role
from swifthoist_core.types import JobId
from swifthoistd import replies
from swifthoistd.callers import Gatekeeper, read_document, read_number
from swifthoistd.follower import Follower
from swifthoistd.journal import Journal

COMMIT_S = 5.0
"""How long a caller waits for a record to be folded, in seconds."""

MAX_WAIT_MS = 30_000
"""Longest wait for a change of a job, in ms."""

RETRY_AFTER_MS = 1_000
_MS_PER_S = 1_000


class JobReply(TypedDict):
    """A job, as its owner reads it."""

    job_id: JobId
    owner: str
    class_name: str
    status: str
    reason: str
    attempt: int
    lent: bool
    submitted_ms: int
    changed_ms: int
    shape: ShapeDocument
    workers: list[str]
    offset: int


class JobApi:
    """Takes jobs in, tells of them and takes them back."""

    def __init__(self, follower: Follower, journal: Journal) -> None:
        """Wire the parts.

        :param follower: the reader of records.
        :param journal: the writer of records.
        """
        self._follower = follower
        self._ledger = follower.ledger
        self._journal = journal

    def routes(self, gate: Gatekeeper) -> list[Route]:
        """The routes of this part of the API.

        :param gate: lets callers through.
        :returns: the routes.
        """
        owner, both = (Role.OWNER,), (Role.OWNER, Role.OPERATOR)
        one = '/v1/jobs/{job_id}'
        return [
            Route('/v1/jobs', gate.allow(self.post, *owner), methods=['POST']),
            Route('/v1/jobs', gate.allow(self.get_all, *both)),
            Route(one, gate.allow(self.get, *both)),
            Route(one, gate.allow(self.delete, *owner), methods=['DELETE']),
            Route(f'{one}/explanation', gate.allow(self.explain, *both)),
        ]

    async def post(self, request: Request, identity: Identity) -> Response:
        """Take a job in; the same key gives the same job.

        :param request: the call, with a job document.
        :param identity: the owner.
        :returns: the job.
        """
        document: JobDocument = await read_document(request, JobDocument)
        entry = self._ledger.catalogue.find(identity.name, document['class'])
        if entry is None or entry.work is not Work.JOB:
            problem = f'owner {identity.name} has no entry for it'
            finding = Finding('class', problem)
            return replies.invalid((finding,), replies.NOT_FOUND)
        return await self._submit(entry, document)

    async def get_all(self, request: Request, identity: Identity) -> Response:
        """List jobs.

        :param request: the call.
        :param identity: an owner, who sees its own, or an operator.
        :returns: the jobs, by submission.
        """
        jobs = [
            _job_reply(job, self._ledger.offset)
            for job in self._ledger.jobs.all_jobs()
            if _may_see(identity, job)
        ]
        return replies.json_reply({'offset': self._ledger.offset, 'jobs': jobs})

    async def get(self, request: Request, identity: Identity) -> Response:
        """Tell of one job, at once or when it has changed.

        :param request: the call; ``wait_ms`` waits for a change.
        :param identity: its owner or an operator.
        :returns: the job.
        """
        job = self._find(request, identity)
        if job is None:
            return _unknown_job()
        wait = request.query_params.get('wait_ms', '0')
        wait_ms = read_number(wait, 'wait_ms')
        job = await self._changed(job, min(wait_ms, MAX_WAIT_MS))
        return replies.json_reply(_job_reply(job, self._ledger.offset))

    async def delete(self, request: Request, identity: Identity) -> Response:
        """Take a job back.

        :param request: the call.
        :param identity: its owner.
        :returns: the job; one that runs is stopped first.
        """
        job = self._find(request, identity)
        if job is None:
            return _unknown_job()
        if job.status not in ENDED:
            record = JobCancelled(job.spec.job_id, job.spec.owner)
            failed = await self._commit(record)
            if failed is not None:
                return failed
        job = self._ledger.jobs.get(job.spec.job_id) or job
        return replies.json_reply(_job_reply(job, self._ledger.offset))

    async def explain(self, request: Request, identity: Identity) -> Response:
        """Tell why a job waits.

        :param request: the call.
        :param identity: its owner or an operator.
        :returns: what it waits for and when it may start.
        """
        job = self._find(request, identity)
        if job is None:
            return _unknown_job()
        found = planner.explain(self._ledger, job.spec.job_id)
        content = found._asdict() if found is not None else {}
        content['offset'] = self._ledger.offset
        return replies.json_reply(content)

    async def _submit(self, entry: Entry, document: JobDocument) -> Response:
        key = document['key']
        name = f'{entry.owner}\n{key}'.encode()
        digest = xxhash.xxh3_64_hexdigest(name)
        spec = read_job(f'job-{digest}', entry, document)
        failed = await self._commit(JobSubmitted(spec, key))
        job = self._ledger.jobs.by_key(entry.owner, key)
        if job is None:
            return failed or replies.unknown('the job is not folded yet')
        if not _is_same(job.spec, spec):
            reason = 'key already used for another job'
            return replies.not_run(reason, replies.CONFLICT)
        reply = _job_reply(job, self._ledger.offset)
        if job.status is Status.REFUSED:
            content = {'outcome': 'not_run', **reply}
            return replies.json_reply(content, replies.UNPROCESSABLE)
        return replies.json_reply(reply, replies.ACCEPTED)

    async def _commit(self, record: Record) -> Response | None:
        """Commit a record.

        :returns: ``None`` when it took effect, else the reply.
        """
        try:
            verdict = await self._journal.commit(record, COMMIT_S)
        except LogUnavailableError:
            return replies.not_run(
                'the log is down', retry_after_ms=RETRY_AFTER_MS
            )
        except OutcomeUnknownError:
            return replies.unknown('the log did not answer; ask again')
        if verdict.accepted:
            return None
        return replies.not_run(verdict.reason, replies.CONFLICT)

    async def _changed(self, job: Job, wait_ms: int) -> Job:
        now = job
        with anyio.move_on_after(wait_ms / _MS_PER_S):
            while now == job and job.status not in ENDED:
                await self._follower.changed()
                now = self._ledger.jobs.get(job.spec.job_id) or job
        return now

    def _find(self, request: Request, identity: Identity) -> Job | None:
        job = self._ledger.jobs.get(request.path_params['job_id'])
        if job is None or not _may_see(identity, job):
            return None
        return job


def _may_see(identity: Identity, job: Job) -> bool:
    if identity.role is Role.OPERATOR:
        return True
    return job.spec.owner == identity.name


def _is_same(known: JobSpec, asked: JobSpec) -> bool:
    return known._replace(urgency=asked.urgency) == asked


def _unknown_job() -> Response:
    finding = Finding('job_id', 'no such job of yours')
    return replies.invalid((finding,), replies.NOT_FOUND)


def _job_reply(job: Job, offset: int) -> JobReply:
    return JobReply(
        job_id=job.spec.job_id,
        owner=job.spec.owner,
        class_name=job.spec.class_name,
        status=job.status.value,
        reason=job.reason,
        attempt=job.attempt,
        lent=job.lent,
        submitted_ms=job.submitted_ms,
        changed_ms=job.changed_ms,
        shape=shape_document(job.spec.shape),
        workers=[part.worker for part in job.parts],
        offset=offset,
    )
