"""The registry stand-in: serves the registry protocol over HTTP/1.1 on loopback to thousands of sidecars.

It serves all calls on one event loop.  Several listeners share one registry, so that sidecars can migrate
from one address to another, and so that some sidecars can be partitioned while the others are served.
"""

from __future__ import annotations

import asyncio

from scale.http_client import Address
from scale.standins.change_log import ChangeLog
from scale.standins.registry_connection import (
    Listener,
    ListenerTraffic,
    ObservedCall,
    RegistryConnection,
)
from scale.standins.registry_state import Availability, RegistryCounters, RegistryState

_BACKLOG = 4_096


class RegistryServer:
    """Serves one change log at one or more addresses."""

    def __init__(self, change_log: ChangeLog) -> None:
        self._state = RegistryState(change_log)
        self._listeners: list[Listener] = []

    @property
    def change_log(self) -> ChangeLog:
        """The log of the endpoints and their changes."""
        return self._state.change_log

    @property
    def counters(self) -> RegistryCounters:
        """The counters since the registry's start."""
        return self._state.counters

    def set_availability(self, availability: Availability) -> None:
        """Set whether and how calls are served; pending watches end unless the registry is up."""
        self._state.set_availability(availability)

    async def start(self, listeners: int = 1, observed_listeners: int = 0) -> list[Address]:
        """Listen on loopback, at ports chosen by the kernel.

        Args:
            listeners: The number of addresses to listen at.
            observed_listeners: How many of the listeners, the last ones, record their calls.  If only one
                sidecar uses such an address, the calls show which version it had applied, and when.

        Returns:
            The addresses of all listeners.
        """
        for index in range(listeners):
            await self._listen(index >= listeners - observed_listeners)
        return [listener.address for listener in self._listeners]

    async def _listen(self, records_calls: bool) -> None:
        loop = asyncio.get_running_loop()
        created: list[Listener] = []  # holds the listener before the first connection is accepted

        def new_connection() -> RegistryConnection:
            return RegistryConnection(self._state, created[0])

        server = await loop.create_server(
            new_connection, "127.0.0.1", 0, backlog=_BACKLOG, start_serving=False
        )
        host, port = server.sockets[0].getsockname()
        created.append(Listener(server, (host, port), observed_calls=[] if records_calls else None))
        self._listeners.append(created[0])
        await server.start_serving()

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        for listener in self._listeners:
            listener.server.close()
            for connection in list(listener.connections):
                connection.abort()
            await listener.server.wait_closed()
        self._listeners.clear()

    def observed_calls(self, listener: int) -> list[ObservedCall]:
        """Return the calls recorded at a listener, the oldest first; empty if it does not record them."""
        return list(self._listeners[listener].observed_calls or ())

    def traffic(self, listener: int) -> ListenerTraffic:
        """Return the traffic of a listener since the start."""
        return self._listeners[listener].traffic

    def set_partitioned(self, listener: int, partitioned: bool) -> None:
        """Start or end a network partition between the callers of a listener and the registry.

        During the partition the connections stay open, but calls that arrive on them are discarded and
        pending calls get no response.  At its end the connections are reset, as by a machine that is
        reachable again.  Unlike in a real partition, the kernel still accepts new connections.
        """
        target = self._listeners[listener]
        if target.is_partitioned and not partitioned:
            for connection in list(target.connections):
                connection.abort()
        target.is_partitioned = partitioned

    def blackhole_connections(self) -> None:
        """Permanently ignore all open connections, as after a failover of the address to another machine."""
        for listener in self._listeners:
            for connection in listener.connections:
                connection.is_blackholed = True
