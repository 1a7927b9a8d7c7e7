"""Idle connections: where they have a price, they are closed once they cost more than opening new ones."""

from sidecar.balancer.actions import CloseIdleConnections
from sidecar.balancer.policy.latency_by_load import LatencyByLoad
from sidecar.balancer.state import Context, DecayingRate, Server
from sidecar.balancer.state.timers import IdleCloseDue

# `prices.connection` is the price of this many open connections to a server.
CONNECTIONS_PER_PRICE_UNIT = 100.0
MIN_REQUEST_RATE_PER_US = 1e-9  # avoids a division by zero


class IdleConnections:
    """Estimates the idle connections of this balancer to each server, and closes those that cost too much."""

    def __init__(self, context: Context, arrivals: DecayingRate, latency_by_load: LatencyByLoad) -> None:
        """Create the policy; no connection is open yet.

        Args:
            context: The shared state of the balancer.
            arrivals: The rate of requests that arrive at this balancer.
            latency_by_load: Relates the latency ratio of responses to the load that servers reported.
        """
        self._context = context
        self._arrivals = arrivals
        self._latency_by_load = latency_by_load

    def has_idle_connection(self, server: Server) -> bool:
        """Whether an idle connection to the server is likely to be open."""
        idle_us = self._context.now - server.idle_since
        return server.idle_connections > 0 and idle_us < self._context.settings.limits.idle_close_us

    def add(self, server: Server) -> None:
        """Count a connection that became idle, and schedule closing it once it costs more than a new one.

        Otherwise many small balancers would each hold a few connections that are rarely used, which reduces
        the server's capacity.

        Args:
            server: The server of the connection.
        """
        server.idle_connections = server.idle_connections + 1 if self.has_idle_connection(server) else 1
        server.idle_since = self._context.now
        limits = self._context.settings.limits
        if self._context.settings.prices.connection <= 0.0 or limits.streams_per_connection > 1:
            return
        break_even_us = self._break_even_us()
        if break_even_us < limits.idle_close_us:
            server.idle_close_due = self._context.now + int(break_even_us) + 1
            self._context.timers.add(server.idle_close_due, IdleCloseDue(server))

    def close_due(self, server: Server) -> int | None:
        """When the idle connections to a server should be closed, in microseconds; None if there are none."""
        if server.idle_connections <= 0 or not self._context.registry.contains(server):
            return None
        return server.idle_close_due

    def close(self, server: Server) -> None:
        """Close the idle connections to a server."""
        server.idle_connections = 0
        self._context.actions.append(CloseIdleConnections(server.name))

    def _break_even_us(self) -> float:
        """How long it takes, in microseconds, until holding a connection has cost as much as a new one.

        The price of a connection is charged for each request that its server receives during that time.
        """
        prices = self._context.settings.prices
        requests = CONNECTIONS_PER_PRICE_UNIT * prices.handshake / prices.connection
        return requests / max(self._server_request_rate(), MIN_REQUEST_RATE_PER_US)

    def _server_request_rate(self) -> float:
        """The requests per microsecond that a server receives from all balancers."""
        load_per_latency_ratio = self._latency_by_load.load_per_latency_ratio()
        if load_per_latency_ratio is not None:  # by Little's law, the rate is the load divided by the latency
            return load_per_latency_ratio / self._context.longest_target_us
        all_arrivals = self._arrivals.per_us(self._context.now) * self._context.settings.sidecar_count
        return all_arrivals / max(len(self._context.registry.ready), 1)
