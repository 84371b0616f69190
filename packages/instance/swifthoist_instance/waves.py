"""Carries out waves of machine upkeep while this instance is the holder."""

import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

import anyio

from swifthoist_core.errors import (
    LogUnavailableError,
    OutcomeUnknownError,
    UnreachableError,
)
from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.records import UpkeepBegun, WaveDone
from swifthoist_engine.stops import Stop
from swifthoist_engine.upkeep import (
    MachineState,
    WaveState,
    WaveStep,
    cordoned_runners,
    next_step,
)
from swifthoist_instance.configuration import Configuration
from swifthoist_instance.context import TenureContext
from swifthoist_instance.outcomes import OwnRecords, record_all
from swifthoist_platform.documents import Wave, encode_wave_state
from swifthoist_platform.machines import MachinesClient, UpkeepStatus
from swifthoist_platform.store import STATUS_TOPIC, WAVE_PREFIX

LIST_INTERVAL_S = 0.5
"""Interval between listings of the machines during a wave, in seconds; each
listing counts against a limit of the platform."""

IDLE_POLL_S = 0.2
CALL_TIMEOUT_S = 1.0
"""Timeout of a call, in seconds: several times the response time of a service
that is fifty times as slow as usual. An order without an answer is repeated."""

_CALL_ERRORS = (OutcomeUnknownError, UnreachableError, LogUnavailableError)
_log = logging.getLogger(__name__)


class StatusStore(Protocol):
    """Store to which the status of waves is written."""

    async def put(
        self, topic: str, key: str, content: bytes, timeout_s: float
    ) -> None:
        """Write the newest value of a key."""


class Waves:
    """The waves of one tenure.

    :ivar cordoned: runners that get no new work because their machine is about
        to go down.
    """

    def __init__(
        self,
        configuration: Configuration,
        context: TenureContext,
        machines: MachinesClient,
        store: StatusStore,
        stop: Callable[[Iterable[Stop]], None],
    ) -> None:
        """Create the waves of a tenure.

        :param configuration: configuration with the requested waves.
        :param context: state shared within the tenure.
        :param machines: client that lists machines and orders upkeep.
        :param store: store for the status of waves.
        :param stop: sends stops to runners.
        """
        self._stop = stop
        self.cordoned: frozenset[RunnerId] = frozenset()
        self._configuration = configuration
        self._context = context
        self._machines = machines
        self._store = store
        self._cordoned_since: dict[str, Millis] = {}
        self._announced: set[int] = set()
        self._own_records = OwnRecords(context)
        self._served: set[tuple[int, str]] = set()

    async def run(self) -> None:
        """Carry out waves one by one, until canceled."""
        while True:
            wave = self._current()
            if wave is None:
                self.cordoned = frozenset()
                self._cordoned_since.clear()
                await anyio.sleep(IDLE_POLL_S)
                continue
            try:
                await self._advance(wave)
            except _CALL_ERRORS as exc:
                fields = {'wave': wave.number, 'why': str(exc)}
                _log.warning('wave delayed', extra=fields)
            await anyio.sleep(LIST_INTERVAL_S)

    def _current(self) -> Wave | None:
        done = self._context.cell.state.waves_done
        waves = self._configuration.waves
        left = sorted(number for number in waves if number not in done)
        return waves[left[0]] if left else None

    async def _advance(self, wave: Wave) -> None:
        if not await self._own_records.settle():
            # A machine more may count as down once they are folded.
            return
        if wave.number not in self._announced:
            await self._write_status(wave, complete=False)
            self._announced.add(wave.number)
        state = await self._read_state(wave)
        self.cordoned = cordoned_runners(state)
        now_ms = self._context.clock.boot_ms()
        step = next_step(state, self._context.cell, now_ms)
        await self._execute(wave, step, now_ms)
        if step.complete:
            await self._complete(wave, state)

    async def _read_state(self, wave: Wave) -> WaveState:
        listed = await self._machines.list_all(CALL_TIMEOUT_S)
        machines = tuple(
            MachineState(
                item.machine,
                item.up,
                item.runner,
                self._cordoned_since.get(item.machine),
            )
            for item in listed
            if item.machine in wave.machines
        )
        upkeeps = self._context.cell.state.upkeeps
        begun = upkeeps.get(wave.number, {})
        return WaveState(wave.at_once, wave.deadline_ms, machines, begun)

    async def _execute(
        self, wave: Wave, step: WaveStep, now_ms: Millis
    ) -> None:
        for machine in step.cordon:
            self._cordoned_since[machine] = now_ms
        self._stop(Stop(run, 'its machine is emptied') for run in step.moved)
        async with anyio.create_task_group() as tasks:
            for item in step.order:
                tasks.start_soon(self._try_order, self._order, wave, item)

    async def _complete(self, wave: Wave, state: WaveState) -> None:
        """Complete a wave, unless an order may not have been carried out.

        A runner that went away and is back under its id may have had no upkeep.
        Another order has no effect on a machine that had it.
        """
        unsure = [
            item
            for item in state.machines
            if not state.begun[item.machine]
            and (wave.number, item.machine) not in self._served
        ]
        async with anyio.create_task_group() as tasks:
            for item in unsure[: wave.at_once]:
                tasks.start_soon(self._try_order, self._send_order, wave, item)
        if not unsure:
            await self._finish(wave)

    async def _try_order(
        self,
        order: Callable[[Wave, MachineState], Awaitable[None]],
        wave: Wave,
        item: MachineState,
    ) -> None:
        """Order an upkeep; a failure doesn't delay the others."""
        try:
            await order(wave, item)
        except _CALL_ERRORS as exc:
            fields = {
                'wave': wave.number,
                'machine': item.machine,
                'why': str(exc),
            }
            _log.warning('upkeep order failed', extra=fields)

    async def _order(self, wave: Wave, item: MachineState) -> None:
        context = self._context
        begun = UpkeepBegun(
            context.epoch, wave.number, item.machine, item.runner
        )
        if not await record_all(context, [begun]):
            self._own_records.note_unsettled()
            return
        await self._send_order(wave, item)

    async def _send_order(self, wave: Wave, item: MachineState) -> None:
        context = self._context
        answer = await self._machines.order_upkeep(
            item.machine, wave.number, context.epoch, CALL_TIMEOUT_S
        )
        fields = {
            'wave': wave.number,
            'machine': item.machine,
            'runner': item.runner,
            'answer': answer.value,
        }
        _log.info('upkeep', extra=fields)
        if answer is UpkeepStatus.TAKEN:
            self._served.add((wave.number, item.machine))
        if answer is UpkeepStatus.FENCED:
            context.tenure.note_fenced(context.epoch)

    async def _finish(self, wave: Wave) -> None:
        await self._write_status(wave, complete=True)
        await record_all(
            self._context, [WaveDone(self._context.epoch, wave.number)]
        )
        _log.info('wave complete', extra={'wave': wave.number})

    async def _write_status(self, wave: Wave, *, complete: bool) -> None:
        content = encode_wave_state(wave.number, complete=complete)
        key = f'{WAVE_PREFIX}{wave.number}'
        await self._store.put(STATUS_TOPIC, key, content, CALL_TIMEOUT_S)
