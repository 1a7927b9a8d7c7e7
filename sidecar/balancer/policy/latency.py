"""Usual latency and cost of requests by class, and the latency of each server relative to them."""

from sidecar.balancer.policy.low_traffic import low_traffic_factor
from sidecar.balancer.state import Context, Request, Server
from sidecar.settings import ServiceClass

LATENCY_WEIGHT_SMOOTHING_FACTOR = (
    0.1  # weight of each response in a server's average: the last ten or so count
)
MAX_RELATIVE_LATENCY = 4.0  # one response counts at most as so many usual ones; it may be of a costly request
CLASS_AVERAGE_SMOOTHING_FACTOR = (
    0.02  # weight of each response in the averages of a class: the last fifty or so count
)
INITIAL_USUAL_LATENCY_TARGETS = 0.3  # the usual latency before any response, in latency targets
MIN_USUAL_LATENCY_US = 1.0  # avoids a division by zero


class LatencyTracker:
    """Exponentially weighted moving averages (EWMA) over all servers, and of each server against them."""

    def __init__(self, context: Context) -> None:
        """Create a tracker that has observed no response.

        Args:
            context: The shared state of the balancer.
        """
        self._context = context
        self._usual_latency_us: dict[tuple[str, int], float] = context.settings_bound.new_table(
            lambda key: context.catalog.has_class(key[0])
        )
        self._mean_cost_us: dict[str, float] = context.settings_bound.new_table(context.catalog.has_class)

    def relative_cost(self, service_class: ServiceClass, cost_us: int | None) -> float:
        """The cost of a new request relative to the mean of its class, which follows it.

        Args:
            service_class: The class of the request.
            cost_us: The cost that its client stated, in us of work, if it did.

        Returns:
            The relative cost; 1.0 where it is unknown.
        """
        if not cost_us or cost_us < 0:
            return 1.0
        mean_us = self._mean_cost_us.get(service_class.name, float(cost_us))
        self._mean_cost_us[service_class.name] = mean_us + CLASS_AVERAGE_SMOOTHING_FACTOR * (
            cost_us - mean_us
        )
        return cost_us / mean_us if mean_us > 0 else 1.0

    @staticmethod
    def initialize_weights(servers: list[Server]) -> None:
        """Take servers without observations for as fast as their declared capacity.

        Args:
            servers: The ready servers; a latency weight of zero marks those without observations.
        """
        mean_capacity = sum(server.declared_capacity for server in servers) / max(len(servers), 1)
        without_observations = [server for server in servers if server.latency_weight <= 0.0]
        for server in without_observations:
            if server.declared_capacity > 0.0:
                server.latency_weight = mean_capacity / server.declared_capacity
            else:
                server.latency_weight = 1.0

    def usual_latency_us(self, request: Request) -> float:
        """The usual latency of requests of the same class and cost, in us."""
        initial_us = INITIAL_USUAL_LATENCY_TARGETS * request.service_class.latency_target_us
        return self._usual_latency_us.get(_latency_key(request), initial_us)

    def observe_latency(self, request: Request, server: Server, elapsed_us: float) -> None:
        """Move a server's latency weight towards the latency of one attempt.

        Args:
            request: The request of the attempt.
            server: The server of the attempt.
            elapsed_us: How long the attempt took.
        """
        usual_latency_us = max(self.usual_latency_us(request), MIN_USUAL_LATENCY_US)
        ratio = min(elapsed_us / usual_latency_us, MAX_RELATIVE_LATENCY)
        step = LATENCY_WEIGHT_SMOOTHING_FACTOR * low_traffic_factor(self._context.load)
        server.latency_weight += step * (ratio - server.latency_weight)

    def observe_error(self, request: Request, server: Server) -> None:
        """Count an error as the slowest response there is, so that fast errors don't attract requests."""
        self.observe_latency(request, server, int(MAX_RELATIVE_LATENCY * self.usual_latency_us(request)))

    def observe_success(self, request: Request, server: Server, elapsed_us: int) -> None:
        """Learn from a successful attempt; the first of its class and cost is the usual one.

        Args:
            request: The request of the attempt.
            server: The server of the attempt.
            elapsed_us: How long the attempt took.
        """
        key = _latency_key(request)
        usual_latency_us = self._usual_latency_us.setdefault(key, float(elapsed_us))
        self.observe_latency(request, server, elapsed_us)
        self._usual_latency_us[key] = usual_latency_us + CLASS_AVERAGE_SMOOTHING_FACTOR * (
            elapsed_us - usual_latency_us
        )


def _latency_key(request: Request) -> tuple[str, int]:
    return request.service_class.name, request.cost_class
