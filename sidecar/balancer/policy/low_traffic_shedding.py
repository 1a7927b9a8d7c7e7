"""Load shedding at low traffic, by decaying counts of timely and late responses.

With few requests in flight, a concurrency limit can't distinguish overload from two requests that overlap by
chance.
"""

from sidecar.balancer.policy.priority import traffic_rate_span_us
from sidecar.balancer.state import Context

ADMITTED_PER_TIMELY_RESPONSE = 1.2  # requests admitted for each timely response
PRIOR_TIMELY_COUNT = 2.0  # timely responses assumed in advance, as a few late ones may be chance
IDLE_CPU_UTILIZATION = 0.6  # below this, late responses come from a few slow servers, not from overload


class LowTrafficShedder:
    """Estimates the share of requests in excess of what servers respond to in time."""

    def __init__(self, context: Context) -> None:
        """Create a shedder without observations.

        Args:
            context: The shared state of the balancer.
        """
        self._context = context
        self._timely = context.settings_bound.new_rate(self._span_us)
        self._late = context.settings_bound.new_rate(self._span_us)
        self._shed = context.settings_bound.new_rate(self._span_us)

    def _span_us(self) -> float:
        return traffic_rate_span_us(self._context)

    def count_timely(self) -> None:
        """Count a response within its latency target."""
        self._timely.add(self._context.now)

    def count_late(self) -> None:
        """Count a response after its latency target, or an attempt that ended late without one."""
        self._late.add(self._context.now)

    def count_shed(self) -> None:
        """Count a request that was shed."""
        self._shed.add(self._context.now)

    def excess_share(self, cpu_utilization: float | None) -> float:
        """The share of new requests to shed, at median priority.

        Args:
            cpu_utilization: The mean CPU utilization that servers report, from 0 to 1; None without reports.

        Returns:
            The share; zero or negative if all requests can be admitted.
        """
        if cpu_utilization is not None and cpu_utilization < IDLE_CPU_UTILIZATION:
            return 0.0
        return 1.0 - self._admitted_share()

    def _admitted_share(self) -> float:
        """The share of requests to admit; it rises again as the counts of late and shed requests decay."""
        now = self._context.now
        span_us = self._span_us()
        timely = self._timely.per_us(now) * span_us + PRIOR_TIMELY_COUNT
        late_or_shed = (self._late.per_us(now) + self._shed.per_us(now)) * span_us
        # Attempts in flight indicate a surge before any of them is late.  With nothing late or shed they are
        # ignored, as they may be a mere burst.
        in_flight = min(late_or_shed, 1.0) * self._context.load.total()
        return ADMITTED_PER_TIMELY_RESPONSE * timely / (timely + late_or_shed + in_flight)
