"""Comparison of candidates by the load that they report in health checks.

The best candidate is the one with the fewest attempts of this balancer, then the one with the lowest sum of
expected latency, price of crossing zones and price of a new connection.
"""

from dataclasses import dataclass

from sidecar.balancer.policy.connections import IdleConnections
from sidecar.balancer.policy.latency_by_load import LatencyByLoad
from sidecar.balancer.policy.selection import Selector
from sidecar.balancer.policy.slow_start import SlowStart
from sidecar.balancer.state import Context, Request, Server
from sidecar.settings import Settings

# Latency, in latency targets, that is worth one point of the price of crossing zones or of a handshake.
LATENCY_TARGETS_PER_PRICE_POINT = 2.0
# Cost of crossing zones, in latency targets, from which local servers are tried first.  Below it, servers of
# all zones are candidates, drawn by weight.
MIN_LOCAL_FIRST_COST = 0.1
# Highest predicted latency ratio at which requests of the highest priority are admitted.
MAX_PREDICTED_RATIO = 0.7
PREDICTED_RATIO_RANGE = 0.5  # how much lower that limit is for the lowest priority than for the highest
# Share of the requests that is admitted despite predicted overload, to verify the prediction.
OVERLOAD_SAMPLE_SHARE = 0.01


def cross_zone_cost(settings: Settings) -> float:
    """The latency that sending a request to another zone has to save, in latency targets."""
    return LATENCY_TARGETS_PER_PRICE_POINT * settings.prices.cross_zone


@dataclass(slots=True, eq=False)
class LoadComparison:
    """Picks the least loaded candidate, and predicts whether even that one is overloaded.

    Attributes:
        context: The shared state of the balancer.
        slow_start: Limits servers that are warming up.
        selector: Determines which servers are eligible.
        connections: Estimates which servers have an idle connection.
        latency_by_load: Predicts the latency at a load.
    """

    context: Context
    slow_start: SlowStart
    selector: Selector
    connections: IdleConnections
    latency_by_load: LatencyByLoad

    def least_loaded(self, request: Request, candidates: list[Server]) -> Server | None:
        """The best of the eligible candidates that responded to their health checks, if there is one.

        Args:
            request: The request to be sent.
            candidates: The servers whose health checks it waited for.
        """
        comparable = [
            server
            for server in candidates
            if server.health_check_sent_at is None
            and server.reported_load is not None
            and self.selector.is_eligible(server, request)
        ]
        return min(comparable, key=self._sort_key, default=None)

    def should_cross_zones(self, best: Server | None) -> bool:
        """Whether a server in another zone is expected to save more latency than crossing zones costs.

        The server in the other zone is assumed to be idle, as its load is not known yet.

        Args:
            best: The best server of the local zone; None if no eligible one reported its load.
        """
        if best is None or best.reported_load is None:
            return True
        local_ratio = self.latency_by_load.predict(best.reported_load)
        idle_ratio = self.latency_by_load.predict(0.0)
        if local_ratio is None or idle_ratio is None:
            return False
        return local_ratio - idle_ratio > cross_zone_cost(self.context.settings)

    def predicts_overload(self, request: Request, best: Server) -> bool:
        """Whether to reject a new request because even the best server is expected to respond too slowly.

        The lower the priority of the request, the shorter the latency that counts as too slow.

        Args:
            request: The request.  It is not rejected if it has been attempted already.
            best: The best server for it.
        """
        if best.reported_load is None or request.attempts:
            return False
        predicted_ratio = self.latency_by_load.predict(best.reported_load)
        max_ratio = MAX_PREDICTED_RATIO - PREDICTED_RATIO_RANGE * (1.0 - request.priority)
        if predicted_ratio is not None and predicted_ratio > max_ratio:
            return self.context.rng.random() >= OVERLOAD_SAMPLE_SHARE
        return False

    def _sort_key(self, server: Server) -> tuple[int, float, float]:
        """This balancer's own attempts at the server, then expected latency plus access cost, then load."""
        load_with_request = ((server.reported_load or 0.0) + 1.0) * server.relative_latency
        # Servers that are warming up report little load, as they receive few requests; so it is scaled up.
        load = load_with_request / self.slow_start.capacity_share(server)
        expected_ratio = self.latency_by_load.predict(load) or 0.0
        return self.context.load.attempts_at(server), expected_ratio + self._access_cost(server), load

    def _access_cost(self, server: Server) -> float:
        """The price of crossing zones and of a new connection to a server, in latency targets."""
        cost = 0.0 if server.is_local else cross_zone_cost(self.context.settings)
        if not self.connections.has_idle_connection(server):
            cost += LATENCY_TARGETS_PER_PRICE_POINT * self.context.settings.prices.handshake
        return cost
