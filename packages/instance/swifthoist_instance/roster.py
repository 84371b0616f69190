"""Runner sessions of one tenure, one for each known runner.

A session that fails is replaced by a new one, as a new term would do it; the
sessions with other runners go on.
"""

import logging
from collections.abc import Callable, Iterable

import anyio
from anyio.abc import TaskGroup

from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.evacuation import Gate
from swifthoist_engine.faults import FaultGuard, FaultSource
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.model import RunKey
from swifthoist_engine.records import (
    Record,
    RunnerDescribed,
    RunnerGone,
    RunnerMet,
)
from swifthoist_engine.runners import RunnerAssessment, RunnerView
from swifthoist_engine.speed_estimates import USUAL
from swifthoist_engine.stops import Stop
from swifthoist_instance.contacts import Contact
from swifthoist_instance.context import TenureContext
from swifthoist_instance.leases import Lease, choose_lease_ms, lease_expiry_ms
from swifthoist_instance.lives import MAX_ORDER_DELAY_MS
from swifthoist_instance.outcomes import record_all, vanished_record
from swifthoist_instance.registry import Registry
from swifthoist_instance.session_failures import SessionFailures
from swifthoist_instance.sessions import Session
from swifthoist_platform.documents import Registration, unregistered_runner
from swifthoist_platform.runner_calls import RunnerClient

POLL_INTERVAL_S = 0.05
"""Interval at which sessions are reconciled with the registry, in seconds."""

_log = logging.getLogger(__name__)


