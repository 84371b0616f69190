"""Composition root of the stand-ins: builds each kind and serves it."""

import socket
from collections.abc import Callable
from typing import NamedTuple, TypeAlias

import anyio
import httpx

from swifthoist_core.clock import SystemClock
from swifthoist_core.errors import SwifthoistError
from swifthoist_platform.instances import InstanceClient, Listed
from swifthoist_standins.gate import FaultGate
from swifthoist_standins.instances import build_instances
from swifthoist_standins.log import build_log
from swifthoist_standins.places import Capacity
from swifthoist_standins.runner import RunnerLimits, build_runner
from swifthoist_standins.server import address_of, listen, serve
from swifthoist_standins.settings import Settings
from swifthoist_standins.streams import Retention
from swifthoist_standins.worker import build_worker

_MS_PER_S = 1000


class Ready(NamedTuple):
    """A listener takes connections.

    :ivar kind: ``log``, ``instances``, ``worker`` or ``runner``.
    :ivar address: its ``host:port``.
    :ivar instance_id: its id on the list, empty if it is not listed.
    """

    kind: str
    address: str
    instance_id: str = ''


Announce: TypeAlias = Callable[[Ready], None]


class Host(NamedTuple):
    """What the stand-ins of one process share.

    :ivar announce: told of each listener.
    :ivar stop: set to end.
    :ivar http: client for heartbeats to the list.
    """

    announce: Announce
    stop: anyio.Event
    http: httpx.AsyncClient


async def serve_log(cfg: Settings, host: Host) -> None:
    """Serve the log until the process ends.

    :param cfg: settings.
    :param host: the process.
    """
    retention = Retention(cfg.log_records, cfg.log_age_ms)
    sock = listen(cfg.host, cfg.log_port)
    host.announce(Ready('log', address_of(sock)))
    await serve(build_log(SystemClock(), retention), sock, host.stop)


async def serve_instances(cfg: Settings, host: Host) -> None:
    """Serve the list of instances until the process ends.

    :param cfg: settings.
    :param host: the process.
    """
    await _serve_list(cfg, host, listen(cfg.host, cfg.list_port))


async def serve_workers(cfg: Settings, host: Host) -> None:
    """Serve all workers, each on a port of its own.

    :param cfg: settings.
    :param host: the process.
    """
    async with anyio.create_task_group() as group:
        for index in range(cfg.workers):
            group.start_soon(_serve_worker, cfg, host, index)


async def serve_runners(cfg: Settings, host: Host) -> None:
    """Serve all runners, each on a port of its own.

    :param cfg: settings.
    :param host: the process.
    """
    async with anyio.create_task_group() as group:
        for index in range(cfg.runners):
            group.start_soon(_serve_runner, cfg, host, index)


async def serve_all(cfg: Settings, host: Host) -> None:
    """Serve every kind in one process.

    :param cfg: settings; the workers and runners register with its list.
    :param host: the process.
    """
    sock = listen(cfg.host, cfg.list_port)
    cfg = cfg._replace(list_url=f'http://{address_of(sock)}')
    async with anyio.create_task_group() as group:
        group.start_soon(serve_log, cfg, host)
        group.start_soon(_serve_list, cfg, host, sock)
        group.start_soon(serve_workers, cfg, host)
        group.start_soon(serve_runners, cfg, host)


async def _serve_list(cfg: Settings, host: Host, sock: socket.socket) -> None:
    app = build_instances(SystemClock(), cfg.list_ttl_ms, cfg.list_lag_ms)
    host.announce(Ready('instances', address_of(sock)))
    await serve(app, sock, host.stop)


async def _serve_worker(cfg: Settings, host: Host, index: int) -> None:
    clock = SystemClock()
    sock = listen(cfg.host, _port(cfg.worker_port, index))
    capacity = Capacity(cfg.accelerators, cfg.cores, cfg.memory_mib)
    app = build_worker(capacity, clock, cfg.usage_lag_ms)
    rack = index // max(cfg.workers_per_rack, 1)
    listed = Listed(
        f'{cfg.worker_prefix}{index:02}',
        'worker',
        address_of(sock),
        zone=_zone(cfg, rack),
        rack=f'rack-{rack}',
        incarnation=clock.wall_ms(),
        accelerators=cfg.accelerators,
        cores=cfg.cores,
        memory_mib=cfg.memory_mib,
    )
    host.announce(Ready('worker', listed.address, listed.instance_id))
    await _serve_listed(cfg, host, _Member(app, sock, listed))


async def _serve_runner(cfg: Settings, host: Host, index: int) -> None:
    clock = SystemClock()
    sock = listen(cfg.host, _port(cfg.runner_port, index))
    limits = RunnerLimits(
        cfg.slots, cfg.connections, cfg.work_ms, cfg.refuse_busy
    )
    listed = Listed(
        f'{cfg.runner_prefix}{index:02}',
        'runner',
        address_of(sock),
        zone=_zone(cfg, index),
        incarnation=clock.wall_ms(),
        service=cfg.service,
    )
    host.announce(Ready('runner', listed.address, listed.instance_id))
    app = build_runner(clock, limits)
    await _serve_listed(cfg, host, _Member(app, sock, listed))


class _Member(NamedTuple):
    app: FaultGate
    sock: socket.socket
    listed: Listed


async def _serve_listed(cfg: Settings, host: Host, member: _Member) -> None:
    async with anyio.create_task_group() as group:
        group.start_soon(serve, member.app, member.sock, host.stop)
        if cfg.list_url:
            group.start_soon(_send_heartbeats, cfg, host, member)


async def _send_heartbeats(cfg: Settings, host: Host, member: _Member) -> None:
    client = InstanceClient(host.http, cfg.list_url)
    while not host.stop.is_set():
        await member.app.board.wait_awake()
        await _send_heartbeat(client, member.listed)
        with anyio.move_on_after(cfg.heartbeat_ms / _MS_PER_S):
            await host.stop.wait()


async def _send_heartbeat(client: InstanceClient, listed: Listed) -> None:
    try:
        await client.register(listed)
    except SwifthoistError:
        return


def _port(first: int, index: int) -> int:
    return first and first + index


def _zone(cfg: Settings, index: int) -> str:
    return f'zone-{index % max(cfg.zones, 1)}'
