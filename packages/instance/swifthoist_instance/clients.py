"""Opens clients of the platform at the addresses that the settings name."""

from collections.abc import Callable

from swifthoist_core.types import InstanceId
from swifthoist_instance.settings import DynamicEndpoint, Settings
from swifthoist_instance.store_latency import StoreLatency
from swifthoist_platform.advice import AdviceClient
from swifthoist_platform.documents import Registration
from swifthoist_platform.endpoint import EndpointProtocol
from swifthoist_platform.machines import MachinesClient
from swifthoist_platform.runner_calls import RunnerClient
from swifthoist_platform.store import StoreClient


class Clients:
    """Opens clients of the platform."""

    def __init__(
        self,
        settings: Settings,
        open_endpoint: Callable[[str], EndpointProtocol],
        latency: StoreLatency,
    ) -> None:
        """Follow the addresses in the settings.

        :param settings: the platform's settings.
        :param open_endpoint: opens an address.
        :param latency: measures the time of the store's answers.
        """
        self._settings = settings
        self._open_endpoint = open_endpoint
        self._latency = latency

    def store(self) -> StoreClient:
        """Open the store, with connections of its own."""
        return StoreClient(
            self._open(lambda: self._settings.boot.store.address),
            self._settings.boot.link_bytes_s,
            self._latency,
        )

    def machines(self) -> MachinesClient:
        """Open the service that moves machines and has their upkeep."""
        endpoint = self._open(lambda: self._settings.boot.machines_address)
        return MachinesClient(endpoint, self._settings.boot.instance)

    def advice(self) -> AdviceClient:
        """Open the policy service."""
        return AdviceClient(
            self._open(lambda: self._settings.boot.advice_address)
        )

    def runner(self, entry: Registration) -> RunnerClient:
        """Open a runner.

        :param entry: its registration.
        :returns: its client.
        """
        return RunnerClient(entry.runner, self._open_endpoint(entry.address))

    def _open(self, address: Callable[[], str]) -> DynamicEndpoint:
        return DynamicEndpoint(address, self._open_endpoint)


def user_agent(instance: InstanceId) -> str:
    """Return the name that an instance sends with each call to the platform.

    :param instance: name of the instance.
    :returns: value of the ``User-Agent`` header.
    """
    return f'swifthoist/{instance}'
