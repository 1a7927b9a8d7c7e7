"""Opens connections to servers, within a limit on their number."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from functools import partial

from sidecar.balancer.events import Outcome
from sidecar.proxy import sockets
from sidecar.proxy.dialing import LocalDialError, open_socket, retry_backoff
from sidecar.proxy.exchange import Exchange
from sidecar.proxy.memory_pressure import MemoryPressure
from sidecar.proxy.pooled_servers import ServerTable
from sidecar.proxy.server_connection import ServerConnection, connect

log = logging.getLogger(__name__)

MAX_RESPONSE_BODY_BYTES = 64 * 1024  # the limit of the protocol between clients and servers


class ConnectionDialer:
    """Opens connections for exchanges.

    Attributes:
        dial_timeout_s: Seconds that a dial may take, retries included.
        open_connections: Count of connections and of dials in progress.
        max_connections: Limit on that count.
    """

    def __init__(
        self,
        servers: ServerTable,
        dial_timeout_s: float,
        max_connections: int,
        on_connected: Callable[[Exchange, ServerConnection], None],
        memory: MemoryPressure | None = None,
    ) -> None:
        """Create a dialer without connections.

        Args:
            servers: The servers, whose idle connections may be closed when the limit is reached.
            dial_timeout_s: Seconds that a dial may take, retries included.
            max_connections: Limit on the number of connections and of dials in progress.
            on_connected: Called with an exchange that has not ended, and its new connection.
            memory: Keeps the data of all connections within a limit; None: there is none.
        """
        self.dial_timeout_s = dial_timeout_s
        self.open_connections = 0
        self._servers = servers
        self.max_connections = max_connections
        self._on_connected = on_connected
        self._memory = memory

    def is_at_limit(self) -> bool:
        """Return whether another connection can be opened only after one has been closed."""
        return self.open_connections >= self.max_connections

    def start(self, exchange: Exchange) -> bool:
        """Start the dial of an exchange.

        Returns:
            False if the limit is reached and no idle connection can be closed; nothing has been started.
        """
        if self.is_at_limit() and not self._close_one_idle():
            return False
        self.open_connections += 1
        exchange.server.dialing_exchanges.add(exchange)
        exchange.dial_task = asyncio.get_running_loop().create_task(self._dial(exchange))
        exchange.dial_task.add_done_callback(self._on_dial_done)
        return True

    def _close_one_idle(self) -> bool:
        """Close the longest idle connection of the server that has the most idle connections.

        Returns:
            False if no server has an idle connection.
        """
        while servers := [server for server in self._servers.values() if server.idle_connections]:
            fullest = max(servers, key=lambda server: len(server.idle_connections))
            idle = fullest.idle_connections.pop(0)
            idle.close_timer.cancel()
            if idle.connection.is_reusable:  # otherwise it is closed already and no longer counted
                idle.connection.abort()
                return True
        return False

    async def _dial(self, exchange: Exchange) -> bool:
        """Dial for an exchange; return whether a connection was opened."""
        loop = asyncio.get_running_loop()
        exchange.timers.append(loop.call_later(self.dial_timeout_s, exchange.on_dial_timeout))
        try:
            connection = await self._connect(exchange)
            connection.memory = self._memory
        except (OSError, UnicodeError) as error:  # UnicodeError: the host name is invalid
            log.debug("dial of %s failed: %r", exchange.server.name, error)
            exchange.end(Outcome.CONNECT_FAILED)
            return False
        connection.on_lost = self._on_connection_lost
        if exchange.has_ended():
            connection.abort()
        else:
            self._on_connected(exchange, connection)
        return True

    async def _connect(self, exchange: Exchange) -> ServerConnection:
        """Connect, with retries after local failures, until a timer of the exchange cancels the dial."""
        address = exchange.server.address
        backoff = retry_backoff()
        while True:
            try:
                sock = open_socket(partial(sockets.new_socket, address))
                exchange.connecting_socket = sock
                # From its first byte on, a response may take as long as a dial.
                return await connect(address, MAX_RESPONSE_BODY_BYTES, self.dial_timeout_s, sock)
            except LocalDialError as error:
                log.debug("dial of %s failed on this machine and is retried: %r", exchange.server.name, error)
                exchange.has_local_failure = True
                exchange.connecting_socket = None
                await asyncio.sleep(next(backoff))

    def _on_dial_done(self, dial: asyncio.Task[bool]) -> None:
        """Stop counting a dial that opened no connection; an opened connection counts until it is lost."""
        if dial.cancelled() or not dial.result():
            self._on_connection_lost()

    def _on_connection_lost(self) -> None:
        self.open_connections -= 1
