"""Zone-aware routing: how often servers in other zones (remote servers) are drawn relative to local ones."""

from sidecar.balancer.policy.concurrency_limit import UNRESTRICTED_UTILIZATION, ConcurrencyLimit
from sidecar.balancer.policy.latency_ratio import ALLOWED_LATE_SHARE
from sidecar.balancer.state import Context, Server

MIN_REMOTE_WEIGHT = 0.25  # weight factor of a remote server while the local zone is as fast as the others
# Excess of the local over the remote latency, as a share of the latter, from which all zones weigh the same.
LATENCY_EXCESS_FOR_EQUAL_WEIGHT = 0.3
# Servers visited at each clock time on average.  It limits the cost of decisions: averages over longer lists
# are cached for longer.
SERVERS_AVERAGED_PER_INSTANT = 200


class ZonePreference:
    """Reduces the weight of servers in other zones if traffic between zones has a price.

    The weights become equal as the local zone gets slower than the others, or when there is overload.

    Attributes:
        is_local_first: Whether remote servers are candidates only while the local ones are so loaded that
            crossing zones is worth its price.
    """

    def __init__(self, context: Context, limit: ConcurrencyLimit) -> None:
        """Create the preference.

        Args:
            context: The shared state of the balancer.
            limit: Indicates overload, during which capacity matters more than the zone.
        """
        self.is_local_first = False
        self._context = context
        self._limit = limit
        self._remote_weight = 1.0  # computed at _remote_weight_computed_at
        self._remote_weight_computed_at = -1  # microseconds
        self._weight_by_latency = 1.0  # cached; computed for the list in _averaged_servers
        self._averaged_servers: list[Server] | None = None
        self._remaining_cache_uses = 0  # at how many further clock times the cached weight may be used

    def remote_weight(self) -> float:
        """The weight factor of servers in other zones, computed once for each clock time."""
        if self._remote_weight_computed_at != self._context.now:
            self._remote_weight_computed_at = self._context.now
            self._remote_weight = self._current_remote_weight()
        return self._remote_weight

    def _current_remote_weight(self) -> float:
        if self.is_local_first or self._context.settings.prices.cross_zone <= 0.0:
            return 1.0
        if self._is_overloaded():
            return 1.0  # capacity in any zone is worth more than the price of crossing zones
        return self._cached_weight_by_latency()

    def _is_overloaded(self) -> bool:
        if self._limit.latency.late_share >= ALLOWED_LATE_SHARE:
            return True
        return self._limit.utilization() > UNRESTRICTED_UTILIZATION

    def _cached_weight_by_latency(self) -> float:
        """The weight by latency; the more servers are ready, the longer the cached weight is used."""
        ready = self._context.registry.ready
        if self._averaged_servers is not ready or self._remaining_cache_uses <= 0:
            self._weight_by_latency = self.weight_by_latency(ready)
            self._averaged_servers = ready
            self._remaining_cache_uses = len(ready) // SERVERS_AVERAGED_PER_INSTANT
        self._remaining_cache_uses -= 1
        return self._weight_by_latency

    @staticmethod
    def weight_by_latency(ready: list[Server]) -> float:
        """The weight factor of remote servers, by how much slower the local ones are.

        Args:
            ready: The ready servers of all zones.

        Returns:
            A factor from `MIN_REMOTE_WEIGHT` to 1.0.
        """
        available = [server for server in ready if server.ejected_until is None]
        local = [server.relative_latency for server in available if server.is_local]
        remote = [server.relative_latency for server in available if not server.is_local]
        if not local or sum(remote) <= 0.0:
            return 1.0
        latency_excess = (sum(local) / len(local)) / (sum(remote) / len(remote)) - 1.0
        return max(MIN_REMOTE_WEIGHT, min(latency_excess / LATENCY_EXCESS_FOR_EQUAL_WEIGHT, 1.0))