class Roster:
    """The runner sessions of a tenure."""

    def __init__(
        self,
        registry: Registry,
        context: TenureContext,
        open_runner: Callable[[Registration], RunnerClient],
        lease_max_ms: Millis,
    ) -> None:
        """Create the roster of a tenure.

        :param registry: registrations of the runners.
        :param context: state shared within the tenure.
        :param open_runner: creates the client of a runner.
        :param lease_max_ms: longest lease that runners grant, in ms.
        """
        self._registry = registry
        self._context = context
        self._open_runner = open_runner
        self._lease_ms = choose_lease_ms(lease_max_ms)
        # Earlier holders may have renewed leases until others_renew_until_ms,
        # and an earlier term of this tenure until now.
        renewed_ms = max(
            context.hold.others_renew_until_ms, context.clock.boot_ms()
        )
        self._unknown_clock_expiry_ms = lease_expiry_ms(renewed_ms)
        self._sessions: dict[RunnerId, Session] = {}
        self._failures = SessionFailures(context)
        self._speeds: dict[RunnerId, int] = {}

    async def run(self, tasks: TaskGroup) -> None:
        """Open and close sessions, until canceled.

        :param tasks: task group that runs the sessions.
        """
        await self._registry.loaded.wait()
        while True:
            isolate = self._context.faults.isolate
            self._open_all(tasks)
            sessions = self._sessions.values()
            closed = [it for it in sessions if it.contact.closed]
            for session in closed:
                with isolate('runner', session.contact.runner):
                    await self._reopen_if_over(session, tasks)
            for duty in (
                self._note_addresses,
                self._close_gone,
                self._forget_unlisted,
            ):
                with isolate('task', duty.__name__):
                    await duty()
            await anyio.sleep(POLL_INTERVAL_S)

    def views(
        self, cordoned: frozenset[RunnerId], guard: FaultGuard
    ) -> tuple[RunnerView, ...]:
        """Describe the runners for a decision.

        :param cordoned: runners that get no new work.
        :param guard: attributes a fault to the runner that caused it.
        :returns: a view of each runner.
        """
        views: list[RunnerView] = []
        evacuations = self._context.zones.look()
        now_ms = self._context.follower.time.now_ms()
        learned = self._context.cell.state.experience
        for runner, session in self._sessions.items():
            with guard.isolate(FaultSource.RUNNER, runner):
                zone = session.contact.registration.zone
                allowed = evacuations.gate(zone) is Gate.OPEN
                runs = self._context.cell.runs_on(runner)
                standing = RunnerAssessment(
                    allowed
                    and _is_usable(self._registry, session)
                    and runner not in cordoned,
                    learned.breakers.suspicion(runner, now_ms),
                    cold=session.contact.cold,
                    speed=self._speed_class(runner),
                    trials=learned.breakers.trials(runner, now_ms, runs),
                )
                views.append(session.describe(standing))
        return tuple(views)

    def stopping(self) -> frozenset[RunKey]:
        """Return the runs that are being stopped."""
        return frozenset(
            key
            for session in self._sessions.values()
            for key in session.stopping()
        )

    def start(self, run: OpenRun, ticket: str) -> bool:
        """Send a start to its runner.

        :param run: the run; its record is folded.
        :param ticket: permission of the queue's policy; empty if none.
        :returns: whether the start is being sent.
        """
        session = self._sessions.get(run.runner)
        return session is not None and session.start(run, ticket)

    def stop(self, stops: Iterable[Stop]) -> None:
        """Send stops to their runners.

        :param stops: the runs to stop.
        """
        faults = self._context.faults
        for stop in stops:
            session = self._sessions.get(stop.run.runner)
            if session is not None:
                with faults.isolate('runner', stop.run.runner):
                    session.stop(stop.run, stop.reason)

    def _open_all(self, tasks: TaskGroup) -> None:
        """Open or update the sessions with all known runners."""
        listed = [it.registration for it in self._registry.listed.values()]
        for entry in (*listed, *self._unlisted_entries()):
            # A context manager takes 5 us, for each runner 20 times a second.
            try:
                self._open_or_update(entry, tasks)
            except Exception as exc:
                self._context.faults.note('runner', entry.runner, exc)

    def _open_or_update(self, entry: Registration, tasks: TaskGroup) -> None:
        session = self._sessions.get(entry.runner)
        if session is None:
            self._run_session(Session(self._meet(entry, reborn=False)), tasks)
        elif session.note_entry(entry):
            self._context.wake.notify()

    async def _reopen_if_over(self, session: Session, tasks: TaskGroup) -> None:
        """Replace the session with a life that is over, or one that failed."""
        former = session.contact
        if former.life.over:
            contact = self._make_contact(former.registration, reborn=True)
            contact.continue_from(former)
        elif await self._failures.may_reopen(session):
            contact = self._meet(former.registration, reborn=former.reborn)
        else:
            return
        self._run_session(Session(contact, session.checkpoints), tasks)

    def _meet(self, entry: Registration, *, reborn: bool) -> Contact:
        """Make contact with a runner that an earlier session may have met."""
        state = self._context.cell.state
        facts = state.facts.get(entry.runner)
        born_ms = 0 if facts is None else facts.born_ms
        known = entry._replace(born_ms=max(born_ms, entry.born_ms))
        return self._make_contact(
            known, reborn=reborn or 0 < born_ms < entry.born_ms
        )

    def _make_contact(self, entry: Registration, *, reborn: bool) -> Contact:
        now_ms = self._context.clock.boot_ms()
        unknown_clock_expiry_ms = self._unknown_clock_expiry_ms
        order_delay_ms = 0
        if reborn:
            # Orders to the former life may reach this one. Its clock was reset,
            # so that the leases they carry end late by it.
            order_delay_ms = MAX_ORDER_DELAY_MS
            unknown_clock_expiry_ms = lease_expiry_ms(now_ms + order_delay_ms)
        elif entry.runner in self._failures:
            # The session that failed may have renewed the lease until now.
            renewed_ms = lease_expiry_ms(now_ms)
            unknown_clock_expiry_ms = max(unknown_clock_expiry_ms, renewed_ms)
        contact = Contact(
            entry,
            self._open_runner(entry),
            Lease(self._lease_ms, unknown_clock_expiry_ms, order_delay_ms),
            self._context,
        )
        contact.reborn = reborn
        return contact

    def _run_session(self, session: Session, tasks: TaskGroup) -> None:
        self._sessions[session.contact.runner] = session
        tasks.start_soon(self._failures.run, session)

    def _unlisted_entries(self) -> list[Registration]:
        """Return entries of runners that have runs but are not registered.

        They hold the last known addresses.
        """
        cell = self._context.cell
        known = cell.state.addresses
        return [
            unregistered_runner(runner, known[runner])
            for runner in cell.runs.runners() & known.keys()
            if runner not in self._sessions
        ]

    async def _note_addresses(self) -> None:
        """Record addresses and facts of runners that aren't folded yet."""
        context = self._context
        known = context.cell.state.addresses
        contacts = [
            session.contact
            for session in self._sessions.values()
            if session.synced and not session.contact.gone
        ]
        descriptions: list[Record] = [
            RunnerMet(context.epoch, it.runner, it.registration.address)
            for it in contacts
            if known.get(it.runner) != it.registration.address
        ]
        facts = context.cell.state.facts
        descriptions.extend(
            RunnerDescribed(context.epoch, it.runner, *it.facts)
            for it in contacts
            # Only the address of an unregistered runner is known.
            if it.registration.service and facts.get(it.runner) != it.facts
        )
        if descriptions and context.journal.available:
            await record_all(context, descriptions)

    async def _close_gone(self) -> None:
        for runner, session in list(self._sessions.items()):
            listed = self._registry.present(runner) is not None
            if not listed and (session.contact.closed or not session.open):
                await self._close(runner, session)

    async def _close(self, runner: RunnerId, session: Session) -> None:
        if self._context.cell.runs_on(runner):
            return
        session.close()
        self._sessions.pop(runner)
        self._failures.forget(runner)
        self._speeds.pop(runner, None)
        self._registry.forget(runner)
        _log.info('runner gone', extra={'runner': runner})
        gone = RunnerGone(self._context.epoch, runner)
        await record_all(self._context, [gone])

    async def _forget_unlisted(self) -> None:
        """Forget runners without a session once their leases have ended."""
        if self._context.clock.boot_ms() <= self._unknown_clock_expiry_ms:
            return
        cell = self._context.cell
        records: list[Record] = []
        reason = 'runner is not listed'
        for runner in cell.runners() - self._sessions.keys():
            for run in cell.runs_on(runner):
                records.append(vanished_record(self._context, run, reason))
            records.append(RunnerGone(self._context.epoch, runner))
        await record_all(self._context, records)

    def _speed_class(self, runner: RunnerId) -> int:
        """Return the speed class of a runner, and log changes."""
        state = self._context.cell.state
        facts = state.facts.get(runner)
        if facts is None:
            return USUAL
        speeds = state.experience.speeds
        speed = speeds.speed(facts)
        before = self._speeds.get(runner, USUAL)
        if speed != before:
            self._speeds[runner] = speed
            fields = {
                'runner': runner,
                'machine': facts.machine,
                'before': before,
                'speed': speed,
                'factor': round(speeds.factor(facts), 2),
            }
            _log.info('runner speed', extra=fields)
        return speed


def _is_usable(registry: Registry, session: Session) -> bool:
    listed = registry.present(session.contact.runner) is not None
    return listed and session.open and not session.contact.listed.crowded
