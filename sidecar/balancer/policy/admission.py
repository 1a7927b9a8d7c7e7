"""Admission control: under overload, new requests are shed early, lowest priority first."""

import math

from sidecar.balancer.policy.concurrency_limit import UNRESTRICTED_UTILIZATION, ConcurrencyLimit
from sidecar.balancer.policy.latency_ratio import ALLOWED_LATENCY_RATIO
from sidecar.balancer.policy.low_traffic import FULL_CONFIDENCE_LOAD
from sidecar.balancer.policy.low_traffic_shedding import LowTrafficShedder
from sidecar.balancer.policy.priority import TrafficPriorities
from sidecar.balancer.policy.stale_requests import StaleRequestDetector
from sidecar.balancer.state import Context, DecayingRate, Request, Traffic

# Attempts in flight.  Below this, shedding depends on counts of responses in place of the limit.
LOW_TRAFFIC_LOAD = FULL_CONFIDENCE_LOAD / 2
# At a full limit, one in fifty requests of median priority is admitted (e^-4).
FULL_LIMIT_SHED_EXPONENT = 4.0
# Multiplies shedding at the lowest priority; the factor is 1 at the median and 0 at the highest priority.
LOWEST_PRIORITY_FACTOR = 2.0


class AdmissionControl:
    """Decides whether to reject each new request before any attempt is sent.

    Without admission control, an overloaded fleet responds to every request too late, and clients retry the
    failed requests.  As the utilization of the concurrency limit rises, the share of admitted requests falls
    exponentially, and faster for lower priorities.

    Attributes:
        uses_health_checks: Whether overload is predicted by health checks in place of the limit.
    """

    def __init__(self, context: Context, limit: ConcurrencyLimit, arrivals: DecayingRate) -> None:
        """Create an admission control that has observed no response.

        Args:
            context: The shared state of the balancer.
            limit: The concurrency limit of the balancer.
            arrivals: The rate of requests that arrive at this balancer.
        """
        self.uses_health_checks = False
        self._context = context
        self._limit = limit
        self._arrivals = arrivals
        self._priorities = TrafficPriorities(context)
        self._low_traffic_shedder = LowTrafficShedder(context)
        self._stale_requests = StaleRequestDetector(context)
        # In microseconds; from then on, a request is admitted as a sample, even at a full limit.
        self._sample_due_at = 0
        self._last_response_was_fast = False  # reset when an attempt is sent

    def observe_latency(self, latency_ratio: float) -> None:
        """Observe a response, or an attempt that is late and has no response.

        Args:
            latency_ratio: Its latency divided by the latency target.
        """
        if latency_ratio <= ALLOWED_LATENCY_RATIO:
            self._last_response_was_fast = True
        if latency_ratio <= 1.0:
            self._low_traffic_shedder.count_timely()
        else:
            self._low_traffic_shedder.count_late()
        self._limit.observe(latency_ratio)

    def count_late_attempt(self) -> None:
        """Count an attempt that ended late without a response."""
        self._low_traffic_shedder.count_late()

    def attempt_sent(self, latency_target_us: int) -> None:
        """Record that an attempt was sent; no further sample is due until its latency target has passed."""
        self._sample_due_at = self._context.now + latency_target_us
        self._last_response_was_fast = False

    def should_reject(self, request: Request, remaining_us: int) -> bool:
        """Whether to reject a new request.

        Args:
            request: The request.  Its priority is set if health checks are used, to predict overload.
            remaining_us: The time left until its client gives up, in microseconds.
        """
        return self._should_shed(request) or self._stale_requests.is_stale(request, remaining_us)

    def _should_shed(self, request: Request) -> bool:
        traffic = self._priorities.count_arrival(request)
        if self.uses_health_checks:
            request.priority = self._priorities.priority(traffic)
            return False
        if self._last_response_was_fast and not self._context.load.total():
            return False
        if self._is_low_traffic():
            return self._should_shed_at_low_traffic(traffic)
        return self._should_shed_at_limit(traffic)

    def _is_low_traffic(self) -> bool:
        arrivals_per_target = self._arrivals.per_us(self._context.now) * self._context.longest_target_us
        return max(arrivals_per_target, self._context.load.total()) < LOW_TRAFFIC_LOAD

    def _should_shed_at_low_traffic(self, traffic: Traffic) -> bool:
        excess_share = self._low_traffic_shedder.excess_share(self._limit.cpu.utilization)
        if excess_share <= 0.0:
            return False
        if self._context.rng.random() >= excess_share * self._priority_factor(traffic):
            return False
        self._low_traffic_shedder.count_shed()
        return True

    def _should_shed_at_limit(self, traffic: Traffic) -> bool:
        utilization = self._limit.utilization()
        if utilization <= UNRESTRICTED_UTILIZATION or self._context.now >= self._sample_due_at:
            return False
        restricted_share = (utilization - UNRESTRICTED_UTILIZATION) / (1.0 - UNRESTRICTED_UTILIZATION)
        shed_exponent = FULL_LIMIT_SHED_EXPONENT * restricted_share
        admitted_share = math.exp(-shed_exponent * self._priority_factor(traffic))
        if utilization < 1.0 and self._context.rng.random() < admitted_share:
            return False
        self._limit.has_rejected = True
        return True

    def _priority_factor(self, traffic: Traffic) -> float:
        return LOWEST_PRIORITY_FACTOR * (1.0 - self._priorities.priority(traffic))
