"""A stand-in for discovery: the registry's protocol over HTTP/1.1 on loopback, for thousands of watchers.

It answers calls in turn on one event loop.  Several listeners show one registry, so that sidecars can be
moved from one address to another, and some of them be cut off while the others go on.
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
from scale.standins.registry_state import Availability, RegistryCounts, RegistryState

_BACKLOG = 4_096


class RegistryServer:
    """Serves one change log at one or more addresses."""

    def __init__(self, change_log: ChangeLog) -> None:
        self._state = RegistryState(change_log)
        self._listeners: list[Listener] = []

    @property
    def change_log(self) -> ChangeLog:
        """The endpoints and their changes."""
        return self._state.change_log

    @property
    def counts(self) -> RegistryCounts:
        """What the registry has done since its start."""
        return self._state.counts

    def set_availability(self, availability: Availability) -> None:
        """Go down, become overloaded or come back; watches end unless the registry is up."""
        self._state.set_availability(availability)

    async def start(self, listeners: int = 1, observed: int = 0) -> list[Address]:
        """Listen on loopback at ports picked by the kernel, and return the addresses.

        The calls at the last `observed` of the listeners are noted: where one sidecar alone uses such an
        address, they tell when it held which version.
        """
        for index in range(listeners):
            await self._listen(index >= listeners - observed)
        return [listener.address for listener in self._listeners]

    async def _listen(self, observed: bool) -> None:
        loop = asyncio.get_running_loop()
        accepted: list[Listener] = []  # filled before the loop can accept anything

        def new_connection() -> RegistryConnection:
            return RegistryConnection(self._state, accepted[0])

        server = await loop.create_server(
            new_connection, "127.0.0.1", 0, backlog=_BACKLOG, start_serving=False
        )
        host, port = server.sockets[0].getsockname()
        accepted.append(Listener(server, (host, port), observed=[] if observed else None))
        self._listeners.append(accepted[0])
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
        """The calls noted at a listener, the oldest first; empty where none are noted."""
        return list(self._listeners[listener].observed or ())

    def traffic(self, listener: int) -> ListenerTraffic:
        """What went through a listener since the start."""
        return self._listeners[listener].traffic

    def set_partitioned(self, listener: int, partitioned: bool) -> None:
        """Cut off those who come by a listener, or end that.

        Its connections stay open and nothing more is read or written on them; they are reset at the end, as
        by a machine that is back.  Unlike on a network, new connections come up here: the kernel accepts
        them.
        """
        chosen = self._listeners[listener]
        if chosen.partitioned and not partitioned:
            for connection in list(chosen.connections):
                connection.abort()
        chosen.partitioned = partitioned

    def blackhole_connections(self) -> None:
        """Let all open connections fall silent for good, as where another machine takes an address over."""
        for listener in self._listeners:
            for connection in listener.connections:
                connection.blackholed = True
