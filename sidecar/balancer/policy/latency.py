"""Usual latency and cost of each class and size of requests, and how servers compare with it."""

from sidecar.balancer.policy.low_traffic import low_traffic_factor
from sidecar.balancer.state import Context, Request, Server
from sidecar.settings import ServiceClass

WEIGHT_STEP = 0.1  # a latency weight follows the last ten answers or so, or fewer where few are active
MAX_LATENCY_RATIO = 4.0  # one response counts for at most this many usual ones; it may be of a costly request
USUAL_STEP = 0.02  # the usual latency and cost of a class follow its last fifty requests or so
UNSEEN_TARGETS = 0.3  # the usual latency before any answer, in latency targets


class LatencyTracker:
    """Moving averages over all servers, and the latency weight of each server relative to them."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._usual_us: dict[tuple[str, int], float] = context.new_table(context.names_sized_class)
        self._mean_cost_us: dict[str, float] = context.new_table(context.names_class)  # by class

    def relative_cost(self, service_class: ServiceClass, cost_us: int | None) -> float:
        """The cost of a new request relative to the mean of its class."""
        if not cost_us or cost_us < 0:
            return 1.0
        mean = self._mean_cost_us.get(service_class.name, float(cost_us))
        self._mean_cost_us[service_class.name] = mean + USUAL_STEP * (cost_us - mean)
        return cost_us / mean if mean > 0 else 1.0

    @staticmethod
    def set_unknown_weights(servers: list[Server]) -> None:
        """Until answers tell, a server is as quick as its nominal capacity."""
        mean_declared_capacity = sum(each.declared_capacity for each in servers) / max(len(servers), 1)
        for server in servers:
            if server.latency_weight <= 0.0:
                server.latency_weight = (
                    mean_declared_capacity / server.declared_capacity
                    if server.declared_capacity > 0.0
                    else 1.0
                )

    def usual_us(self, request: Request) -> float:
        """The usual latency of such a request."""
        unseen_us = UNSEEN_TARGETS * request.service_class.latency_target_us
        return self._usual_us.get((request.service_class.name, request.cost_class), unseen_us)

    def observe_latency(self, request: Request, server: Server, elapsed_us: float) -> None:
        """Move a server's latency weight by one attempt."""
        ratio = min(elapsed_us / max(self.usual_us(request), 1.0), MAX_LATENCY_RATIO)
        server.latency_weight += (
            WEIGHT_STEP * low_traffic_factor(self._context.load) * (ratio - server.latency_weight)
        )

    def observe_error(self, request: Request, server: Server) -> None:
        """A quick error must not look like a quick server: it counts as the slowest answer there is."""
        self.observe_latency(request, server, int(MAX_LATENCY_RATIO * self.usual_us(request)))

    def observe_success(self, request: Request, server: Server, elapsed_us: int) -> None:
        """Learn from an answer; the first of its kind is usual."""
        kind = (request.service_class.name, request.cost_class)
        usual = self._usual_us.setdefault(kind, float(elapsed_us))
        self.observe_latency(request, server, elapsed_us)
        self._usual_us[kind] = usual + USUAL_STEP * (elapsed_us - usual)
