"""Tests of admission and of the answers to callers."""

import unittest

import anyio
import msgspec
from anyio.abc import TaskStatus

from swifthoist_emulator.site import HOST, STANDARD, write_config
from swifthoist_instance.fair_turns import FairTurns
from swifthoist_instance.intake import Intake
from swifthoist_instance.journal import CELL_TOPIC
from swifthoist_instance.limits import LARGE_BODY_BYTES
from swifthoist_instance.messages import Answer, Call
from swifthoist_instance.open_calls import OpenCalls
from swifthoist_instance.recording import ANSWER_SHARE, Recorder
from swifthoist_instance.relayed import Relayed
from swifthoist_instance.store_latency import StoreLatency
from swifthoist_platform import names
from swifthoist_platform.job_calls import encode_job_state
from swifthoist_platform.store import CONFIG_KEY, OPERATOR_TOPIC
from tests.instance.entry import (
    JOB,
    REVOKE_MS,
    SETTLE_S,
    InstanceHarness,
    run_two,
)
from tests.instance.fakes import FakeStore, LoopClock, open_guard, run

ID = '00000000000000aa'
_NO_STEPS = msgspec.json.encode({names.STEPS: 7})
JOB_COUNT = 100


class IntakeTest(unittest.TestCase):
    """Callers get correct answers, at once where possible."""

    def test_an_accepted_job_is_shown_by_every_instance(self) -> None:
        """The other instance shows it soon after the acknowledgement."""

        async def scenario(
            first: InstanceHarness, second: InstanceHarness
        ) -> None:
            self.assertEqual((await first.call('POST', ID, JOB)).status, 200)
            await anyio.sleep(SETTLE_S)
            shown = await second.call('GET', ID)
            self.assertEqual(shown, Answer(200, encode_job_state('queued')))

        run_two(scenario)

    def test_a_question_for_a_state_has_the_log_read_at_once(self) -> None:
        """An instance without requests reads the log only occasionally."""

        async def scenario(
            first: InstanceHarness, second: InstanceHarness
        ) -> None:
            for number in range(JOB_COUNT):
                job = f'{number:016x}'
                await first.call('POST', job, JOB)
                await anyio.sleep(0.02)
                if number % 10 == 0:
                    shown = await second.call('GET', job)
                    self.assertEqual(
                        shown, Answer(200, encode_job_state('queued'))
                    )
            records = first.store.topic(CELL_TOPIC).end
            self.assertEqual(records, JOB_COUNT)
            self.assertLess(second.follower.reads, records / 3)

        run_two(scenario)

    def test_a_cancel_finds_a_job_that_was_accepted_elsewhere_just_now(
        self,
    ) -> None:
        """Also at an instance that has not folded the job yet.

        Otherwise the cancel is answered with 410 and the job runs on.
        """

        async def scenario(
            first: InstanceHarness, second: InstanceHarness
        ) -> None:
            first.store.read_lag_s = 0.2
            await first.call('POST', ID, JOB)
            canceled = await second.call('DELETE', ID)
            self.assertEqual(canceled.status, 200)
            await anyio.sleep(SETTLE_S)
            shown = await first.call('GET', ID)
            self.assertEqual(shown, Answer(200, encode_job_state('canceled')))

        run_two(scenario)

    def test_a_cancel_of_a_job_that_nobody_knows_is_told_so(self) -> None:
        """The answer is 410, and the id is not taken in afterwards."""

        async def scenario(
            first: InstanceHarness, second: InstanceHarness
        ) -> None:
            self.assertEqual((await second.call('DELETE', ID)).status, 410)
            await anyio.sleep(SETTLE_S)
            for instance in (first, second):
                late = await instance.call('POST', ID, JOB)
                self.assertEqual(late.status, 409)
                self.assertIn(b'was canceled', late.content)
            self.assertEqual((await first.call('GET', ID)).status, 410)

        run_two(scenario)

    def test_a_cancel_in_another_queue_leaves_the_job_alone(self) -> None:
        """It is told that no such job exists, which is true in its queue."""

        async def scenario(
            first: InstanceHarness, second: InstanceHarness
        ) -> None:
            await first.call('POST', ID, JOB)
            await anyio.sleep(SETTLE_S)
            canceled = await second.call('DELETE', ID, queue='bulk')
            self.assertEqual(canceled.status, 410)
            await anyio.sleep(SETTLE_S)
            shown = await first.call('GET', ID)
            self.assertEqual(shown, Answer(200, encode_job_state('queued')))

        run_two(scenario)

    def test_a_request_that_its_caller_has_left_is_not_taken_in(self) -> None:
        """It is refused, and nothing of it is recorded."""

        async def scenario(
            first: InstanceHarness, second: InstanceHarness
        ) -> None:
            for wait_s in (0, -0.5):
                refused = await first.call('POST', ID, JOB, wait_s=wait_s)
                self.assertEqual(refused.status, 503)
            await anyio.sleep(SETTLE_S)
            self.assertEqual(first.store.topic(CELL_TOPIC).end, 0)
            self.assertEqual((await first.call('GET', ID)).status, 410)

        run_two(scenario)

    def test_refusals_are_told_apart(self) -> None:
        """Unknown key, malformed job and malformed job id."""

        async def scenario(
            first: InstanceHarness, second: InstanceHarness
        ) -> None:
            unauthorized = await first.call('POST', ID, JOB, key='nobody')
            self.assertEqual(unauthorized.status, 401)
            malformed = await first.call('POST', ID, _NO_STEPS)
            self.assertEqual(malformed.status, 400)
            self.assertIn(names.STEPS.encode(), malformed.content)
            self.assertEqual((await first.call('POST', 'x', JOB)).status, 400)
            self.assertEqual((await first.call('GET', 'x')).status, 410)

        run_two(scenario)

    def test_a_revoked_key_is_refused_after_the_change(self) -> None:
        """Every instance that follows the operator's topic refuses it."""

        async def scenario(
            first: InstanceHarness, second: InstanceHarness
        ) -> None:
            accounts = tuple(
                account._replace(keys=()) for account in STANDARD.accounts
            )
            content = write_config(STANDARD._replace(accounts=accounts), 2)
            first.store.publish(OPERATOR_TOPIC, CONFIG_KEY, content)
            await anyio.sleep(SETTLE_S)
            self.assertEqual((await first.call('POST', ID, JOB)).status, 401)

        run_two(scenario)

    def test_a_call_is_not_judged_by_an_older_configuration(self) -> None:
        """Its caller may have seen the effect of the newer one already."""

        async def scenario(
            first: InstanceHarness, second: InstanceHarness
        ) -> None:
            call = Call('POST', HOST, f'/batch/{ID}', 'key-red', 3, JOB, True)
            newer = call._replace(min_version=2)
            self.assertEqual((await first.intake.answer(newer)).status, 503)
            same = call._replace(min_version=1)
            self.assertEqual((await first.intake.answer(same)).status, 200)

        run_two(scenario)

    def test_an_instance_without_the_operator_stops_serving(self) -> None:
        """It stops well before the bound on accepting a revoked key."""

        async def scenario(
            first: InstanceHarness, second: InstanceHarness
        ) -> None:
            first.store.silent = True
            await anyio.sleep(3.5)
            refused = await first.call('GET', ID)
            self.assertEqual(refused.status, 503)
            self.assertGreater(refused.retry_after_s, 0)
            self.assertFalse(first.intake.ready)

        run_two(scenario)

    def test_a_lost_append_is_neither_accepted_nor_refused(self) -> None:
        """The same append is repeated, and the job is recorded once."""

        async def scenario(
            first: InstanceHarness, second: InstanceHarness
        ) -> None:
            first.store.replies_to_lose = 1
            self.assertEqual((await first.call('POST', ID, JOB)).status, 200)
            self.assertEqual(len(first.follower.cell.state.jobs), 1)
            self.assertEqual(first.follower.position, 1)

        run_two(scenario)

    def test_a_store_that_refuses_gives_a_true_refusal_at_once(self) -> None:
        """The job never runs, and the caller is told when to retry."""

        async def scenario(
            first: InstanceHarness, second: InstanceHarness
        ) -> None:
            first.store.refuses = True
            began = anyio.current_time()
            refused = await first.call('POST', ID, JOB)
            self.assertEqual(refused.status, 503)
            self.assertLess(anyio.current_time() - began, 0.1)
            self.assertEqual(first.store.topic('swifthoist.cell').end, 0)

        run_two(scenario)

    def test_an_append_without_an_answer_leaves_the_outcome_open(self) -> None:
        """The answer is 504, not a refusal; the append succeeds later."""

        async def scenario(
            first: InstanceHarness, second: InstanceHarness
        ) -> None:
            first.store.silent = True
            unknown = await first.call('POST', ID, JOB)
            self.assertEqual(unknown.status, 504)
            first.store.silent = False
            await anyio.sleep(3)
            self.assertEqual((await second.call('GET', ID)).status, 200)

        run_two(scenario)

    def test_a_wait_for_its_turn_counts_in_the_time_of_an_answer(self) -> None:
        """A large submission had its whole time again behind its turn."""

        async def scenario(
            first: InstanceHarness, second: InstanceHarness
        ) -> None:
            first.store.silent = True
            large = JOB + b' ' * LARGE_BODY_BYTES
            wait_s = 3
            async with anyio.create_task_group() as tasks:
                await tasks.start(_take_turn, first.turns)
                began = anyio.current_time()
                answer = await first.call('POST', ID, large, wait_s=wait_s)
                took_s = anyio.current_time() - began
            self.assertEqual(answer.status, 504)
            self.assertLessEqual(took_s, ANSWER_SHARE * wait_s + 0.01)

        run_two(scenario)

    def test_a_change_that_another_instance_may_have_made_is_not_refused(
        self,
    ) -> None:
        """This instance has no configuration, and the others are silent."""

        async def main() -> None:
            store = FakeStore()
            second = InstanceHarness('second', store)
            peers = _SilentPeers()
            intake = Intake(
                second.configuration,
                second.follower,
                Recorder(second.journal, peers, StoreLatency(LoopClock())),
                peers,
                lambda: REVOKE_MS,
                OpenCalls(LoopClock()),
                open_guard(second.follower.cell).submissions,
            )
            for method, status in (
                ('POST', 504),
                ('DELETE', 504),
                ('GET', 503),
            ):
                call = Call(method, HOST, f'/batch/{ID}', 'key-red', 3, JOB)
                peers.unknown = call.changes_state
                self.assertEqual((await intake.answer(call)).status, status)

        run(main)


async def _take_turn(
    turns: FairTurns, *, task_status: TaskStatus[None]
) -> None:
    """Have others wait for their turn."""
    async with turns.turn():
        task_status.started()
        await anyio.sleep(1)


class _SilentPeers:
    """Other instances that take every call and answer none."""

    holder = ''
    unknown = True

    async def relay(
        self, call: Call, reason: str, budget_s: float, *, to_holder: bool
    ) -> Relayed:
        """Tell that the call may have been served."""
        return Relayed(unknown=self.unknown, unreached=1)
