"""Workers' answers on their way from the renewing instance to the holder."""

from swifthoist_core.ledger import Ledger
from swifthoist_core.records import Author
from swifthoist_platform.orders import PartState
from swifthoistd.gen.peer.ttypes import NotHolder, PartReport, WorkerReport
from swifthoistd.parts import PartBoard, WorkerAnswer
from swifthoistd.peers import Peers

CALL_S = 1.0
"""Time to pass answers on, in seconds."""


class Answers:
    """Brings answers to the board of the cell's holder, here or elsewhere.

    One that gets lost is not sent again: a worker repeats the state of each
    part until the log has its end.
    """

    def __init__(
        self, me: Author, ledger: Ledger, board: PartBoard, peers: Peers
    ) -> None:
        """Wire the parts.

        :param me: this instance.
        :param ledger: the state, for the holder.
        :param board: where the holder keeps answers.
        :param peers: the other instances.
        """
        self._me = me
        self._ledger = ledger
        self._board = board
        self._peers = peers
        peers.handlers['report'] = self._on_report

    async def pass_on(self, answers: tuple[WorkerAnswer, ...]) -> None:
        """Bring answers to the holder.

        :param answers: what came of one round of renewals.
        :raises UnreachableError: when the holder is not connected.
        :raises PeerError: when it did not answer.
        :raises NotHolder: when it no longer is the holder.
        """
        holder = self._ledger.cell.state.holder
        if holder == self._me:
            self._note(answers)
            return
        reports = [_to_wire(answer) for answer in answers]
        await self._peers.call(
            holder.instance, 'report', reports, timeout_s=CALL_S
        )

    def _note(self, answers: tuple[WorkerAnswer, ...]) -> None:
        for answer in answers:
            self._board.note(answer)

    async def _on_report(self, workers: list[WorkerReport]) -> None:
        holder = self._ledger.cell.state.holder
        if holder != self._me:
            raise NotHolder(holder.instance)
        self._note(tuple(_from_wire(report) for report in workers))


def _to_wire(answer: WorkerAnswer) -> WorkerReport:
    parts = [PartReport(answer.worker, *state) for state in answer.states]
    return WorkerReport(answer.worker, answer.reached, parts)


def _from_wire(report: WorkerReport) -> WorkerAnswer:
    states = tuple(
        PartState(
            part.job_id,
            part.attempt,
            part.part,
            part.state,
            part.accelerators,
            part.started_ms,
            part.stopped_ms,
            part.reason,
        )
        for part in report.parts or ()
    )
    return WorkerAnswer(report.worker, report.reached, states)
