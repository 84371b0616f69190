"""The sessions of one tenure: one for each runner that is listed."""

import logging
from collections.abc import Callable, Iterable

import anyio
from anyio.abc import TaskGroup

from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.evacuation import Gate
from swifthoist_engine.faults import FaultGuard, FaultSource
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.planner import Stop
from swifthoist_engine.records import (
    Record,
    RunnerDescribed,
    RunnerGone,
    RunnerMet,
)
from swifthoist_engine.run_index import RunKey
from swifthoist_engine.runners import RunnerAssessment, RunnerView
from swifthoist_engine.speed_figures import USUAL
from swifthoist_instance.contacts import Contact
from swifthoist_instance.leases import Lease, choose_lease_ms, lease_over_ms
from swifthoist_instance.lives import HELD_UP_MS
from swifthoist_instance.outcomes import record_all, vanished
from swifthoist_instance.registry import Registry
from swifthoist_instance.sessions import Session
from swifthoist_instance.shared import Shared
from swifthoist_platform.documents import Registration, unlisted_runner
from swifthoist_platform.runner_calls import RunnerClient

CHECK_S = 0.05
"""Pause between comparisons of the sessions with the registry, in seconds."""

_log = logging.getLogger(__name__)


class Roster:
    """The sessions, by runner."""

    def __init__(
        self,
        registry: Registry,
        shared: Shared,
        open_runner: Callable[[Registration], RunnerClient],
        lease_max_ms: Millis,
    ) -> None:
        """Keep a session for each runner that a registry lists.

        :param registry: lists the runners.
        :param shared: what the tenure shares.
        :param open_runner: opens a client of a runner.
        :param lease_max_ms: longest lease that runners grant, in ms.
        """
        self._registry = registry
        self._shared = shared
        self._open_runner = open_runner
        self._lease_ms = choose_lease_ms(lease_max_ms)
        # Earlier holders renewed leases for as long as they could go on, and
        # an earlier term of this tenure until now.
        renewed_ms = max(shared.hold.others_ms, shared.clock.boot_ms())
        self._unknown_ms = lease_over_ms(renewed_ms)
        self._sessions: dict[RunnerId, Session] = {}
        self._speeds: dict[RunnerId, int] = {}

    async def run(self, tasks: TaskGroup) -> None:
        """Open and close sessions, until canceled.

        :param tasks: runs the sessions.
        """
        await self._registry.loaded.wait()
        while True:
            for listed in list(self._registry.listed.values()):
                self._keep(listed.registration, tasks)
            for entry in self._unlisted():
                self._keep(entry, tasks)
            self._renew(tasks)
            await self._note_addresses()
            await self._close_gone()
            await self._close_unlisted()
            await anyio.sleep(CHECK_S)

    def views(
        self, cordoned: frozenset[RunnerId], guard: FaultGuard
    ) -> tuple[RunnerView, ...]:
        """Describe the runners for a decision.

        :param cordoned: runners that get no more work.
        :param guard: keeps faults to the runner that brings them out.
        :returns: the runners.
        """
        views: list[RunnerView] = []
        evacuations = self._shared.zones.look()
        now_ms = self._shared.follower.time.now_ms()
        learned = self._shared.cell.state.experience
        for runner, session in self._sessions.items():
            with guard.isolate(FaultSource.RUNNER, runner):
                zone = session.contact.registration.zone
                allowed = evacuations.gate(zone) is Gate.OPEN
                runs = self._shared.cell.runs_on(runner)
                standing = RunnerAssessment(
                    allowed
                    and self._usable(session)
                    and runner not in cordoned,
                    learned.breakers.suspicion(runner, now_ms),
                    cold=session.contact.cold,
                    speed=self._speed(runner),
                    trials=learned.breakers.trials(runner, now_ms, runs),
                )
                views.append(session.describe(standing))
        return tuple(views)

    def stopping(self) -> frozenset[RunKey]:
        """List the runs that are being stopped."""
        return frozenset(
            key
            for session in self._sessions.values()
            for key in session.stopping()
        )

    def start(self, run: OpenRun, ticket: str) -> bool:
        """Carry a start to its runner.

        :param run: the run; its record is folded.
        :param ticket: permission by the queue's policy; empty for none.
        :returns: whether it is on its way.
        """
        session = self._sessions.get(run.runner)
        return session is not None and session.start(run, ticket)

    def stop(self, stops: Iterable[Stop]) -> None:
        """Carry stops to their runners.

        :param stops: the runs that have to end.
        """
        for stop in stops:
            session = self._sessions.get(stop.run.runner)
            if session is not None:
                session.stop(stop.run, stop.reason)

    def _keep(self, entry: Registration, tasks: TaskGroup) -> None:
        session = self._sessions.get(entry.runner)
        if session is None:
            state = self._shared.cell.state
            facts = state.facts.get(entry.runner)
            born_ms = 0 if facts is None else facts.born_ms
            reborn = 0 < born_ms < entry.born_ms
            known = entry._replace(born_ms=max(born_ms, entry.born_ms))
            self._serve(Session(self._contact(known, reborn=reborn)), tasks)
        elif session.note_entry(entry):
            self._shared.wake.give()

    def _renew(self, tasks: TaskGroup) -> None:
        """Open sessions with lives that have followed others."""
        for session in list(self._sessions.values()):
            if session.contact.closed and session.contact.life.over:
                entry = session.contact.registration
                contact = self._contact(entry, reborn=True)
                contact.follow(session.contact)
                self._serve(Session(contact, session.saved), tasks)

    def _contact(self, entry: Registration, *, reborn: bool) -> Contact:
        unknown_ms, held_up_ms = self._unknown_ms, 0
        if reborn:
            # Orders to the life before may reach this one, and by its clock,
            # which began anew, their leases end late.
            held_up_ms = HELD_UP_MS
            now_ms = self._shared.clock.boot_ms()
            unknown_ms = lease_over_ms(now_ms + held_up_ms)
        contact = Contact(
            entry,
            self._open_runner(entry),
            Lease(self._lease_ms, unknown_ms, held_up_ms),
            self._shared,
        )
        contact.reborn = reborn
        return contact

    def _serve(self, session: Session, tasks: TaskGroup) -> None:
        self._sessions[session.contact.runner] = session
        tasks.start_soon(session.run)

    def _unlisted(self) -> list[Registration]:
        """Find where runners answered that have runs and are not listed."""
        cell = self._shared.cell
        known = cell.state.addresses
        return [
            unlisted_runner(runner, known[runner])
            for runner in cell.runs.runners() & known.keys()
            if runner not in self._sessions
        ]

    async def _note_addresses(self) -> None:
        """Record where runners answer and what they are, until it is folded."""
        shared = self._shared
        known = shared.cell.state.addresses
        contacts = [
            session.contact
            for session in self._sessions.values()
            if session.synced and not session.contact.gone
        ]
        met: list[Record] = [
            RunnerMet(shared.epoch, it.runner, it.registration.address)
            for it in contacts
            if known.get(it.runner) != it.registration.address
        ]
        facts = shared.cell.state.facts
        met.extend(
            RunnerDescribed(shared.epoch, it.runner, *it.facts)
            for it in contacts
            # Of a runner that is not listed nothing is known but its address.
            if it.registration.service and facts.get(it.runner) != it.facts
        )
        if met and shared.journal.available:
            await record_all(shared, met)

    async def _close_gone(self) -> None:
        for runner, session in list(self._sessions.items()):
            listed = self._registry.present(runner) is not None
            if not listed and (session.contact.closed or not session.open):
                await self._close(runner, session)

    async def _close(self, runner: RunnerId, session: Session) -> None:
        if self._shared.cell.runs_on(runner):
            return
        session.close()
        self._sessions.pop(runner)
        self._speeds.pop(runner, None)
        self._registry.forget(runner)
        _log.info('runner gone', extra={'runner': runner})
        gone = RunnerGone(self._shared.epoch, runner)
        await record_all(self._shared, [gone])

    async def _close_unlisted(self) -> None:
        """Forget runners that nobody lists, once leases have ended."""
        if self._shared.clock.boot_ms() <= self._unknown_ms:
            return
        cell = self._shared.cell
        records: list[Record] = []
        reason = 'runner is not listed'
        for runner in cell.runners() - self._sessions.keys():
            for run in cell.runs_on(runner):
                records.append(vanished(self._shared, run, reason))
            records.append(RunnerGone(self._shared.epoch, runner))
        await record_all(self._shared, records)

    def _speed(self, runner: RunnerId) -> int:
        """Tell the class of a runner's speed, and log a change of it."""
        state = self._shared.cell.state
        facts = state.facts.get(runner)
        if facts is None:
            return USUAL
        speeds = state.experience.speeds
        speed = speeds.speed(facts)
        before = self._speeds.get(runner, USUAL)
        if speed != before:
            self._speeds[runner] = speed
            about = {
                'runner': runner,
                'machine': facts.machine,
                'before': before,
                'speed': speed,
                'factor': round(speeds.factor(facts), 2),
            }
            _log.info('runner speed', extra=about)
        return speed

    def _usable(self, session: Session) -> bool:
        listed = self._registry.present(session.contact.runner) is not None
        return listed and session.open
