"""Selection of a server: best of k, drawn by weight from a subset of the eligible servers."""

import math
from dataclasses import dataclass

from sidecar.balancer.policy.concurrency_limit import (
    ALLOWED_LATE_SHARE,
    UNRESTRICTED_UTILIZATION,
    ConcurrencyLimit,
)
from sidecar.balancer.policy.latency import WEIGHT_CLIP
from sidecar.balancer.policy.low_traffic import subset_size
from sidecar.balancer.policy.retries import is_deduplicated_at
from sidecar.balancer.policy.slow_start import SlowStart
from sidecar.balancer.state import Context, Request, Server

CANDIDATES = 4  # k: counts are mostly small here, where two looks find too little
MAX_WEIGHT_POWER = 3.0  # of the latency weight, for a request of four times the mean cost or more
LEAST_REMOTE_WEIGHT = 0.25  # of a server in another zone while the local zone is as quick
WEIGHED_PER_INSTANT = 200  # servers whose latency weights are summed up, on average over instants
REMOTE_EVEN = 0.3  # the local zone this far behind the others' latency, all zones are drawn alike


@dataclass(slots=True, eq=False)
class Selector:
    """Draws candidates and picks the one with the fewest of this balancer's own attempts."""

    context: Context
    slow_start: SlowStart
    limit: ConcurrencyLimit
    local_first: bool = False  # servers of other zones are candidates only where the local ones are crowded
    _remote_weight: float = 1.0  # as of _remote_weight_at
    _remote_weight_at: int = -1
    _zone_weight: float = 1.0  # that of other zones by latency alone, of the servers in _zone_weight_of
    _zone_weight_of: list[Server] | None = None
    _zone_weight_kept: int = 0  # for so many further instants

    def candidates(self, request: Request) -> list[Server]:
        """Distinct servers drawn by weight; twice as many after each full answer."""
        subset: list[Server] = []
        request.all_zones = request.all_zones or self.context.has_just_resumed()
        if not request.all_zones:
            subset = self._subset(self.context.registry.ready_local, request)
            request.all_zones = len(subset) < 2
        if request.all_zones:
            subset = self._subset(self.context.registry.ready, request)
        if not subset:
            return []
        if self._remote_weight_at != self.context.now:
            self._remote_weight_at = self.context.now
            self._remote_weight = 1.0 if self.local_first else self._weigh_remote()
        power = min(max(1.0, float(request.cost_class)), MAX_WEIGHT_POWER)
        weights = [self._weight(each, power) for each in subset]
        return self.draw(subset, weights, CANDIDATES << request.rejections)

    def least_loaded(self, candidates: list[Server]) -> Server:
        return min(candidates, key=lambda each: (self.context.load.at(each), each.latency_weight))

    def _subset(self, servers: list[Server], request: Request) -> list[Server]:
        """The first eligible servers in this balancer's own order, as many as its traffic can know.

        Else each of many small balancers would hold a connection to each of many servers, more than those
        accept, and learn next to nothing of any.  A busy balancer uses all.
        """
        size = subset_size(self.context.load)
        subset: list[Server] = []
        backed_off: list[Server] = []
        for each in servers:
            if self.is_eligible(each, request):
                backoff = each.rejection_backoffs.get(request.traffic_key)
                (subset if backoff is None or backoff.until <= self.context.now else backed_off).append(each)
                if len(subset) >= size:
                    break
        if len(subset) >= min(CANDIDATES, size):
            return subset
        return subset + backed_off[: size - len(subset)]

    def draw(self, servers: list[Server], weights: list[float], count: int) -> list[Server]:
        """Draw distinct servers by weight; the order is random too, so the first of equals is chance."""
        drawn = []
        left = list(range(len(servers)))
        total = sum(weights)
        for _ in range(min(count, len(servers))):
            point = self.context.rng.random() * total
            at = 0
            while at < len(left) - 1 and point >= weights[left[at]]:
                point -= weights[left[at]]
                at += 1
            index = left.pop(at)
            total -= weights[index]
            drawn.append(servers[index])
        return drawn

    def _weight(self, server: Server, power: float) -> float:
        """Slower servers are drawn less, and still less for heavy requests, as the draw decides most ties."""
        latency = math.pow(max(server.latency_weight, 1.0 / WEIGHT_CLIP), power)
        warmth = 1.0 if server.slow_start_since is None else self.slow_start.capacity_share(server)
        return warmth / latency * (1.0 if server.is_local else self._remote_weight)

    def _weigh_remote(self) -> float:
        """Weight of servers in other zones: less while the local zone is as quick as theirs.

        As the local zone falls behind, or answers come late anywhere, the weights even out.
        """
        late = self.limit.late_share >= ALLOWED_LATE_SHARE
        if (
            self.context.settings.prices.cross_zone <= 0.0
            or late
            or self.limit.utilization() > UNRESTRICTED_UTILIZATION
        ):
            return 1.0  # room anywhere is worth more than a crossing
        ready = self.context.registry.ready
        if self._zone_weight_of is not ready or self._zone_weight_kept <= 0:
            self._zone_weight = self._weigh_by_latency(ready)
            self._zone_weight_of = ready
            self._zone_weight_kept = len(ready) // WEIGHED_PER_INSTANT
        self._zone_weight_kept -= 1
        return self._zone_weight

    @staticmethod
    def _weigh_by_latency(ready: list[Server]) -> float:
        """Weight of servers in other zones by how far the local ones are behind in latency."""
        active = [each for each in ready if each.ejected_until is None]
        local = [each.latency_weight for each in active if each.is_local]
        remote = [each.latency_weight for each in active if not each.is_local]
        if not local or sum(remote) <= 0.0:
            return 1.0
        behind = (sum(local) / len(local)) / (sum(remote) / len(remote)) - 1.0
        return max(LEAST_REMOTE_WEIGHT, min(behind / REMOTE_EVEN, 1.0))

    def is_eligible(self, server: Server, request: Request) -> bool:
        """Whether a ready server may get the next attempt of a request; a second copy goes elsewhere."""
        if server.ejected_until is not None:
            return False
        if request.attempts:
            if server in request.failed_servers or not is_deduplicated_at(request, server):
                return False
            if any(each.pending and each.server is server for each in request.attempts):
                return False
        return server.slow_start_since is None or self.slow_start.has_capacity(server, request.relative_cost)
