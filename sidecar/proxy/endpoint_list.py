"""The endpoint list: follows the registry, and passes the list to the connection pool and the balancer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sidecar.balancer.actions import FetchRegistry, WatchRegistry
from sidecar.balancer.events import Endpoint, Event, RegistryUpdated, RegistryUpdateKind, ServerState
from sidecar.proxy.addresses import Address
from sidecar.proxy.connection_pool import ConnectionPool
from sidecar.proxy.discovery_client import DiscoveryClient
from sidecar.proxy.registry_messages import RegistryResponse
from sidecar.settings import Discovery as DiscoveryMode

_PUSHED_RETRY_DELAY_S = 0.5  # after a failed call to the agent that serves the list in pushed mode


class EndpointList:
    """Keeps the connection pool and the balancer up to date with the registry's endpoint list.

    In pushed mode it starts the watch itself; otherwise the balancer decides when to watch and to fetch.

    Attributes:
        client: The client of the registry.
        on_length_changed: Called with the number of servers after the list has changed.
    """

    def __init__(
        self,
        address: Address,
        version: int,
        mode: DiscoveryMode,
        pool: ConnectionPool,
        handle_event: Callable[[Event], None],
    ) -> None:
        self.client = DiscoveryClient(address, version, self.on_response)
        self.on_length_changed: Callable[[int], None] = lambda _: None
        self._mode = mode
        self._pool = pool
        self._handle_event = handle_event

    def start(self, cached: RegistryResponse) -> None:
        """Start with the list that was cached before a restart."""
        self.apply(RegistryUpdateKind.CACHED, cached)
        self._watch_if_pushed()

    def set_mode(self, mode: DiscoveryMode) -> None:
        """Change how lists arrive; in pushed mode the watch is started."""
        self._mode = mode
        self._watch_if_pushed()

    def carry_out(self, action: WatchRegistry | FetchRegistry) -> None:
        """Start or stop the watch, or fetch the complete list once."""
        match action:
            case WatchRegistry() if action.enabled:
                self.client.start_watch()
            case WatchRegistry():
                self.client.stop_watch()
            case FetchRegistry():
                self.client.fetch()

    def on_response(self, response: RegistryResponse | None) -> None:
        """Apply a response of the registry; None: a call failed."""
        if response is not None:
            kind = RegistryUpdateKind.SNAPSHOT if response.is_complete else RegistryUpdateKind.DELTA
            self.apply(kind, response)
            return
        self._handle_event(RegistryUpdated(RegistryUpdateKind.FAILED))
        if self._mode is DiscoveryMode.PUSHED:
            asyncio.get_running_loop().call_later(_PUSHED_RETRY_DELAY_S, self.client.start_watch)

    def apply(self, kind: RegistryUpdateKind, response: RegistryResponse) -> None:
        """Apply a list to the connection pool and then to the balancer.

        The balancer may send a request to a server as soon as it knows the server, so the pool must have the
        address by then.
        """
        if kind is not RegistryUpdateKind.DELTA:
            self._pool.retain({resolved.endpoint.name for resolved in response.endpoints})
        for resolved in response.endpoints:
            endpoint = resolved.endpoint
            self._pool.update(endpoint.name, resolved.address, endpoint.started_at, endpoint.state)
        endpoints = [resolved.endpoint for resolved in response.endpoints]
        if endpoints:
            endpoints += self._remove_superseded()
        self.on_length_changed(len(self._pool.servers))
        self._handle_event(RegistryUpdated(kind, endpoints, response.version))

    def _remove_superseded(self) -> list[Endpoint]:
        """Remove the servers whose address another one has taken over; return their entries as removed."""
        return [Endpoint(name, state=ServerState.REMOVED) for name in self._pool.remove_superseded()]

    def _watch_if_pushed(self) -> None:
        if self._mode is DiscoveryMode.PUSHED:
            self.client.start_watch()
