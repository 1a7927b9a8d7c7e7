"""The servers of the endpoint list, each with its idle connections and its dials in progress."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field

from sidecar.balancer.events import Outcome, ServerState
from sidecar.proxy.addresses import Address
from sidecar.proxy.exchange import Exchange
from sidecar.proxy.server_connection import ServerConnection

_UNKNOWN_ADDRESS: Address = ("127.0.0.1", 0)  # of a server that gets no new requests anyway


@dataclass(slots=True, eq=False)
class IdleConnection:
    """A connection without a request in flight.

    Attributes:
        connection: The connection.
        close_timer: Closes it when it has been idle for too long.
    """

    connection: ServerConnection
    close_timer: asyncio.TimerHandle

    def close(self) -> None:
        """Close the connection."""
        self.close_timer.cancel()
        self.connection.abort()


@dataclass(slots=True, eq=False)
class PooledServer:
    """A server with its idle connections and its dials in progress.

    Attributes:
        name: Name of the server.
        address: Where it listens.
        started_at: When its process started, according to discovery, in microseconds of Unix time; None: long
            ago.
        state: Its state in the endpoint list.
        generation: Counts changes of its process or address; older connections are not reused.
        idle_connections: Its idle connections, the longest idle first; the limit on all connections bounds
            them.
        dialing_exchanges: The exchanges that are waiting for a new connection to it.
    """

    name: str
    address: Address
    started_at: int | None
    state: ServerState
    generation: int = 0
    idle_connections: list[IdleConnection] = field(default_factory=list)
    dialing_exchanges: set[Exchange] = field(default_factory=set)

    def may_reuse(self, generation: int) -> bool:
        """Return whether a connection of a generation may carry another request."""
        return generation == self.generation and self.state is ServerState.READY

    def close_idle(self) -> None:
        """Close its idle connections."""
        while self.idle_connections:
            self.idle_connections.pop().close()

    def close_idle_and_end_dials(self, outcome: Outcome = Outcome.CONNECT_FAILED) -> None:
        """Close its idle connections and end the exchanges that wait for a new one.

        Guards against a slow dial that would write its request after a draining server has stopped.

        Args:
            outcome: The outcome of these exchanges.
        """
        self.close_idle()
        for exchange in list(self.dialing_exchanges):
            exchange.end(outcome)

    def replace_process(self, address: Address, started_at: int | None) -> None:
        """Adopt the address and start time of a new process; older connections are not reused."""
        has_new_address = self.address != address
        self.address = address
        self.started_at = started_at
        self.generation += 1
        self.close_idle()
        if has_new_address:
            # Another server may listen at the old address now.
            self.close_idle_and_end_dials(Outcome.NOT_SENT)


class ServerTable(Mapping[str, PooledServer]):
    """The servers of the endpoint list, by name."""

    def __init__(self) -> None:
        """Create a table without servers."""
        self._servers: dict[str, PooledServer] = {}

    def __getitem__(self, name: str) -> PooledServer:
        return self._servers[name]

    def __iter__(self) -> Iterator[str]:
        return iter(self._servers)

    def __len__(self) -> int:
        return len(self._servers)

    def update(self, name: str, address: Address | None, started_at: int | None, state: ServerState) -> None:
        """Apply an entry of the endpoint list.

        Args:
            name: Name of the server.
            address: The address that it listens on; None: unchanged.
            started_at: When its process started, in microseconds of Unix time; None: long ago.
            state: Its state; a removed server is deleted, and requests already written to it stay in flight.
        """
        server = self._servers.get(name)
        if server is None:
            if state is not ServerState.REMOVED:
                self._servers[name] = PooledServer(name, address or _UNKNOWN_ADDRESS, started_at, state)
            return
        address = address or server.address
        if (server.address, server.started_at) != (address, started_at):
            server.replace_process(address, started_at)
        server.state = state
        if state is not ServerState.READY:
            server.close_idle_and_end_dials()
        if state is ServerState.REMOVED:
            del self._servers[name]

    def retain(self, names: Collection[str]) -> None:
        """Remove all servers except those named."""
        for name in [name for name in self._servers if name not in names]:
            self._remove(name)

    def remove_superseded(self) -> list[str]:
        """Remove each server whose address is now that of another server, with a process that started later.

        Returns:
            The names of the servers that were removed.
        """
        latest: dict[Address, PooledServer] = {}
        superseded = []
        for server in self._servers.values():
            if server.address == _UNKNOWN_ADDRESS:
                continue
            other = latest.setdefault(server.address, server)
            older, newer = sorted((other, server), key=_start_time)
            if _start_time(older) < _start_time(newer):
                superseded.append(older.name)
            latest[server.address] = newer
        for name in superseded:
            self._remove(name)
        return superseded

    def _remove(self, name: str) -> None:
        self.update(name, None, None, ServerState.REMOVED)


def _start_time(server: PooledServer) -> int:
    return server.started_at or 0
