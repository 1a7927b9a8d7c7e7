"""The driver of a sidecar: connects its parts, passes events to the balancer and carries out its actions.

It makes no decisions of its own, and awaits nothing between a decision and its effect.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Sequence

from sidecar.balancer.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    FetchRegistry,
    Log,
    RejectRequest,
    SendAttempt,
    SetTimer,
    WatchRegistry,
)
from sidecar.balancer.balancer import Balancer
from sidecar.balancer.events import Event, SettingsChanged, TimerFired
from sidecar.config import Config
from sidecar.proxy.active_requests import ActiveRequests
from sidecar.proxy.addresses import Address
from sidecar.proxy.attempts import AttemptSender
from sidecar.proxy.buffer_budget import BufferBudget
from sidecar.proxy.client_request import ClientRequest
from sidecar.proxy.clock import Clock
from sidecar.proxy.connection_pool import ConnectionPool
from sidecar.proxy.connection_table import ConnectionTable
from sidecar.proxy.endpoint_list import EndpointList
from sidecar.proxy.frontend import Frontend
from sidecar.proxy.health_checks import HealthChecker
from sidecar.proxy.loop_lag import LoopLagMonitor
from sidecar.proxy.memory_layout import DEFAULT_PROGRAM_BYTES, MIB, MemoryLayout
from sidecar.proxy.memory_pressure import MemoryPressure
from sidecar.proxy.request_lifecycle import RequestLifecycle
from sidecar.proxy.shutdown import GracefulShutdown
from sidecar.settings import Settings

log = logging.getLogger(__name__)

# File descriptors for the registry, logs and the runtime; client and server connections share the rest.
RESERVED_DESCRIPTORS = 64


class UnsupportedActionError(TypeError):
    """The balancer requested an action that a sidecar does not support."""

    def __init__(self, action: object) -> None:
        super().__init__(f"unsupported action: {type(action).__name__}")


class Sidecar:
    """One sidecar: a balancer, and the components that talk to clients, servers and the registry.

    Attributes:
        frontend: Accepts the client connections.
    """

    def __init__(self, config: Config, program_bytes: int = DEFAULT_PROGRAM_BYTES) -> None:
        """Open the listening socket.

        Args:
            config: The initial configuration.
            program_bytes: The memory that the process needs without connections and without endpoint list.

        Raises:
            OSError: The listening socket can't be opened.
        """
        self._settings = settings = config.settings
        self._cached_endpoints = config.cached_endpoints
        self._balancer = Balancer(settings, config.seed)
        self._clock = Clock()
        self._events: deque[Event] = deque()
        self._is_processing = False
        self._lag_monitor = LoopLagMonitor()
        self._active = ActiveRequests()
        self._memory_mb = config.memory_mb
        self._program_bytes = program_bytes
        self._max_connections = max((config.sockets - RESERVED_DESCRIPTORS) // 2, 1)
        limits = settings.limits
        layout = self._divide_memory(len(config.cached_endpoints.endpoints))
        if layout.max_connections < self._max_connections:
            log.warning(
                "memory: %d of %d connections fit into %.0f MiB beside a program of %d MiB",
                layout.max_connections,
                self._max_connections,
                config.memory_mb,
                program_bytes // MIB,
            )
        table = ConnectionTable(layout.max_connections)
        self._memory = MemoryPressure(BufferBudget(layout.pool_bytes), table, layout.max_match_bytes)
        self._pool = ConnectionPool(
            limits.dial_timeout_us / 1e6, limits.idle_close_us / 1e6, layout.max_connections, self._memory
        )
        self._endpoint_list = EndpointList(
            config.discovery,
            config.cached_endpoints.version,
            settings.discovery,
            self._pool,
            self.handle_event,
        )
        self._endpoint_list.client.memory = self._memory
        self._endpoint_list.on_length_changed = self._on_list_length_changed
        self._requests = RequestLifecycle(self._active, self._pool, self._clock, self.handle_event)
        self._attempts = AttemptSender(settings, self._requests, self._pool, self._clock, self.handle_event)
        self._health_checks = HealthChecker(settings, self._pool, self._clock, self.handle_event)
        self.frontend = Frontend(config.listen, table, self, settings, self._memory)

    def _divide_memory(self, server_count: int) -> MemoryLayout:
        return MemoryLayout.divide(self._memory_mb, self._program_bytes, self._max_connections, server_count)

    def _on_list_length_changed(self, server_count: int) -> None:
        """Leave memory for the endpoint list."""
        layout = self._divide_memory(server_count)
        self.frontend.table.capacity = layout.max_connections
        self._pool.set_max_connections(layout.max_connections)
        self._memory.set_pool(layout.pool_bytes)

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then shut down gracefully."""
        self._endpoint_list.start(self._cached_endpoints)
        self.frontend.start()
        self._lag_monitor.start()
        await stop.wait()
        await self.drain()
        self._lag_monitor.stop()
        self._endpoint_list.client.stop()
        await self._pool.close()

    async def drain(self) -> None:
        """Shut down gracefully: answer all accepted and newly arriving requests before SIGKILL."""
        await GracefulShutdown(self._settings, self.frontend, self._active, self._requests).run()

    def handle_request(self, request: ClientRequest) -> None:
        """Process a new request; it is answered later."""
        self._requests.handle_request(request)

    def handle_disconnect(self, request: ClientRequest) -> None:
        """Drop a request whose client has disconnected, or that its connection has failed already."""
        self._requests.handle_disconnect(request)

    def is_request_id_in_use(self, request_id: str) -> bool:
        """Return whether a request with this id is in progress, or may have been executed recently."""
        return self._active.is_id_in_use(request_id)

    def is_ready(self) -> bool:
        """Return whether the sidecar is ready for requests."""
        return self._lag_monitor.has_settled and not self.frontend.draining

    def reconfigure(self, old: Config, new: Config) -> None:
        """Apply the difference between two configurations.

        Raises:
            Exception: Any error that the balancer raises on the new settings; then nothing has changed.
        """
        if new.settings != old.settings:
            self.apply_settings(new.settings)
        if new.discovery != old.discovery:
            self.migrate_discovery(new.discovery)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings.

        The limits on descriptors and the listening socket are only set at the start.

        Raises:
            Exception: Any error that the balancer raises on the new settings; then nothing has changed.
        """
        actions = self._balancer.handle(self._clock.now(), SettingsChanged(settings))
        self._settings = settings
        self.frontend.settings = settings
        self._attempts.settings = settings
        self._health_checks.settings = settings
        limits = settings.limits
        self._pool.set_timeouts(limits.dial_timeout_us / 1e6, limits.idle_close_us / 1e6)
        self._process(actions)
        self._endpoint_list.set_mode(settings.discovery)

    def migrate_discovery(self, address: Address) -> None:
        """Migrate to another address of the registry, and fetch the complete list there immediately."""
        log.info("migrating to the registry at %s:%d", *address)
        self._endpoint_list.client.migrate(address)

    def handle_event(self, event: Event) -> None:
        """Process an event and the events that its actions cause, in order.

        An event that arrives while another one is being processed is queued behind it.
        """
        self._events.append(event)
        if not self._is_processing:
            self._process(())

    def _process(self, actions: Sequence[Action]) -> None:
        """Carry out actions, then process the queued events and those that result, in order."""
        self._is_processing = True
        try:
            self._carry_out_all(actions)
            while self._events:
                self._carry_out_all(self._decide(self._events.popleft()))
        finally:
            self._is_processing = False

    def _decide(self, event: Event) -> Sequence[Action]:
        """Return the balancer's actions on an event; an unexpected error fails only the event's request."""
        try:
            return self._balancer.handle(self._clock.now(), event)
        except Exception:
            log.exception("balancer failed to handle event %.200r", event)
            self._requests.abort(getattr(event, "request", None))
            return ()

    def _carry_out_all(self, actions: Sequence[Action]) -> None:
        """Carry out actions in order; an unexpected error in one fails only its request."""
        for action in actions:
            try:
                self.carry_out(action)
            except Exception:
                log.exception("could not carry out action %.200r", action)
                self._requests.abort(getattr(action, "request", None))

    def carry_out(self, action: Action) -> None:
        """Carry out one action.

        Raises:
            UnsupportedActionError: A sidecar does not support the action.
        """
        match action:
            case SendAttempt():
                self._attempts.send(action)
            case SetTimer():
                self._set_timer(action)
            case RejectRequest() | FailRequest():
                self._requests.reject_or_fail(action)
            case CancelAttempt():
                self._attempts.cancel(action)
            case CheckHealth():
                self._health_checks.check(action)
            case CloseIdleConnections():
                self._pool.close_idle(action.server)
            case WatchRegistry() | FetchRegistry():
                self._endpoint_list.carry_out(action)
            case Log():
                log.info("%s", action.text)
            case _:
                raise UnsupportedActionError(action)

    def _set_timer(self, action: SetTimer) -> None:
        fired = TimerFired(action.token)
        asyncio.get_running_loop().call_later(action.delay_us / 1e6, self.handle_event, fired)
