"""Adaptive concurrency limit: how many attempts may be in flight while responses arrive in time.

As with AIMD, the limit shrinks while responses are too slow, and grows while they are fast and it rejects
requests.  It applies to attempts in flight rather than to arrivals, so that a surge reaches it at once.
"""

import math

from sidecar.balancer.policy.cpu_utilization import CpuUtilizationTracker
from sidecar.balancer.policy.latency_ratio import ALLOWED_LATE_SHARE, LatencyRatioTracker
from sidecar.balancer.policy.low_traffic import FULL_CONFIDENCE_LOAD, low_traffic_factor
from sidecar.balancer.state import Context, DecayingRate

MIN_LIMIT = 0.1  # attempts in flight; some are always admitted, so that the end of overload is detected
# Up to this share of the limit, all requests are admitted and the limit does not grow.
UNRESTRICTED_UTILIZATION = 0.5
# Time from the first response to the first adjustment, in longest latency targets.
INITIAL_ADJUSTMENT_DELAY_TARGETS = 2.0
# This share of late responses indicates overload even while the balancer is starting.
MOSTLY_LATE_SHARE = 10 * ALLOWED_LATE_SHARE
# Time constant of adjustments, in longest latency targets: at twice the allowed ratio, the limit shrinks by a
# factor of e in this time.
TIME_CONSTANT_TARGETS = 0.5
# Longest time that counts as elapsed between two adjustments, in longest latency targets; it is stretched by
# the low traffic factor.
MAX_ELAPSED_TARGETS = 0.25


class ConcurrencyLimit:
    """A limit on attempts in flight, adjusted by the latency of responses and the reported utilization.

    Attributes:
        limit: The number of attempts that may be in flight; infinite until it is first adjusted.
        latency: The latency ratios of responses.
        cpu: The utilization that servers report.
        has_rejected: Whether the limit caused a rejection since it was last adjusted.
        adjusted_at: When the limit was last adjusted or found to need no adjustment, in microseconds.
    """

    def __init__(self, context: Context) -> None:
        """Create a limit that is infinite until it is first adjusted.

        Args:
            context: The shared state of the balancer.
        """
        self.limit = math.inf
        self.latency = LatencyRatioTracker()
        self.cpu = CpuUtilizationTracker()
        self.has_rejected = False
        self.adjusted_at = 0
        self._context = context
        self._earliest_adjustment_at = 0  # microseconds; the limit is not adjusted before
        # Counts the latency target of each success, in microseconds.
        self._served_target_us = DecayingRate(context.longest_target_us)

    def rescale(self, factor: float) -> None:
        """Adapt to latency targets that are longer by this factor.

        Attempts that may take longer are also in flight for longer, so the limit grows by the same factor.
        """
        self.limit = max(self.limit * factor, MIN_LIMIT)
        self.latency.rescale(factor)

    def count_success(self, latency_target_us: int) -> None:
        """Count a successful attempt of a class with this latency target."""
        self._served_target_us.add(self._context.now, latency_target_us)

    def observe(self, latency_ratio: float) -> None:
        """Observe a response, or an attempt that is late and has no response, and adjust the limit.

        Args:
            latency_ratio: Its latency divided by the latency target.
        """
        if not self.latency.has_samples():
            delay_us = int(INITIAL_ADJUSTMENT_DELAY_TARGETS * self._context.longest_target_us)
            self._earliest_adjustment_at = self._context.now + delay_us
        factor = low_traffic_factor(self._context.load)
        in_flight = self._context.load.total()
        is_loaded = in_flight > UNRESTRICTED_UTILIZATION * self.limit
        self.latency.observe(latency_ratio, factor, is_loaded)
        if not self._is_starting():
            self._adjust(in_flight, factor)

    def utilization(self) -> float:
        """The share of the limit that is in use.

        The smaller the limit, the more the mean load counts, as two concurrent attempts may be chance.
        """
        load = self._context.load
        confidence = min(self.limit / FULL_CONFIDENCE_LOAD, 1.0)
        return (load.mean + confidence * (load.total() - load.mean)) / self.limit

    def _is_starting(self) -> bool:
        """Whether late responses may be due to new connections and to rates that are still building up."""
        return (
            self._context.now < self._earliest_adjustment_at and self.latency.late_share < MOSTLY_LATE_SHARE
        )

    def _adjust(self, in_flight: int, low_traffic_factor: float) -> None:
        """Shrink or grow the limit by how far the median latency ratio is from the allowed one."""
        adjustment_span_us = low_traffic_factor * self._context.longest_target_us
        elapsed_us = min(self._context.now - self.adjusted_at, adjustment_span_us * MAX_ELAPSED_TARGETS)
        self.adjusted_at = self._context.now
        allowed_median = self.latency.allowed_median(low_traffic_factor)
        excess = self._excess(low_traffic_factor, allowed_median)
        if excess > 0.0 and not self._is_overloaded():
            return  # responses are slower than usual, but in time
        if excess > 0.0:
            self.limit = min(self.limit, max(in_flight, self._context.load.mean / UNRESTRICTED_UTILIZATION))
        elif not self.has_rejected:
            return  # nothing indicates that the limit is too small
        self.has_rejected = False
        change = math.exp(-excess * elapsed_us / (TIME_CONSTANT_TARGETS * self._context.longest_target_us))
        needed = self._needed_limit(allowed_median, adjustment_span_us)
        self.limit = max(self.limit * change, min(needed, self.limit), MIN_LIMIT)

    def _needed_limit(self, allowed_median: float, span_us: float) -> float:
        """The limit that the current throughput needs, as delayed feedback would otherwise shrink it too far.

        By Little's law, the number of attempts in flight is the rate of successes times their latency.
        Their latency is taken as the allowed share of their latency target.
        """
        self._served_target_us.set_span(span_us)
        in_flight = allowed_median * self._served_target_us.per_us(self._context.now)
        return in_flight / UNRESTRICTED_UTILIZATION

    def _is_overloaded(self) -> bool:
        return self.latency.late_share >= ALLOWED_LATE_SHARE or self.cpu.is_saturated()

    def _excess(self, low_traffic_factor: float, allowed_median: float) -> float:
        """How far the load exceeds the allowed one, from -1 to 1; negative if it is below.

        Late responses from servers with idle cores are caused by a few slow servers, broken connections or
        delays of this process, not by overload.  Unless the reports show spare capacity, a busy balancer
        relies on responses alone, as they arrive sooner than reports.
        """
        excess = self.latency.excess(allowed_median)
        cpu_excess = self.cpu.excess()
        if cpu_excess is not None and (low_traffic_factor > 1.0 or self.cpu.has_spare_capacity()):
            excess = min(excess, cpu_excess)
        return max(-1.0, min(excess, 1.0))
