"""A stub sidecar: the real discovery client, balancer and connection pool, without a frontend."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from scale.control.applied_log import AppliedLog
from sidecar.balancer.actions import FetchRegistry, SetTimer, WatchRegistry
from sidecar.balancer.balancer import Balancer
from sidecar.balancer.events import Endpoint, RegistryUpdated, RegistryUpdateKind, ServerState, TimerFired
from sidecar.proxy.addresses import Address
from sidecar.proxy.clock import Clock
from sidecar.proxy.connection_pool import ConnectionPool
from sidecar.proxy.discovery_client import DiscoveryClient
from sidecar.proxy.registry_messages import RegistryResponse
from sidecar.settings import Settings

_MAX_SERVER_CONNECTIONS = 480  # the same as in a real sidecar with a limit of 1,024 file descriptors


def sidecar_settings(zone: str) -> dict[str, Any]:
    """Return the settings of a sidecar, in the format of its configuration file."""
    return {
        "lanes": [{"name": "look", "giveUpUs": 2_000_000, "repeat": "read_like"}],
        "bounds": {"sendCap": 3, "mayCancel": True},
        "discovery": "on_request",
        "zone": zone,
    }


class StubSidecar:
    """A sidecar without a frontend: it watches the registry like a real one, but serves no requests.

    Attributes:
        applied_log: The registry versions that it applied, and when.
        balancer: The balancer, which gets the registry's updates.
    """

    def __init__(self, settings: Settings, seed: int, discovery: Address) -> None:
        self.applied_log = AppliedLog()
        self._clock = Clock()
        self.balancer = Balancer(settings, seed)
        limits = settings.limits
        self._pool = ConnectionPool(
            limits.dial_timeout_us / 1e6, limits.idle_close_us / 1e6, _MAX_SERVER_CONNECTIONS
        )
        self._discovery = DiscoveryClient(discovery, 0, self._on_registry_response)
        self._is_stopped = False

    def start(self) -> None:
        """Start to watch the registry, with an empty cached endpoint list."""
        self._handle(RegistryUpdated(RegistryUpdateKind.CACHED))

    def stop(self) -> None:
        """Abandon all calls to the registry, as a killed process does."""
        self._is_stopped = True
        self._discovery.stop()

    def migrate(self, address: Address) -> None:
        """Migrate to another address of the registry."""
        self._discovery.migrate(address)

    def _on_registry_response(self, response: RegistryResponse | None) -> None:
        if response is None:
            self._handle(RegistryUpdated(RegistryUpdateKind.FAILED))
            return
        is_update = response.is_complete or response.version > self.applied_log.latest_version()
        self._apply(response)
        if is_update:
            self.applied_log.add(response.version, time.monotonic())

    def _apply(self, response: RegistryResponse) -> None:
        """Apply an update in the order of `EndpointList`: first to the connection pool, then the balancer."""
        if response.is_complete:
            self._pool.retain({resolved.endpoint.name for resolved in response.endpoints})
        for resolved in response.endpoints:
            endpoint = resolved.endpoint
            self._pool.update(endpoint.name, resolved.address, endpoint.started_at, endpoint.state)
        servers = [resolved.endpoint for resolved in response.endpoints]
        servers += [Endpoint(name, state=ServerState.REMOVED) for name in self._pool.remove_superseded()]
        kind = RegistryUpdateKind.SNAPSHOT if response.is_complete else RegistryUpdateKind.DELTA
        self._handle(RegistryUpdated(kind, servers, response.version))

    def _handle(self, event: RegistryUpdated | TimerFired) -> None:
        if self._is_stopped:
            return
        for action in self.balancer.handle(self._clock.now(), event):
            match action:
                case SetTimer():
                    loop = asyncio.get_running_loop()
                    loop.call_later(action.delay_us / 1e6, self._handle, TimerFired(action.token))
                case WatchRegistry():
                    self._set_watch_enabled(action.enabled)
                case FetchRegistry():
                    self._discovery.fetch()

    def _set_watch_enabled(self, enabled: bool) -> None:
        if enabled:
            self._discovery.start_watch()
        else:
            self._discovery.stop_watch()
