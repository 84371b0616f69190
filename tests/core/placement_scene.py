"""Short ways to bring jobs about, for the tests of placement."""

from swifthoist_core import records
from swifthoist_core.job_states import Job
from swifthoist_core.planner import Place, Reclaim, plan
from swifthoist_core.records import PartPlacement
from swifthoist_core.shapes import Adjacency, Shape
from tests.core.builders import Book, spec
from tests.core.placement_checks import check_all

ONE = Shape(1, 1)
HALF = Shape(1, 4)
WHOLE = Shape(1, 8)
TWO = Shape(2, 8, adjacency=Adjacency.RACK)


class Scene(Book):
    """A book with short ways to bring jobs about."""

    def submit(
        self, job_id: str, owner: str, shape: Shape, *, idempotent: bool = True
    ) -> Job:
        """Submit a job."""
        job = spec(job_id, owner, shape, idempotent=idempotent)
        self.append(records.JobSubmitted(job, job_id))
        return self.job(job_id)

    def job(self, job_id: str) -> Job:
        """Find a job."""
        return self.ledger.jobs.get(job_id)

    def place(
        self, job_id: str, *parts: PartPlacement, lent: bool = True
    ) -> str:
        """Place a job by hand, and tell why it was rejected."""
        attempt = self.job(job_id).attempt + 1
        placed = records.JobPlaced(1, job_id, attempt, parts, lent)
        return self.append(placed).reason

    def decide(self) -> list[Place | Reclaim]:
        """Plan and fold until nothing is left to decide."""
        made: list[Place | Reclaim] = []
        decisions = plan(self.ledger)
        while decisions:
            made.extend(decisions)
            for decision in decisions:
                self._fold(decision)
            decisions = plan(self.ledger)
        return made

    def _fold(self, decision: Place | Reclaim) -> None:
        if isinstance(decision, Place):
            record = records.JobPlaced(1, *decision)
        else:
            record = records.JobReclaimed(1, *decision)
        verdict = self.append(record)
        assert verdict.accepted, (decision, verdict.reason)
        check_all(self.ledger)

    def end(self, job_id: str, outcome: str = 'done', blamed: str = '') -> None:
        """End the attempt of a job."""
        attempt = self.job(job_id).attempt
        ended = records.JobEnded(1, job_id, attempt, outcome, (), blamed)
        assert self.append(ended).accepted

    def lose(self, name: str, lost: bool = True) -> None:
        """Lose a worker, or let it drain."""
        self.append(records.WorkerLeft(1, name, lost))

    def wait(self, by_ms: int) -> None:
        """Let log time pass."""
        self.now_ms += by_ms
        self.append(records.CellRenewed(1, 3_000))


def whole(name: str) -> PartPlacement:
    """Name all accelerators of a worker."""
    return PartPlacement(name, 0, 8)
