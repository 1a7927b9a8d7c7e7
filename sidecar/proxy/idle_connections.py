"""Reuse of connections: which idle one carries the next request, and how long idle ones are kept."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from sidecar.proxy.idle_lifetimes import IdleLifetimeEstimator
from sidecar.proxy.pooled_servers import IdleConnection, PooledServer
from sidecar.proxy.server_connection import ServerConnection

_REUSE_DELAY_FRACTION = 0.12  # of the dial timeout
_CLOSE_MARGIN_FRACTION = 0.1  # of the servers' idle timeout: connections are closed that much earlier here


@dataclass(slots=True)
class ReusedConnection:
    """An idle connection that is to carry a request.

    Attributes:
        connection: The connection.
        idle_s: Seconds that it has been idle.
    """

    connection: ServerConnection
    idle_s: float


class IdleConnections:
    """Keeps idle connections and picks the ones that are reused.

    Attributes:
        reuse_delay_s: Seconds after a response during which its connection is not reused.  A close or further
            bytes that the server sends after the response may be in flight for that long.  A request that is
            written in the meantime may run and its response be lost, or it may get the response to another
            request.
    """

    def __init__(self, dial_timeout_s: float, idle_timeout_s: float) -> None:
        """Derive the reuse delay and the maximum idle time from the timeouts.

        Args:
            dial_timeout_s: Seconds that a dial may take.
            idle_timeout_s: Seconds after which servers close an idle connection.
        """
        self._lifetimes = IdleLifetimeEstimator(idle_timeout_s)
        self._max_idle_s = (1.0 - _CLOSE_MARGIN_FRACTION) * idle_timeout_s
        self.reuse_delay_s = _REUSE_DELAY_FRACTION * dial_timeout_s

    def set_timeouts(
        self, servers: Iterable[PooledServer], dial_timeout_s: float, idle_timeout_s: float
    ) -> None:
        """Change the timeouts, also for connections that are idle now.

        Their idle time still counts from when they became idle, as it does at their servers.
        """
        former_max_idle_s = self._max_idle_s
        self._max_idle_s = (1.0 - _CLOSE_MARGIN_FRACTION) * idle_timeout_s
        self.reuse_delay_s = _REUSE_DELAY_FRACTION * dial_timeout_s
        self._lifetimes.set_time_constant(idle_timeout_s)
        if self._max_idle_s == former_max_idle_s:
            return
        for server in servers:
            for idle in server.idle_connections:
                idle.close_timer.cancel()
                idle_since = idle.close_timer.when() - former_max_idle_s
                idle.close_timer = self._schedule_close(server, idle.connection, idle_since)

    def keep(self, server: PooledServer, connection: ServerConnection) -> None:
        """Keep a connection whose request has just ended."""
        now = asyncio.get_running_loop().time()
        timer = self._schedule_close(server, connection, idle_since=now)
        server.idle_connections.append(IdleConnection(connection, timer))

    def take(self, server: PooledServer, *, accept_untrusted: bool) -> ReusedConnection | None:
        """Take the most recently used connection that may be reused; close those that may not.

        Args:
            server: The server whose connections are examined.
            accept_untrusted: Whether to take a connection even if it has been idle for longer than idle
                connections are expected to last.

        Returns:
            The connection, or None if there is none.
        """
        now = asyncio.get_running_loop().time()
        for index in reversed(range(len(server.idle_connections))):
            idle = server.idle_connections[index]
            idle_s = now + self._max_idle_s - idle.close_timer.when()
            if idle_s < self.reuse_delay_s:
                continue
            del server.idle_connections[index]
            idle.close_timer.cancel()
            if idle.connection.is_idle() and (accept_untrusted or self._lifetimes.is_trusted(idle_s, now)):
                return ReusedConnection(idle.connection, idle_s)
            idle.connection.abort()
        return None

    def record_request(self, idle_s: float | None, has_failed: bool) -> None:
        """Update the estimate of idle lifetimes with the result of a request.

        Args:
            idle_s: Seconds that its connection had been idle; None: it was new.
            has_failed: Whether the connection broke on the request.
        """
        self._lifetimes.record(idle_s, has_failed)

    def _schedule_close(
        self, server: PooledServer, connection: ServerConnection, idle_since: float
    ) -> asyncio.TimerHandle:
        close_at = idle_since + self._max_idle_s
        return asyncio.get_running_loop().call_at(close_at, self._on_idle_timeout, server, connection)

    @staticmethod
    def _on_idle_timeout(server: PooledServer, connection: ServerConnection) -> None:
        server.idle_connections = [
            idle for idle in server.idle_connections if idle.connection is not connection
        ]
        connection.abort()
