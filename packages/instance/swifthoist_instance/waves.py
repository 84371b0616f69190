"""Carries waves of upkeep out while this instance holds."""

import logging
from collections.abc import Callable, Iterable
from typing import Protocol

import anyio

from swifthoist_core.errors import (
    LogUnavailableError,
    OutcomeUnknownError,
    UnreachableError,
)
from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.planner import Stop
from swifthoist_engine.records import UpkeepBegun, WaveDone
from swifthoist_engine.upkeep import (
    MachineState,
    WaveState,
    WaveStep,
    cordoned_runners,
    next_step,
)
from swifthoist_instance.configuration import Configuration
from swifthoist_instance.outcomes import record_all
from swifthoist_instance.shared import Shared
from swifthoist_platform.documents import Wave, encode_wave_state
from swifthoist_platform.machines import MachinesClient, UpkeepStatus
from swifthoist_platform.store import STATUS_TOPIC, WAVE_PREFIX

LOOK_S = 0.5
"""Pause between lists of the machines while a wave is under way, in seconds;
each list is counted against a limit of the platform."""

IDLE_S = 0.2
CALL_S = 1.0
"""Time for a call, in seconds: several answers of a service that is fifty
times as slow as usual. An order that got no answer is given again."""

_FAILED = (OutcomeUnknownError, UnreachableError, LogUnavailableError)
_log = logging.getLogger(__name__)


class PutsStatus(Protocol):
    """What waves ask of the store."""

    async def put(
        self, topic: str, key: str, content: bytes, timeout_s: float
    ) -> None:
        """Write the newest record of a key."""


class Waves:
    """The waves of one tenure.

    :ivar cordoned: runners that get no more work, since their machine is
        about to go down.
    """

    def __init__(
        self,
        configuration: Configuration,
        shared: Shared,
        machines: MachinesClient,
        store: PutsStatus,
        stop: Callable[[Iterable[Stop]], None],
    ) -> None:
        """Carry waves out.

        :param configuration: what the operator asks for.
        :param shared: what the tenure shares.
        :param machines: lists machines and orders upkeep.
        :param store: where the state of waves is written.
        :param stop: carries stops to runners.
        """
        self._stop = stop
        self.cordoned: frozenset[RunnerId] = frozenset()
        self._configuration = configuration
        self._shared = shared
        self._machines = machines
        self._store = store
        self._since: dict[str, Millis] = {}
        self._told: set[int] = set()

    async def run(self) -> None:
        """Carry waves out, until canceled."""
        while True:
            wave = self._current()
            if wave is None:
                self.cordoned = frozenset()
                self._since.clear()
                await anyio.sleep(IDLE_S)
                continue
            try:
                await self._advance(wave)
            except _FAILED as exc:
                about = {'wave': wave.number, 'why': str(exc)}
                _log.warning('wave held up', extra=about)
            await anyio.sleep(LOOK_S)

    def _current(self) -> Wave | None:
        done = self._shared.cell.state.waves_done
        waves = self._configuration.waves
        left = sorted(number for number in waves if number not in done)
        return waves[left[0]] if left else None

    async def _advance(self, wave: Wave) -> None:
        if wave.number not in self._told:
            await self._tell(wave, complete=False)
            self._told.add(wave.number)
        state = await self._look(wave)
        self.cordoned = cordoned_runners(state)
        now_ms = self._shared.clock.boot_ms()
        step = next_step(state, self._shared.cell, now_ms)
        await self._carry_out(wave, step, now_ms)

    async def _look(self, wave: Wave) -> WaveState:
        listed = await self._machines.list_all(CALL_S)
        machines = tuple(
            MachineState(
                item.machine,
                item.up,
                item.runner,
                self._since.get(item.machine),
            )
            for item in listed
            if item.machine in wave.machines
        )
        upkeeps = self._shared.cell.state.upkeeps
        begun = upkeeps.get(wave.number, {})
        return WaveState(wave.at_once, wave.deadline_ms, machines, begun)

    async def _carry_out(
        self, wave: Wave, step: WaveStep, now_ms: Millis
    ) -> None:
        for machine in step.cordon:
            self._since[machine] = now_ms
        self._stop(Stop(run, 'its machine is emptied') for run in step.moved)
        async with anyio.create_task_group() as tasks:
            for item in step.order:
                tasks.start_soon(self._try_order, wave, item)
        if step.complete:
            await self._finish(wave)

    async def _try_order(self, wave: Wave, item: MachineState) -> None:
        """Order an upkeep; one without an answer holds up no other."""
        try:
            await self._order(wave, item)
        except _FAILED as exc:
            about = {
                'wave': wave.number,
                'machine': item.machine,
                'why': str(exc),
            }
            _log.warning('upkeep unanswered', extra=about)

    async def _order(self, wave: Wave, item: MachineState) -> None:
        shared = self._shared
        begun = UpkeepBegun(
            shared.epoch, wave.number, item.machine, item.runner
        )
        if not await record_all(shared, [begun]):
            return
        answer = await self._machines.order_upkeep(
            item.machine, wave.number, shared.epoch, CALL_S
        )
        about = {
            'wave': wave.number,
            'machine': item.machine,
            'runner': item.runner,
            'answer': answer.value,
        }
        _log.info('upkeep', extra=about)
        if answer is UpkeepStatus.FENCED:
            shared.tenure.note_fenced(shared.epoch)

    async def _finish(self, wave: Wave) -> None:
        await self._tell(wave, complete=True)
        await record_all(
            self._shared, [WaveDone(self._shared.epoch, wave.number)]
        )
        _log.info('wave complete', extra={'wave': wave.number})

    async def _tell(self, wave: Wave, *, complete: bool) -> None:
        content = encode_wave_state(wave.number, complete=complete)
        key = f'{WAVE_PREFIX}{wave.number}'
        await self._store.put(STATUS_TOPIC, key, content, CALL_S)
