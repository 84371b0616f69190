"""Stand-ins as plain processes, for the command line."""

import signal
import sys
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, TypeAlias

import anyio
import httpx
import msgspec

from swifthoist_core.errors import Finding, raise_findings
from swifthoist_standins import main
from swifthoist_standins.settings import Settings, parse_settings

_Server: TypeAlias = Callable[[Settings, main.Host], Coroutine[Any, Any, None]]

_SERVERS: Mapping[str, _Server] = {
    'log': main.serve_log,
    'instances': main.serve_instances,
    'workers': main.serve_workers,
    'runners': main.serve_runners,
    'all': main.serve_all,
}

KINDS = tuple(_SERVERS)
"""Kinds of stand-ins that a process can be."""


async def run(kind: str, options: Mapping[str, object]) -> None:
    """Serve stand-ins until SIGTERM or SIGINT.

    Each listener prints one line of JSON with its kind and address on
    standard output once it takes connections.

    :param kind: one of :data:`KINDS`.
    :param options: settings by name.
    :raises InvalidInputError: with everything that is wrong with them.
    """
    if kind not in _SERVERS:
        problem = f'must be one of {", ".join(KINDS)}'
        raise_findings('stand-in', [Finding('kind', problem)])
    cfg = parse_settings(options)
    async with httpx.AsyncClient(trust_env=False) as http:
        host = main.Host(_print_ready, anyio.Event(), http)
        async with anyio.create_task_group() as group:
            group.start_soon(_watch_signals, host.stop)
            group.start_soon(_SERVERS[kind], cfg, host)


async def _watch_signals(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop.set()
            return


def _print_ready(ready: main.Ready) -> None:
    line = msgspec.json.encode(ready._asdict()).decode()
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
