"""Support for tests that talk to stand-ins over loopback."""

import functools
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, TypeAlias

import anyio
import httpx

from swifthoist_standins.gate import FaultGate
from swifthoist_standins.server import serving

PATIENT_S = 20.0
"""Time for calls that must succeed, in seconds."""

HASTY_S = 0.2
"""Time for calls that never get an answer, in seconds."""

SCENE_S = 60.0
"""Time for a whole scene, in seconds, so that none hangs."""

LONG_MS = 600_000
"""A fault that lasts for the whole test, in ms."""


Scene: TypeAlias = Callable[[Any, 'Target'], Awaitable[None]]


class Target:
    """A stand-in that is being served.

    :ivar address: its ``host:port``.
    :ivar url: its URL.
    :ivar http: a client for it.
    """

    def __init__(self, address: str, http: httpx.AsyncClient) -> None:
        """Keep the parts."""
        self.address = address
        self.url = f'http://{address}'
        self.http = http

    async def fault(self, **faults: int) -> None:
        """Set faults, over a connection of its own."""
        async with httpx.AsyncClient(trust_env=False) as control:
            reply = await control.post(f'{self.url}/faults', json=faults)
            reply.raise_for_status()

    async def record(self) -> Any:
        """Read what ran, over a connection of its own."""
        async with httpx.AsyncClient(trust_env=False) as control:
            return (await control.get(f'{self.url}/record')).json()


@asynccontextmanager
async def reaching(app: FaultGate) -> AsyncIterator[Target]:
    """Serve an application and make a client for it."""
    async with (
        serving(app) as address,
        httpx.AsyncClient(trust_env=False, timeout=PATIENT_S) as http,
    ):
        yield Target(address, http)


class LoopbackTest(unittest.TestCase):
    """Base of tests that serve one stand-in each."""

    def build(self) -> FaultGate:
        """Build the stand-in."""
        raise NotImplementedError

    async def play(self, act: Scene) -> None:
        """Serve the stand-in and play a scene with it."""
        async with reaching(self.build()) as target:
            with anyio.fail_after(SCENE_S):
                await act(self, target)


def scene(act: Scene) -> Callable[[LoopbackTest], None]:
    """Make a test of a scene with the stand-in."""

    @functools.wraps(act)
    def test(case: LoopbackTest) -> None:
        anyio.run(case.play, act)

    return test
