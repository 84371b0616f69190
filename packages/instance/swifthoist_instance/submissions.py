"""Decodes submissions, and reserves the memory of the jobs.

A job that was accepted stays, so what all of them hold is bounded before they
are accepted. A team may hold as much as is still free: however much one of them
submits, room is left for the others. A large job has to leave room for smaller
ones, so a team that has submitted many of those can still submit the usual.
"""

import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio

from swifthoist_core.errors import Finding, LogUnavailableError
from swifthoist_core.types import JobId
from swifthoist_engine.cell import Cell
from swifthoist_engine.footprints import Footprints, footprint_of
from swifthoist_engine.model import JobSpec
from swifthoist_engine.records import Submitted, encode_record
from swifthoist_instance.fair_turns import FairTurns
from swifthoist_instance.limits import LARGE_BODY_BYTES, Limits
from swifthoist_instance.recording import NotServedError
from swifthoist_instance.refusals import Refusal, Refusals
from swifthoist_platform.job_calls import DecodedJob, decode_job

ROOM_FACTOR = 16
"""Room that a job has to leave for others, as a multiple of its size."""

MAX_ROOM_SHARE = 0.125
"""Most room that a job has to leave, as a share of the limit."""

UNFOLDED_S = 10.0
"""How long a job counts that may be recorded and was not read back from the
log, in seconds; an instance that reads no log for that long accepts none."""

MB = 1_000_000


class BusyError(NotServedError):
    """A limit is used up; other instances are no better off."""


class Submissions:
    """Submissions that are being worked on."""

    def __init__(
        self,
        cell: Callable[[], Cell],
        limits: Callable[[], Limits],
        turns: FairTurns,
        refusals: Refusals,
    ) -> None:
        """Start with none.

        :param cell: returns the folded state, with the accepted jobs.
        :param limits: returns the limits in force.
        :param turns: turns of large submissions.
        :param refusals: counts and logs what is refused.
        """
        self._cell = cell
        self._limits = limits
        self._turns = turns
        self._refusals = refusals
        self._reserved = Footprints()
        # Until when jobs count that may be recorded and are not folded.
        self._unfolded: dict[JobId, float] = {}

    @property
    def held_bytes(self) -> int:
        """Memory of the accepted jobs, in bytes."""
        return self._cell().footprints.total

    async def decode(self, content: bytes, wait_s: float) -> DecodedJob:
        """Decode a submission; large ones take turns.

        :param content: the body.
        :param wait_s: how long it may wait for its turn, in seconds.
        :returns: the job, or its problems.
        :raises BusyError: if its turn did not come in time.
        """
        if len(content) <= LARGE_BODY_BYTES:
            return decode_job(content)
        with anyio.move_on_after(wait_s):
            async with self._turns.turn():
                return decode_job(content)
        self._refusals.note(Refusal.TURN_LATE, {'bytes': len(content)})
        raise BusyError(f'no turn for a large submission in {wait_s:.1f} s')

    def check_record(self, spec: JobSpec) -> Finding | None:
        """Check that the store takes the record of a job.

        :param spec: the job.
        :returns: the problem; none if it does.
        """
        size = len(encode_record(Submitted(spec)))
        limit = self._limits().record_bytes
        if size <= limit:
            return None
        return Finding('steps', f'need a record of {size} bytes, over {limit}')

    @contextmanager
    def reserve(self, spec: JobSpec) -> Iterator[None]:
        """Reserve the memory of a job while it is recorded, until it is folded.

        :param spec: the job.
        :returns: a context manager.
        :raises BusyError: if there is not enough left.
        """
        self._release_folded()
        repeated = spec.job in self._unfolded
        if not repeated:
            self._check_room(spec)
        self._reserved.add(spec)
        self._unfolded[spec.job] = math.inf
        try:
            yield
        except (NotServedError, LogUnavailableError):
            if not repeated:
                self._release(spec.job)
            raise
        finally:
            if spec.job in self._unfolded:
                until = anyio.current_time() + UNFOLDED_S
                self._unfolded[spec.job] = until

    def _check_room(self, spec: JobSpec) -> None:
        size = footprint_of(spec)
        held = self._cell().footprints
        total = held.total + self._reserved.total
        of_team = held.of_team(spec.team) + self._reserved.of_team(spec.team)
        limit = self._limits().job_bytes
        to_leave = min(ROOM_FACTOR * size, limit * MAX_ROOM_SHARE)
        if of_team + size + to_leave > limit - (total + size):
            fields = {
                'job': spec.job,
                'team': spec.team,
                'team_bytes': of_team,
                'total_bytes': total,
                'limit_bytes': limit,
            }
            self._refusals.note(Refusal.JOB_ROOM, fields)
            raise BusyError(
                f'accepted jobs hold {total / MB:.1f} of {limit / MB:.1f} MB, '
                f'{of_team / MB:.1f} MB of them of the same team'
            )

    def _release_folded(self) -> None:
        """Release jobs that the cell counts, or that are not to come."""
        now = anyio.current_time()
        cell = self._cell()
        for job, until in tuple(self._unfolded.items()):
            if now >= until or cell.find_job(job) is not None:
                self._release(job)

    def _release(self, job: JobId) -> None:
        self._unfolded.pop(job, None)
        self._reserved.remove(job)
