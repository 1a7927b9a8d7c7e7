"""The usual latency and cost of requests by class, and the relative latency of each server."""

from sidecar.balancer.policy.low_traffic import low_traffic_factor
from sidecar.balancer.state import Context, Request, Server
from sidecar.settings import ServiceClass

# Weight of each response in the average of its server; about the last ten count.
RELATIVE_LATENCY_SMOOTHING_FACTOR = 0.1
# A response counts as at most this many usual latencies, as its request may be an expensive one.
MAX_RELATIVE_LATENCY = 4.0
# Weight of each response in the averages of its class; about the last fifty count.
CLASS_AVERAGE_SMOOTHING_FACTOR = 0.02
INITIAL_USUAL_LATENCY_TARGETS = 0.3  # the usual latency before any response, in latency targets
MIN_USUAL_LATENCY_US = 1.0  # avoids a division by zero


class LatencyTracker:
    """Tracks the usual latency of all servers by class and cost, and the relative latency of each server.

    All of them are exponentially weighted moving averages (EWMA).
    """

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
        """The cost of a new request relative to the mean cost of its class; the mean is updated.

        Args:
            service_class: The class of the request.
            cost_us: The client's estimate of the processing time, in microseconds, if it gave one.

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
    def initialize_relative_latencies(servers: list[Server]) -> None:
        """Initialize the relative latency of servers without observations by their declared capacity.

        Args:
            servers: The ready servers.  A relative latency of zero marks those without observations.
        """
        mean_capacity = sum(server.declared_capacity for server in servers) / max(len(servers), 1)
        without_observations = [server for server in servers if server.relative_latency <= 0.0]
        for server in without_observations:
            if server.declared_capacity > 0.0:
                server.relative_latency = mean_capacity / server.declared_capacity
            else:
                server.relative_latency = 1.0

    def usual_latency_us(self, request: Request) -> float:
        """The usual latency of requests of the same class and cost, in microseconds."""
        initial_us = INITIAL_USUAL_LATENCY_TARGETS * request.service_class.latency_target_us
        return self._usual_latency_us.get(_latency_key(request), initial_us)

    def observe_latency(self, request: Request, server: Server, elapsed_us: float) -> None:
        """Move a server's relative latency towards the latency of one attempt.

        Args:
            request: The request of the attempt.
            server: The server of the attempt.
            elapsed_us: How long the attempt took, in microseconds.
        """
        usual_latency_us = max(self.usual_latency_us(request), MIN_USUAL_LATENCY_US)
        relative_latency = min(elapsed_us / usual_latency_us, MAX_RELATIVE_LATENCY)
        step = RELATIVE_LATENCY_SMOOTHING_FACTOR * low_traffic_factor(self._context.load)
        server.relative_latency += step * (relative_latency - server.relative_latency)

    def observe_error(self, request: Request, server: Server) -> None:
        """Count an error as the slowest possible response, so that fast errors don't attract requests."""
        self.observe_latency(request, server, int(MAX_RELATIVE_LATENCY * self.usual_latency_us(request)))

    def observe_success(self, request: Request, server: Server, elapsed_us: int) -> None:
        """Observe a successful attempt; the first one of a class and cost sets the usual latency.

        Args:
            request: The request of the attempt.
            server: The server of the attempt.
            elapsed_us: How long the attempt took, in microseconds.
        """
        key = _latency_key(request)
        usual_latency_us = self._usual_latency_us.setdefault(key, float(elapsed_us))
        self.observe_latency(request, server, elapsed_us)
        self._usual_latency_us[key] = usual_latency_us + CLASS_AVERAGE_SMOOTHING_FACTOR * (
            elapsed_us - usual_latency_us
        )


def _latency_key(request: Request) -> tuple[str, int]:
    return request.service_class.name, request.cost_class
