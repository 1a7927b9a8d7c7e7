"""Connections to servers: sends attempts and health checks over pooled connections.

The sidecar uses no HTTP client library.  It controls every connection and every byte itself, so that nothing
is resent silently, and that it is known whether the last byte of a request has been written.  Only then can
the server have started the request.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Collection
from functools import partial

from sidecar.balancer.events import Outcome, ServerState
from sidecar.proxy.addresses import Address
from sidecar.proxy.connection_dialer import ConnectionDialer
from sidecar.proxy.exchange import (
    EncodedRequest,
    Exchange,
    OutcomeCallback,
    RequestEncoder,
    classify_outcome,
)
from sidecar.proxy.http_messages import Response, encode_message
from sidecar.proxy.idle_connections import IdleConnections
from sidecar.proxy.memory_pressure import MemoryPressure
from sidecar.proxy.pooled_servers import ServerTable
from sidecar.proxy.server_connection import ServerConnection

log = logging.getLogger(__name__)

_HEALTH_CHECK_TIMEOUT_MULTIPLE = 4.0  # of the dial timeout


class ConnectionPool:
    """All connections to servers, within a limit on their number.

    Attributes:
        servers: The servers of the endpoint list, by name.
    """

    def __init__(
        self,
        dial_timeout_s: float,
        idle_timeout_s: float,
        max_connections: int,
        memory: MemoryPressure | None = None,
    ) -> None:
        """Create a pool without servers.

        Args:
            dial_timeout_s: Seconds that a dial may take.
            idle_timeout_s: Seconds after which servers close an idle connection.
            max_connections: Limit on the number of connections and of dials in progress.
            memory: Keeps the data of all connections within a limit; None: there is none.
        """
        self.servers = ServerTable()
        self._idle_connections = IdleConnections(dial_timeout_s, idle_timeout_s)
        self._dialer = ConnectionDialer(self.servers, dial_timeout_s, max_connections, self._write, memory)

    @property
    def open_connections(self) -> int:
        """Count of connections and of dials in progress."""
        return self._dialer.open_connections

    def set_max_connections(self, max_connections: int) -> None:
        """Put another limit on connections and dials into force; those that are open stay open."""
        self._dialer.max_connections = max_connections

    def set_timeouts(self, dial_timeout_s: float, idle_timeout_s: float) -> None:
        """Put other timeouts, in seconds, into force; dials in progress keep theirs."""
        self._dialer.dial_timeout_s = dial_timeout_s
        self._idle_connections.set_timeouts(self.servers.values(), dial_timeout_s, idle_timeout_s)

    # -- The endpoint list ----------------------------------------------------------------------------

    def update(self, name: str, address: Address | None, started_at: int | None, state: ServerState) -> None:
        """Apply an entry of the endpoint list; see `ServerTable.update`."""
        self.servers.update(name, address, started_at, state)

    def retain(self, names: Collection[str]) -> None:
        """Remove all servers except those named."""
        self.servers.retain(names)

    def remove_superseded(self) -> list[str]:
        """Remove the servers whose address another one has taken over since; return their names."""
        return self.servers.remove_superseded()

    def close_idle(self, name: str) -> None:
        """Close the idle connections of a server, if there is one of this name."""
        server = self.servers.get(name)
        if server is not None:
            server.close_idle()

    # -- Exchanges ------------------------------------------------------------------------------------

    def send(
        self, name: str, encoder: RequestEncoder, deadline: float, on_outcome: OutcomeCallback
    ) -> Exchange:
        """Start the exchange of an attempt or a health check.

        Args:
            name: Name of the server, which the endpoint list must hold.
            encoder: Encodes the request.
            deadline: Event loop time at which the exchange ends in any case.
            on_outcome: Called exactly once with the outcome, possibly before this method returns.

        Returns:
            The exchange, which may have ended already.

        Raises:
            KeyError: There is no such server.
        """
        server = self.servers[name]
        loop = asyncio.get_running_loop()
        exchange = Exchange(server, encoder, deadline, on_outcome)
        if deadline <= loop.time() or server.state is not ServerState.READY:
            # If the server is not ready, the balancer is about to be notified of that.
            exchange.end(Outcome.NOT_SENT)
            return exchange
        exchange.timers.append(loop.call_at(deadline, exchange.on_deadline))
        self._start(exchange)
        return exchange

    def check_health(self, name: str, target: str, on_outcome: OutcomeCallback) -> Exchange:
        """Start a health check.

        Args:
            name: Name of the server, which the endpoint list must hold.
            target: Path of the request.
            on_outcome: Called exactly once with the outcome, possibly before this method returns.

        Returns:
            The exchange of the health check, which may have ended already.

        Raises:
            KeyError: There is no such server.
        """
        request = encode_message(b"GET %b HTTP/1.1" % target.encode(), [(b"Host", name.encode())])
        timeout_s = _HEALTH_CHECK_TIMEOUT_MULTIPLE * self._dialer.dial_timeout_s
        deadline = asyncio.get_running_loop().time() + timeout_s
        return self.send(name, EncodedRequest(request), deadline, on_outcome)

    def cancel(self, exchange: Exchange) -> None:
        """End an exchange, whatever its progress."""
        exchange.end(Outcome.CANCELLED)

    def abandon_if_unwritten(self, exchange: Exchange) -> None:
        """End an exchange if its request has not been written completely; the rest is never written."""
        if not exchange.is_request_written():
            exchange.end(Outcome.NOT_SENT)

    async def close(self) -> None:
        """Close idle connections, end the dials in progress and wait for them."""
        dialing = [exchange for server in self.servers.values() for exchange in server.dialing_exchanges]
        dials = [exchange.dial_task for exchange in dialing if exchange.dial_task is not None]
        for server in list(self.servers.values()):
            server.close_idle_and_end_dials()
        await asyncio.gather(*dials, return_exceptions=True)

    def _start(self, exchange: Exchange) -> None:
        """Write the request to an idle connection, or dial."""
        # At the connection limit, any idle connection is better than none.
        reused = self._idle_connections.take(exchange.server, accept_untrusted=self._dialer.is_at_limit())
        if reused is not None:
            exchange.idle_s = reused.idle_s
            self._write(exchange, reused.connection)
        elif not self._dialer.start(exchange):
            log.warning("connection limit reached, no connection to %s", exchange.server.name)
            exchange.end(Outcome.CONNECT_FAILED)

    def _write(self, exchange: Exchange, connection: ServerConnection) -> None:
        """Write the request of an exchange to its connection, if it is still wanted."""
        exchange.dial_task = None
        exchange.server.dialing_exchanges.discard(exchange)
        now = asyncio.get_running_loop().time()
        data = exchange.encode_request(now)
        if data is None:
            self._release_unused(exchange, connection)
            exchange.end(Outcome.NOT_SENT)
            return
        exchange.connection = connection
        exchange.write_started_at = now
        on_response = partial(self._on_response, exchange, connection)
        connection.request(data, on_response, exchange.check_still_wanted)

    def _on_response(
        self, exchange: Exchange, connection: ServerConnection, response: Response | None
    ) -> None:
        self._release(exchange, connection)
        outcome = classify_outcome(response, connection.is_request_written, connection.has_protocol_error)
        if outcome is Outcome.CONNECT_FAILED and connection.has_local_failure:
            outcome = Outcome.NOT_SENT  # the server did not cause the failure
        if not exchange.has_ended():  # otherwise this side closed the connection
            self._record_request(exchange, outcome)
        exchange.end(outcome, response)

    def _record_request(self, exchange: Exchange, outcome: Outcome) -> None:
        """Record whether the connection may have failed because it had been idle.

        A connection that the peer or the network dropped while it was idle fails at once.  If it fails later,
        the cause is a failure of the server.
        """
        elapsed_s = asyncio.get_running_loop().time() - exchange.write_started_at
        has_failed = outcome is Outcome.RESET and elapsed_s < self._dialer.dial_timeout_s
        self._idle_connections.record_request(exchange.idle_s, has_failed)

    def _release(self, exchange: Exchange, connection: ServerConnection) -> None:
        """Keep a connection for the next request, or close it if it can't be reused."""
        if not connection.is_reusable:
            return
        if exchange.server.may_reuse(exchange.generation):
            self._idle_connections.keep(exchange.server, connection)
        else:
            connection.abort()

    def _release_unused(self, exchange: Exchange, connection: ServerConnection) -> None:
        """Keep a new connection that no request was written to; close one that had been idle before.

        The server continues to count the idle time of the latter, so the count must not restart here.
        """
        if exchange.idle_s is None:
            self._release(exchange, connection)
        else:
            connection.abort()
