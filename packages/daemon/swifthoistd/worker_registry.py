"""Workers as the platform lists them, against those in the ledger."""

from collections.abc import Iterator, Sequence

from swifthoist_core.ledger import Ledger
from swifthoist_core.records import WorkerJoined, WorkerLeft
from swifthoist_core.shapes import WorkerSpec
from swifthoist_core.types import Epoch, Millis, WorkerId
from swifthoist_platform.instances import Listed
from swifthoistd.parts import PartBoard

LOST_LEASES = 2
"""A worker that is silent for this many leases is lost."""


class WorkerRegistry:
    """Decides which workers are taken in, drained and given up."""

    def __init__(
        self, ledger: Ledger, board: PartBoard, lease_ms: Millis
    ) -> None:
        """Start without a list.

        :param ledger: the state.
        :param board: when each worker last answered.
        :param lease_ms: lease of a running part, in ms.
        """
        self._ledger = ledger
        self._board = board
        self._lost_ms = lease_ms * LOST_LEASES
        self._listed: dict[WorkerId, Listed] = {}

    def note_listed(self, listed: Sequence[Listed]) -> None:
        """Take the platform's list in.

        :param listed: its lines for workers.
        """
        self._listed = {line.instance_id: line for line in listed}

    def decide(self, epoch: Epoch) -> Iterator[WorkerJoined | WorkerLeft]:
        """Find what has to change in the ledger.

        :param epoch: the epoch in which this instance decides.
        :returns: records to commit.
        """
        yield from self._joined(epoch)
        yield from self._drained(epoch)
        yield from self._lost(epoch)

    def _joined(self, epoch: Epoch) -> Iterator[WorkerJoined]:
        for worker, line in sorted(self._listed.items()):
            known = self._ledger.fleet.spec(worker)
            if known is None and line.state == 'live':
                yield WorkerJoined(epoch, _spec_of(line))

    def _drained(self, epoch: Epoch) -> Iterator[WorkerLeft]:
        fleet = self._ledger.fleet
        for worker, line in sorted(self._listed.items()):
            if line.state != 'leaving' or fleet.spec(worker) is None:
                continue
            if not fleet.is_leaving(worker):
                yield WorkerLeft(epoch, worker, lost=False)

    def _lost(self, epoch: Epoch) -> Iterator[WorkerLeft]:
        for spec in self._ledger.fleet.specs():
            if self._is_lost(spec) and not self._is_used(spec.worker):
                self._board.forget_worker(spec.worker)
                yield WorkerLeft(epoch, spec.worker, lost=True)

    def _is_lost(self, spec: WorkerSpec) -> bool:
        line = self._listed.get(spec.worker)
        if line is not None and line.incarnation > spec.incarnation:
            return True
        return self._board.silent_ms(spec.worker) > self._lost_ms

    def _is_used(self, worker: WorkerId) -> bool:
        return any(
            part.worker == worker
            for job in self._ledger.jobs.open_jobs()
            for part in job.parts
        )


def _spec_of(line: Listed) -> WorkerSpec:
    return WorkerSpec(
        line.instance_id,
        line.incarnation,
        line.address,
        line.zone,
        line.rack,
        line.accelerators,
        line.cores,
        line.memory_mib,
    )
