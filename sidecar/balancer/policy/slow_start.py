"""Slow start: a cold server gets no more than a budget that grows as it warms up."""

import math
from dataclasses import dataclass

from sidecar.balancer.policy.low_traffic import subset_size
from sidecar.balancer.state import Context, Server

BUDGET_FILL = 0.15  # part of the overloading rate at which a cold budget fills: its true size is not known
BUDGET_BURST = 0.18  # part of what overloads a server that may be sent at once
REST_SHARE = 0.25  # of the arrivals: while all are cold it counts, however little warm servers served before
RATE_SPANS = 2.0  # rates are averaged over this many overload windows


@dataclass(slots=True)
class Peers:
    """The ready servers by whose work a cold one is judged: the warm ones, or all where all are cold."""

    ready: list[Server]  # of which they are
    slow_start_us: int
    warm: bool
    count: int
    mean_declared_capacity: float
    valid_until: float  # when the next cold server is warm


class SlowStart:
    """Cold servers and their budgets, judged by what warm servers serve for this balancer."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self.arrivals, self._served_warm = (context.new_rate(self._span_us) for _ in range(2))
        self._capacity = 0.0  # what a warm server of mean size serves for this balancer, as of _capacity_at
        self._capacity_at = -1
        self._last_warm_server_capacity = (
            math.inf
        )  # the same, when any were warm last; all may be cold by now
        self._last_warm_peers = 1  # how many warm servers shared the traffic then
        self._mean_declared_capacity = 1.0  # as of _capacity_at
        self._peers: Peers | None = None  # None: to be gone through anew

    def _span_us(self) -> float:
        return RATE_SPANS * self._context.settings.rules.overload_window_us

    def start(self, server: Server, since: int) -> None:
        """The server is cold since then, and its budget empty."""
        self._peers = None
        server.slow_start_since = since
        server.slow_start_budget = 0.0
        server.slow_start_budget_updated_at = self._context.now

    def is_warming_up(self, server: Server) -> bool:
        since = server.slow_start_since
        return since is not None and self._context.now < since + self._context.settings.rules.slow_start_us

    def capacity_share(self, server: Server) -> float:
        """The least share of its capacity that the server has by now."""
        if server.slow_start_since is None or not self.is_warming_up(server):
            return 1.0
        age_us = max(self._context.now - server.slow_start_since, 0)
        least = self._context.settings.rules.slow_start_from
        return least + (1.0 - least) * age_us / self._context.settings.rules.slow_start_us

    def count_success(self, server: Server, cost: float) -> None:
        """Count what a warm server served: by cost, as overload lets only light requests through."""
        if not self.is_warming_up(server):
            self._served_warm.add(self._context.now, cost)

    def has_capacity(self, server: Server, cost: float) -> bool:
        """Whether a cold server's budget has room; it fills with a part of what overloads the server."""
        if not self.is_warming_up(server):
            return True
        capacity = self.warm_server_capacity()
        if self._mean_declared_capacity > 0.0:
            capacity *= min(server.declared_capacity / self._mean_declared_capacity, 1.0)
        limit = self._context.settings.rules.overload_multiple * self.capacity_share(server) * capacity
        most = max(1.0, BUDGET_BURST * limit * self._context.settings.rules.overload_window_us)
        filled = BUDGET_FILL * limit * max(self._context.now - server.slow_start_budget_updated_at, 0)
        server.slow_start_budget = min(server.slow_start_budget + filled, most)
        server.slow_start_budget_updated_at = self._context.now
        return server.slow_start_budget >= min(cost, most)

    def warm_server_capacity(self) -> float:
        """What a warm server of mean size serves for this balancer; worked out once for each instant."""
        now = self._context.now
        if self._capacity_at != now:
            self._capacity_at = now
            self._peers = peers = self._current_peers()
            used = max(min(peers.count, subset_size(self._context.load)), 1)
            if peers.warm:
                self._capacity = self._last_warm_server_capacity = self._served_warm.per_us(now) / used
                self._last_warm_peers = used
            else:
                self._capacity = self._cold_capacity(used)
            self._mean_declared_capacity = peers.mean_declared_capacity
        return self._capacity

    def _cold_capacity(self, used: int) -> float:
        """The same while all are cold: their part of what arrives, and no more than warm ones served.

        Warm ones that were at rest tell nothing: by their rate alone all requests would be refused.
        """
        arriving = self.arrivals.per_us(self._context.now)
        at_rest = REST_SHARE * arriving / max(used, self._last_warm_peers)
        return min(arriving / used, max(self._last_warm_server_capacity, at_rest))

    def _current_peers(self) -> Peers:
        """The peers as of now; gone through anew where the list changed, or a server became cold or warm."""
        ready, slow_start_us = self._context.registry.ready, self._context.settings.rules.slow_start_us
        known = self._peers
        if known is not None and known.ready is ready and known.slow_start_us == slow_start_us:
            if self._context.now < known.valid_until:
                return known
        cold = [each for each in ready if each.slow_start_since is not None and self.is_warming_up(each)]
        warm = (
            [each for each in ready if each.slow_start_since is None or not self.is_warming_up(each)]
            if cold
            else ready
        )
        peers = warm or ready  # ejected too: they served part of what is counted
        mean_declared_capacity = sum(each.declared_capacity for each in peers) / max(len(peers), 1)
        ends = [each.slow_start_since + slow_start_us for each in cold if each.slow_start_since is not None]
        return Peers(
            ready, slow_start_us, bool(warm), len(peers), mean_declared_capacity, min(ends, default=math.inf)
        )
