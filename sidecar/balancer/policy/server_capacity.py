"""Estimate of the capacity of a warm server for this balancer, the reference for servers in slow start."""

import math
from dataclasses import dataclass

from sidecar.balancer.policy.subsetting import subset_size
from sidecar.balancer.state import Context, DecayingRate, Server

# While all servers are warming up, at least this share of the arrivals counts as capacity.
MIN_ARRIVALS_SHARE = 0.25
RATE_SPAN_WINDOWS = 2.0  # span over which rates are averaged, in overload windows


def capacity_rate_span_us(context: Context) -> float:
    """The time over which rates of arrivals and of served cost are averaged, in microseconds."""
    return RATE_SPAN_WINDOWS * context.settings.rules.overload_window_us


@dataclass(slots=True)
class ReferenceServers:
    """The ready servers from which capacity is estimated: the warm ones, or all if none is warm.

    Attributes:
        ready: The list of ready servers that this was computed for.
        slow_start_us: The duration of slow start that this was computed for.
        are_warm: Whether the reference servers are warm.
        count: The number of reference servers.
        mean_declared_capacity: The mean of their declared capacities.
        valid_until: The time at which the next server ends slow start, in microseconds.
    """

    ready: list[Server]
    slow_start_us: int
    are_warm: bool
    count: int
    mean_declared_capacity: float
    valid_until: float


class ServerCapacityEstimate:
    """Estimates capacity from the cost that warm servers served, divided by the number of servers in use."""

    def __init__(self, context: Context, arrivals: DecayingRate) -> None:
        """Create an estimate without observations.

        Args:
            context: The shared state of the balancer.
            arrivals: The rate of requests that arrive at this balancer.
        """
        self._context = context
        self._arrivals = arrivals
        self._warm_service_rate = context.settings_bound.new_rate(lambda: capacity_rate_span_us(context))
        self._capacity = 0.0  # requests of mean cost per microsecond; computed at _capacity_computed_at
        self._capacity_computed_at = -1
        self._last_warm_capacity = math.inf  # the last estimate while any server was warm
        self._last_warm_servers_used = 1  # how many servers shared the traffic at that time
        self._mean_declared_capacity = 1.0  # computed at _capacity_computed_at
        self._reference: ReferenceServers | None = None  # None: to be recomputed

    def count_served(self, cost: float) -> None:
        """Count the cost that a warm server served, in requests of mean cost.

        Costs are counted rather than requests, as admission control admits mostly cheap requests in overload.
        """
        self._warm_service_rate.add(self._context.now, cost)

    def invalidate_reference(self) -> None:
        """Recompute the reference servers at the next use, as a server began slow start."""
        self._reference = None

    def of_server(self, server: Server) -> float:
        """The capacity of a server once it is warm, in requests of mean cost per microsecond.

        Args:
            server: The server.  One whose declared capacity is above the mean is treated as a mean one.
        """
        capacity = self.of_warm_server()
        if self._mean_declared_capacity > 0.0:
            capacity *= min(server.declared_capacity / self._mean_declared_capacity, 1.0)
        return capacity

    def of_warm_server(self) -> float:
        """The capacity of a warm server of mean declared capacity, in requests of mean cost per microsecond.

        It is computed once for each clock time.
        """
        if self._capacity_computed_at != self._context.now:
            self._capacity_computed_at = self._context.now
            self._reference = self.current_reference()
            self._capacity = self._estimate(self._reference)
            self._mean_declared_capacity = self._reference.mean_declared_capacity
        return self._capacity

    def _estimate(self, reference: ReferenceServers) -> float:
        servers_used = max(min(reference.count, subset_size(self._context.load)), 1)
        if not reference.are_warm:
            return self._estimate_without_warm_servers(servers_used)
        self._last_warm_capacity = self._warm_service_rate.per_us(self._context.now) / servers_used
        self._last_warm_servers_used = servers_used
        return self._last_warm_capacity

    def _estimate_without_warm_servers(self, servers_used: int) -> float:
        """The arrivals per server, limited by the last rate at which a warm server served requests.

        That rate says little about the capacity of warm servers that were idle.  By itself it could cause
        all requests to be rejected, so the limit is at least a share of the arrivals.
        """
        arrivals_per_us = self._arrivals.per_us(self._context.now)
        servers_sharing = max(servers_used, self._last_warm_servers_used)
        min_limit = MIN_ARRIVALS_SHARE * arrivals_per_us / servers_sharing
        return min(arrivals_per_us / servers_used, max(self._last_warm_capacity, min_limit))

    def current_reference(self) -> ReferenceServers:
        """The current reference servers, recomputed after a change of the list or of a slow start."""
        reference = self._reference
        if reference is not None and self._is_valid(reference):
            return reference
        return self._compute_reference()

    def _is_valid(self, reference: ReferenceServers) -> bool:
        is_same_list = reference.ready is self._context.registry.ready
        is_same_duration = reference.slow_start_us == self._context.settings.rules.slow_start_us
        return is_same_list and is_same_duration and self._context.now < reference.valid_until

    def _compute_reference(self) -> ReferenceServers:
        now = self._context.now
        ready = self._context.registry.ready
        slow_start_us = self._context.settings.rules.slow_start_us
        warm: list[Server] = []
        valid_until = math.inf
        for server in ready:
            since = server.slow_start_since
            if since is not None and server.is_warming_up(now, slow_start_us):
                valid_until = min(valid_until, since + slow_start_us)
            else:
                warm.append(server)
        reference_servers = warm or ready  # including ejected ones, which served part of what was counted
        mean_declared_capacity = sum(server.declared_capacity for server in reference_servers) / max(
            len(reference_servers), 1
        )
        return ReferenceServers(
            ready, slow_start_us, bool(warm), len(reference_servers), mean_declared_capacity, valid_until
        )
