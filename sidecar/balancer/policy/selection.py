"""Server selection: the best of k candidates, drawn by weight from a subset of the eligible servers.

This is the power of two choices, generalized to k choices: the random draw keeps balancers from all picking
the same server, and the comparison by load keeps queues short.
"""

import math
from dataclasses import dataclass

from sidecar.balancer.policy.backoff import is_backed_off
from sidecar.balancer.policy.latency import MAX_RELATIVE_LATENCY
from sidecar.balancer.policy.retries import is_deduplicated_at
from sidecar.balancer.policy.slow_start import SlowStart
from sidecar.balancer.policy.subsetting import subset_size
from sidecar.balancer.policy.weighted_sampling import sample_by_weight
from sidecar.balancer.policy.zone_preference import ZonePreference
from sidecar.balancer.state import Context, Request, Server

CANDIDATE_COUNT = 4  # k; loads are mostly small, so that two candidates would often be tied
MIN_LOCAL_SERVERS = 2  # with fewer eligible local servers there is no choice, so all zones are used
# Exponent of the relative latency for requests of four times the mean cost or more.
MAX_LATENCY_EXPONENT = 3.0
MIN_RELATIVE_LATENCY = 1.0 / MAX_RELATIVE_LATENCY  # servers that are faster yet are not drawn more often


@dataclass(slots=True, eq=False)
class Selector:
    """Draws candidates and picks the one with the fewest attempts of this balancer.

    Attributes:
        context: The shared state of the balancer.
        slow_start: Limits servers that are warming up.
        zone_preference: Determines the weight of servers in other zones.
    """

    context: Context
    slow_start: SlowStart
    zone_preference: ZonePreference

    def candidates(self, request: Request) -> list[Server]:
        """Draw the candidates for the next attempt of a request, twice as many after each rejection.

        Args:
            request: The request.  Its candidates may be extended to all zones.

        Returns:
            Distinct eligible servers in random order; empty if there are none.
        """
        subset = self._candidate_subset(request)
        if not subset:
            return []
        remote_weight = self.zone_preference.remote_weight()
        exponent = min(max(1.0, float(request.cost_class)), MAX_LATENCY_EXPONENT)
        weights = [self._weight(server, exponent, remote_weight) for server in subset]
        return sample_by_weight(self.context.rng, subset, weights, CANDIDATE_COUNT << request.rejections)

    def least_loaded(self, candidates: list[Server]) -> Server:
        """The candidate with the fewest attempts of this balancer; the lower relative latency breaks ties."""
        return min(
            candidates, key=lambda server: (self.context.load.attempts_at(server), server.relative_latency)
        )

    def is_eligible(self, server: Server, request: Request) -> bool:
        """Whether a ready server may receive the next attempt of a request.

        Retries and hedged requests are sent to other servers than the attempts before them.

        Args:
            server: A server that is ready.
            request: The request to be sent.

        Returns:
            Whether the attempt may be sent there.
        """
        if server.ejected_until is not None:
            return False
        if request.attempts:
            if server in request.failed_servers or not is_deduplicated_at(request, server):
                return False
            if any(attempt.pending and attempt.server is server for attempt in request.attempts):
                return False
        if server.slow_start_since is None:
            return True
        return self.slow_start.has_capacity(server, request.relative_cost)

    def _candidate_subset(self, request: Request) -> list[Server]:
        """The subset of the local zone, or that of all zones if the request may cross zones.

        The requests that queued during a stall of this process arrive as a burst, so all zones share it.
        """
        if self.context.stalls.has_just_resumed():
            request.may_cross_zones = True
        if not request.may_cross_zones:
            local_subset = self._subset(self.context.registry.ready_local, request)
            if len(local_subset) >= MIN_LOCAL_SERVERS:
                return local_subset
            request.may_cross_zones = True
        return self._subset(self.context.registry.ready, request)

    def _subset(self, servers: list[Server], request: Request) -> list[Server]:
        """The first eligible servers in this balancer's own order; those in backoff only fill up the rest."""
        size = subset_size(self.context.load)
        preferred: list[Server] = []
        backed_off: list[Server] = []
        for server in servers:
            if not self.is_eligible(server, request):
                continue
            if is_backed_off(server, request, self.context.now):
                backed_off.append(server)
                continue
            preferred.append(server)
            if len(preferred) >= size:
                break
        if len(preferred) >= min(CANDIDATE_COUNT, size):
            return preferred
        return preferred + backed_off[: size - len(preferred)]

    def _weight(self, server: Server, exponent: float, remote_weight: float) -> float:
        """The weight of a server in the draw, which is lower for slower servers.

        The draw breaks most ties, so for expensive requests the latency is raised to a higher power.
        """
        latency_factor = math.pow(max(server.relative_latency, MIN_RELATIVE_LATENCY), exponent)
        weight = self.slow_start.capacity_share(server) / latency_factor
        return weight if server.is_local else weight * remote_weight
