"""Tests of the stand-ins as processes."""

import contextlib
import io
import json
import signal
import unittest

import anyio
import httpx

from swifthoist_core.errors import InvalidInputError
from swifthoist_platform.instances import InstanceClient, Listed
from swifthoist_platform.log import Bounds, LogClient
from swifthoist_standins import processes
from swifthoist_standins.settings import Settings, parse_settings
from tests.loopback import PATIENT_S

SMALL = {'workers': '3', 'runners': 2, 'workers_per_rack': 2, 'zones': 2}
LISTENERS = 7


class SettingsTest(unittest.TestCase):
    """Settings are checked together."""

    def test_texts_from_flags_are_read_as_numbers(self) -> None:
        """What is left out keeps its default."""
        cfg = parse_settings({'slots': '4', 'refuse_busy': 'true'})
        self.assertEqual(cfg, Settings(slots=4, refuse_busy=True))

    def test_every_wrong_setting_is_named(self) -> None:
        """Unknown ones, malformed ones and negative ones."""
        wrong = {'slot': 1, 'cores': 'many', 'zones': -1}
        with self.assertRaises(InvalidInputError) as caught:
            parse_settings(wrong)
        places = {finding.place for finding in caught.exception.findings}
        self.assertEqual(places, set(wrong))


class ProcessTest(unittest.TestCase):
    """All kinds run in one process, on either backend."""

    def test_all_kinds_serve_register_and_end_on_sigterm(self) -> None:
        """Each listener is announced by one line of JSON."""
        for backend in ('asyncio', 'trio'):
            with self.subTest(backend=backend):
                anyio.run(self.play, backend=backend)

    def test_an_unknown_kind_is_refused(self) -> None:
        """Before anything is served."""
        with self.assertRaises(InvalidInputError):
            anyio.run(processes.run, 'store', {})

    async def play(self) -> None:
        """Run the process, talk to it and end it."""
        out = io.StringIO()
        with contextlib.redirect_stdout(out), anyio.fail_after(PATIENT_S):
            async with anyio.create_task_group() as group:
                group.start_soon(processes.run, 'all', SMALL)
                await anyio.wait_all_tasks_blocked()
                lines = out.getvalue().splitlines()
                self.assertEqual(len(lines), LISTENERS)
                ready = map(json.loads, lines)
                await self.visit({one['kind']: one for one in ready})
                handler = signal.getsignal(signal.SIGTERM)
                self.assertNotEqual(handler, signal.SIG_DFL)
                signal.raise_signal(signal.SIGTERM)

    async def visit(self, ready) -> None:
        """Use the log, and wait for everybody to be on the list."""
        async with httpx.AsyncClient(trust_env=False) as http:
            log = LogClient(http, f'http://{ready["log"]["address"]}')
            self.assertEqual(await log.bounds('ledger'), Bounds(0, 0))
            url = f'http://{ready["instances"]["address"]}'
            lines: tuple[Listed, ...] = ()
            while len(lines) < LISTENERS - 2:
                lines = await InstanceClient(http, url, PATIENT_S).list()
        places = [
            (line.zone, line.rack) for line in lines if line.kind == 'worker'
        ]
        rack = ('zone-0', 'rack-0')
        self.assertEqual(places, [rack, rack, ('zone-1', 'rack-1')])
        addresses = {line.address for line in lines}
        self.assertEqual(len(addresses), LISTENERS - 2)
