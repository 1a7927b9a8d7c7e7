"""The endpoint list: follows the registry, and passes the list to the connection pools and the balancer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sidecar.balancer.actions import FetchRegistry, WatchRegistry
from sidecar.balancer.events import Endpoint, Event, RegistryUpdated, RegistryUpdateKind, ServerState
from sidecar.proxy.addresses import Address
from sidecar.proxy.connection_pool import ConnectionPool
from sidecar.proxy.discovery import Discovery
from sidecar.proxy.registry_messages import RegistryResponse
from sidecar.settings import Discovery as DiscoveryMode

_PUSHED_RETRY_S = 0.5  # before a failed call to the agent that holds pushed lists is made again


class EndpointList:
    """Keeps the connection pools and the balancer up to date with the registry's endpoint list.

    In pushed mode it watches by itself; else the balancer decides when to watch and to fetch.

    Attributes:
        client: The client of the registry.
    """

    def __init__(
        self,
        address: Address,
        version: int,
        mode: DiscoveryMode,
        upstream: ConnectionPool,
        handle: Callable[[Event], None],
    ) -> None:
        self.client = Discovery(address, version, self.on_response)
        self._mode = mode
        self._upstream = upstream
        self._handle = handle

    def start(self, cached: RegistryResponse) -> None:
        """Start with the list that was cached before a restart."""
        self.apply(RegistryUpdateKind.CACHED, cached)
        self._watch_if_pushed()

    def set_mode(self, mode: DiscoveryMode) -> None:
        """Change whether lists are pushed."""
        self._mode = mode
        self._watch_if_pushed()

    def carry_out(self, action: WatchRegistry | FetchRegistry) -> None:
        """Watch the registry, stop to do so, or fetch the complete list once."""
        match action:
            case WatchRegistry():
                self.client.follow(action.wanted)
            case FetchRegistry():
                self.client.fetch()

    def on_response(self, response: RegistryResponse | None) -> None:
        """Apply a response of the registry; None: a call failed."""
        if response is not None:
            kind = RegistryUpdateKind.SNAPSHOT if response.complete else RegistryUpdateKind.DELTA
            self.apply(kind, response)
            return
        self._handle(RegistryUpdated(RegistryUpdateKind.FAILED))
        if self._mode is DiscoveryMode.PUSHED:
            asyncio.get_running_loop().call_later(_PUSHED_RETRY_S, self.client.follow, True)

    def apply(self, kind: RegistryUpdateKind, response: RegistryResponse) -> None:
        """Apply a list: addresses first, as the balancer may send to a server once it knows of it."""
        if kind is not RegistryUpdateKind.DELTA:
            self._upstream.retain({line.server.server for line in response.lines})
        for line in response.lines:
            server = line.server
            self._upstream.update(server.server, line.address, server.started_at, server.state)
        servers = [line.server for line in response.lines]
        if servers:
            servers += [
                Endpoint(name, state=ServerState.REMOVED) for name in self._upstream.remove_superseded()
            ]
        self._handle(RegistryUpdated(kind, servers, response.version))

    def _watch_if_pushed(self) -> None:
        if self._mode is DiscoveryMode.PUSHED:
            self.client.follow(True)
