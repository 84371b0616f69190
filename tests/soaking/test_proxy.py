"""Tests of the proxy between the programs and the emulated platform."""

import unittest
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import SocketAttribute, SocketStream

from soak.network_faults import NetworkEffect, NetworkFault, NetworkFaults
from soak.proxy import Proxy

CALL = b'GET / HTTP/1.1\r\nUser-Agent: swifthoist/one\r\n\r\n'
WAIT_S = 0.3


class ProxyTest(unittest.TestCase):
    """Data passes unless a fault is set for the connection."""

    def play(
        self, scenario: Callable[[NetworkFaults, SocketStream], Awaitable[None]]
    ) -> None:
        """Run a scenario on a connection to an echo server through the proxy."""

        async def main() -> None:
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
            port = listener.extra(SocketAttribute.local_port)
            network_faults = NetworkFaults(1)
            proxy = Proxy(f'127.0.0.1:{port}', network_faults)
            proxy_port = int(proxy.address.rpartition(':')[2])
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, _echo)
                tasks.start_soon(proxy.run)
                async with await anyio.connect_tcp(
                    '127.0.0.1', proxy_port
                ) as conn:
                    await conn.send(CALL)
                    self.assertEqual(await conn.receive(), CALL)
                    await scenario(network_faults, conn)
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_a_silent_connection_stays_silent(self) -> None:
        """Silence lasts after the fault has been removed."""

        async def scenario(
            network_faults: NetworkFaults, conn: SocketStream
        ) -> None:
            network_faults.active.append(
                NetworkFault(NetworkEffect.SILENCE, 'swifthoist/one')
            )
            await conn.send(CALL)
            await anyio.sleep(WAIT_S)
            network_faults.active.clear()
            await conn.send(CALL)
            with anyio.move_on_after(WAIT_S) as scope:
                await conn.receive()
            self.assertTrue(scope.cancelled_caught)

        self.play(scenario)

    def test_a_reset_ends_a_connection(self) -> None:
        """A reset takes effect when the next data arrives."""

        async def scenario(
            network_faults: NetworkFaults, conn: SocketStream
        ) -> None:
            network_faults.active.append(NetworkFault(NetworkEffect.RESET))
            await conn.send(CALL)
            with self.assertRaises(
                (anyio.BrokenResourceError, anyio.EndOfStream)
            ):
                await conn.receive()

        self.play(scenario)

    def test_troubles_of_another_instance_pass_by(self) -> None:
        """Faults apply by the instance name in the User-Agent header."""

        async def scenario(
            network_faults: NetworkFaults, conn: SocketStream
        ) -> None:
            network_faults.active.append(
                NetworkFault(NetworkEffect.SILENCE, 'swifthoist/two')
            )
            await conn.send(CALL)
            self.assertEqual(await conn.receive(), CALL)

        self.play(scenario)


async def _echo(stream: SocketStream) -> None:
    async with stream:
        async for piece in stream:
            await stream.send(piece)
