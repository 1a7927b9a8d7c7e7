"""Idle connections: where they are priced, those are closed that cost more than opening new ones."""

from sidecar.balancer.actions import CloseIdleConnections
from sidecar.balancer.state import Context, DecayingRate, LinearFit, Server
from sidecar.balancer.state.timers import IdleCloseDue


class IdleConnections:
    """This balancer's own reckoning of the idle connections to each server."""

    def __init__(self, context: Context, arrivals: DecayingRate, latency_by_load: LinearFit) -> None:
        self._context = context
        self._arrivals = arrivals
        self._latency_by_load = latency_by_load

    def is_open(self, server: Server) -> bool:
        """Whether an idle connection is likely to be open still."""
        idle_us = self._context.now - server.idle_since
        return server.idle_connections > 0 and idle_us < self._context.settings.limits.idle_close_us

    def add(self, server: Server) -> None:
        """A connection is idle; close it once holding it has cost as much as opening one.

        Else many small balancers each hold a few connections hardly used, which take of a server's capacity.
        """
        prices, limits = self._context.settings.prices, self._context.settings.limits
        server.idle_connections = server.idle_connections + 1 if self.is_open(server) else 1
        server.idle_since = self._context.now
        if prices.connection <= 0.0 or limits.streams_per_connection > 1:
            return
        # A connection costs its price a hundredth part a request that a server gets meanwhile.
        worth_holding_us = 100.0 * prices.handshake / prices.connection / max(self._server_rate(), 1e-9)
        if worth_holding_us < limits.idle_close_us:
            server.idle_close_due = self._context.now + int(worth_holding_us) + 1
            self._context.timers.add(server.idle_close_due, IdleCloseDue(server))

    def _server_rate(self) -> float:
        """Requests a microsecond that a server gets, from all balancers."""
        held_by_latency = self._latency_by_load.x_per_y()  # Little's law: what is held over the time it takes
        if held_by_latency is not None:
            return held_by_latency / self._context.longest_target_us
        all_arrivals = self._arrivals.per_us(self._context.now) * self._context.settings.sidecar_count
        return all_arrivals / max(len(self._context.registry.ready), 1)

    def close_due(self, server: Server) -> int | None:
        wanted = server.idle_connections > 0 and self._context.registry.knows(server)
        return server.idle_close_due if wanted else None

    def close(self, server: Server) -> None:
        server.idle_connections = 0
        self._context.actions.append(CloseIdleConnections(server.name))
