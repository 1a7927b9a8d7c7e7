"""Slow start: a server that is warming up receives requests up to a budget, which grows with its age."""

from sidecar.balancer.policy.server_capacity import ServerCapacityEstimate, capacity_rate_span_us
from sidecar.balancer.state import Context, Server

# Refill rate as a share of the rate that overloads a server; low, as the capacity is only an estimate.
BUDGET_REFILL_SHARE = 0.15
# Bucket size, which may be sent at once, as a share of what overloads a server within one overload window.
BUDGET_BURST_SHARE = 0.18


class SlowStart:
    """Limits each server that is warming up by a token bucket, which fills faster as its capacity grows.

    Attributes:
        arrivals: The rate of requests that arrive at this balancer.
        capacity_estimate: The estimated capacity of a warm server for this balancer.
    """

    def __init__(self, context: Context) -> None:
        """Create the policy; a server is limited once `start` is called for it.

        Args:
            context: The shared state of the balancer.
        """
        self._context = context
        self.arrivals = context.settings_bound.new_rate(lambda: capacity_rate_span_us(context))
        self.capacity_estimate = ServerCapacityEstimate(context, self.arrivals)

    def start(self, server: Server, since: int) -> None:
        """Begin slow start of a server, with an empty budget.

        Args:
            server: The server.
            since: When it started, in microseconds on this balancer's clock.
        """
        self.capacity_estimate.invalidate_reference()
        server.slow_start_since = since
        server.slow_start_budget = 0.0
        server.slow_start_budget_updated_at = self._context.now

    def is_warming_up(self, server: Server) -> bool:
        """Whether the server is in slow start."""
        return server.is_warming_up(self._context.now, self._context.settings.rules.slow_start_us)

    def capacity_share(self, server: Server) -> float:
        """The share of its full capacity that the server has now, from 0 to 1."""
        if server.slow_start_since is None or not self.is_warming_up(server):
            return 1.0
        rules = self._context.settings.rules
        age_us = max(self._context.now - server.slow_start_since, 0)
        return rules.slow_start_from + (1.0 - rules.slow_start_from) * age_us / rules.slow_start_us

    def count_success(self, server: Server, cost: float) -> None:
        """Count the cost of a successful attempt, in requests of mean cost, for the capacity estimate."""
        if not self.is_warming_up(server):
            self.capacity_estimate.count_served(cost)

    def has_capacity(self, server: Server, cost: float) -> bool:
        """Whether the server may receive a request; one that is warming up needs enough budget.

        Args:
            server: The server.
            cost: The cost of the request, relative to the mean.

        Returns:
            Whether the request may be sent; its cost is not taken from the budget yet.
        """
        if not self.is_warming_up(server):
            return True
        max_budget = self._refill_budget(server)
        return server.slow_start_budget >= min(cost, max_budget)

    def _refill_budget(self, server: Server) -> float:
        """Refill the token bucket of a server for the elapsed time and return the size of the bucket."""
        rules = self._context.settings.rules
        capacity = self.capacity_estimate.of_server(server)
        overload_rate = rules.overload_multiple * self.capacity_share(server) * capacity
        max_budget = max(1.0, BUDGET_BURST_SHARE * overload_rate * rules.overload_window_us)
        elapsed_us = max(self._context.now - server.slow_start_budget_updated_at, 0)
        refill = BUDGET_REFILL_SHARE * overload_rate * elapsed_us
        server.slow_start_budget = min(server.slow_start_budget + refill, max_budget)
        server.slow_start_budget_updated_at = self._context.now
        return max_budget
