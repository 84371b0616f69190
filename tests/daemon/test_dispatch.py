"""Tests of the outcomes of requests."""

import unittest
from functools import partial

import anyio

from swifthoistd.work import Done, Granted, NotRun, Refused, Settled, Unknown
from tests.daemon.fake_runners import (
    FakeRunner,
    Instance,
    Mode,
    make_entry,
    make_request,
    run_virtual,
)


class OutcomeTest(unittest.TestCase):
    """Each outcome is what is true of the request."""

    def test_a_whole_answer_is_passed_on(self) -> None:
        """The body comes back as the runner sent it."""

        async def scenario() -> None:
            instance = Instance([FakeRunner('r1')])
            outcome = await instance.dispatcher.send(
                make_request(7), make_entry()
            )
            self.assertEqual(
                outcome, Done(200, b'echo body 7', 'application/octet-stream')
            )

        run_virtual(scenario)

    def test_a_non_idempotent_request_that_may_have_run_is_unknown(
        self,
    ) -> None:
        """Whatever breaks after the first byte, it is sent once only."""

        async def scenario(mode: Mode) -> None:
            runners = [FakeRunner('r1'), FakeRunner('r2')]
            for runner in runners:
                runner.mode = mode
            instance = Instance(runners)
            outcome = await instance.dispatcher.send(
                make_request(idempotent=False), make_entry()
            )
            self.assertIsInstance(outcome, Unknown)
            self.assertEqual(instance.intents.closed, [outcome])
            self.assertEqual(sum(sum(r.ran.values()) for r in runners), 1)

        for mode in (Mode.FAIL, Mode.TRUNCATE, Mode.WRONG_ID, Mode.LOSE):
            with self.subTest(mode=mode):
                run_virtual(partial(scenario, mode))

    def test_a_request_never_sent_goes_to_another_runner(self) -> None:
        """A refused connection has carried no byte of the request."""

        async def scenario() -> None:
            runners = [FakeRunner('r1'), FakeRunner('r2')]
            runners[0].mode = Mode.REFUSE_CONNECT
            instance = Instance(runners)
            for number in range(8):
                outcome = await instance.dispatcher.send(
                    make_request(number, idempotent=False), make_entry()
                )
                self.assertIsInstance(outcome, Done)
            self.assertGreater(instance.counters.extras.total(), 0)
            self.assertEqual(set(runners[1].ran.values()), {1})

        run_virtual(scenario)

    def test_an_intent_that_lapsed_is_not_sent(self) -> None:
        """Validity counts from before the intent was asked for."""

        async def scenario() -> None:
            runner = FakeRunner('r1')
            instance = Instance([runner])
            instance.intents.permission = Granted(100)
            instance.intents.delay_s = 0.2
            outcome = await instance.dispatcher.send(
                make_request(idempotent=False), make_entry()
            )
            self.assertEqual(outcome, NotRun('expired', 250))
            self.assertFalse(runner.ran)
            self.assertEqual(instance.intents.closed, [outcome])

        run_virtual(scenario)

    def test_what_the_log_has_settled_is_not_sent(self) -> None:
        """A settled or refused intent keeps the runner out of it."""

        async def scenario() -> None:
            runner = FakeRunner('r1')
            instance = Instance([runner])
            req = make_request(idempotent=False)
            before = Done(200, b'before', 'text/plain')
            instance.intents.permission = Settled(before)
            outcome = await instance.dispatcher.send(req, make_entry())
            self.assertEqual(outcome, before)
            instance.intents.permission = Refused('log', 9)
            outcome = await instance.dispatcher.send(req, make_entry())
            self.assertEqual(outcome, NotRun('log', 9))
            self.assertFalse(runner.ran)

        run_virtual(scenario)

    def test_a_deadline_tells_whether_the_request_may_have_run(self) -> None:
        """It is unknown once sent; while it waits for a slot it is not run."""

        async def scenario() -> None:
            runner = FakeRunner('r1', delay_s=60)
            instance = Instance([runner], members=[f'i{n}' for n in range(8)])
            outcomes: list[object] = []

            async def send(number: int) -> None:
                outcomes.append(
                    await instance.dispatcher.send(
                        make_request(number, deadline_ms=300 + number),
                        make_entry(),
                    )
                )

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send, 20)
                await anyio.sleep(0.01)
                tasks.start_soon(send, 1)
            self.assertIsInstance(outcomes[0], NotRun)
            self.assertIsInstance(outcomes[1], Unknown)
            self.assertEqual(set(runner.ran), {'key-20'})

        run_virtual(scenario)

    def test_what_once_may_have_run_is_never_called_not_run(self) -> None:
        """A retry that certainly wasn't sent doesn't clear the attempt."""

        async def scenario(*modes: Mode) -> None:
            runners = [FakeRunner('r1'), FakeRunner('r2')]
            for runner, mode in zip(runners, modes, strict=True):
                runner.mode = mode
            instance = Instance(runners)
            policy = instance.policy
            policy.cfg = policy.cfg._replace(max_attempts=2)
            outcome = await instance.dispatcher.send(
                make_request(), make_entry()
            )
            self.assertIsInstance(outcome, Unknown)
            self.assertEqual(sum(sum(r.ran.values()) for r in runners), 1)
            self.assertEqual(instance.counters.attempts, 2)

        # Whichever is chosen first, one of the two orders fails first.
        modes = (Mode.FAIL, Mode.REFUSE_CONNECT)
        run_virtual(partial(scenario, *modes))
        run_virtual(partial(scenario, *reversed(modes)))

    def test_recorded_work_past_its_deadline_is_unknown(self) -> None:
        """It was sent, and its runner may still be at it."""

        async def scenario() -> None:
            instance = Instance([FakeRunner('r1', delay_s=60)])
            outcome = await instance.dispatcher.send(
                make_request(idempotent=False, deadline_ms=300), make_entry()
            )
            self.assertEqual(outcome, Unknown('deadline'))

        run_virtual(scenario)

    def test_a_cancel_at_any_step_frees_the_slot(self) -> None:
        """Also when the attempt's task has only just been started."""

        async def scenario() -> None:
            instance = Instance([FakeRunner('r1', delay_s=60)])
            for steps in range(8):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(
                        instance.dispatcher.send,
                        make_request(steps),
                        make_entry(),
                    )
                    for _ in range(steps):
                        await anyio.lowlevel.checkpoint()
                    tasks.cancel_scope.cancel()
                self.assertEqual(instance.chooser.in_flight(), {})
                self.assertEqual(instance.dispatcher.in_progress, 0)

        # The two event loops begin and cancel tasks in different ways.
        run_virtual(scenario)
        anyio.run(scenario)

    def test_ids_of_callers_cannot_form_headers(self) -> None:
        """Line breaks and letters beyond ASCII reach the runner quoted."""

        async def scenario() -> None:
            runner = FakeRunner('r1')
            instance = Instance([runner])
            req = make_request()._replace(
                request_id='pedido-ção\r\n',
                key='chave-ção\r\n',
                content_type='text/plain; name=ção\r\n',
            )
            outcome = await instance.dispatcher.send(req, make_entry())
            self.assertIsInstance(outcome, Done)
            self.assertEqual(set(runner.ran), {'chave-%C3%A7%C3%A3o%0D%0A'})

        run_virtual(scenario)

    def test_drain_waits_for_requests_in_progress(self) -> None:
        """What was taken in is answered; what comes later did not run."""

        async def scenario() -> None:
            instance = Instance([FakeRunner('r1', delay_s=1)])
            outcomes = []

            async def send(number: int) -> None:
                outcomes.append(
                    await instance.dispatcher.send(
                        make_request(number), make_entry()
                    )
                )

            async def drain() -> None:
                await instance.dispatcher.drain()
                outcomes.append('drained')

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send, 1)
                await anyio.sleep(0.1)
                tasks.start_soon(drain)
                await anyio.sleep(0.1)
                await send(2)
            kinds = [type(outcome) for outcome in outcomes]
            self.assertEqual(kinds, [NotRun, Done, str])

        run_virtual(scenario)
