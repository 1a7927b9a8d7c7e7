"""Overload signal from load reports: the average CPU utilization of the servers."""

from collections.abc import Mapping

UTILIZATION_FIELD = "util"  # name in load reports: the utilization of all cores, from 0 to 1
UTILIZATION_SMOOTHING_FACTOR = 0.1  # weight of each report; about the last ten count
# Below this, even a busy balancer relies on reports, although they lag behind a surge.
SPARE_CPU_UTILIZATION = 0.4
BUSY_CPU_UTILIZATION = 0.85  # below this, there is capacity left
SATURATED_CPU_UTILIZATION = 0.95  # from this on, there is overload, even before responses are late
# Reports from this on are invalid; values slightly above 1 may be measurement noise at full utilization.
INVALID_CPU_UTILIZATION = 2.0


class CpuUtilizationTracker:
    """An exponentially weighted moving average (EWMA) of the reported utilization.

    Attributes:
        utilization: The average, from 0 to 1; None if no server reports it.
    """

    def __init__(self) -> None:
        """Create a tracker that has observed no report."""
        self.utilization: float | None = None

    def observe(self, report: Mapping[str, float] | None) -> None:
        """Observe the load report of a response; ignored if it is missing or has no valid utilization."""
        reported = (report or {}).get(UTILIZATION_FIELD, INVALID_CPU_UTILIZATION)
        if reported < INVALID_CPU_UTILIZATION:
            utilization = min(max(reported, 0.0), 1.0)
            if self.utilization is None:
                self.utilization = utilization
            else:
                self._update_average(utilization)

    def observe_missing_report(self) -> None:
        """Count an unresponsive server as saturated, as the average of the other servers would be too low."""
        if self.utilization is not None:
            self._update_average(1.0)

    def _update_average(self, utilization: float) -> None:
        if self.utilization is not None:
            self.utilization += UTILIZATION_SMOOTHING_FACTOR * (utilization - self.utilization)

    def is_saturated(self) -> bool:
        """Whether the reports alone indicate overload."""
        return self.utilization is not None and self.utilization >= SATURATED_CPU_UTILIZATION

    def has_spare_capacity(self) -> bool:
        """Whether the reports show so much idle capacity that late responses can't be due to overload."""
        return self.utilization is not None and self.utilization < SPARE_CPU_UTILIZATION

    def excess(self) -> float | None:
        """How far the average exceeds the busy one, as a share of what is left; None without reports."""
        if self.utilization is None:
            return None
        return (self.utilization - BUSY_CPU_UTILIZATION) / (1.0 - BUSY_CPU_UTILIZATION)
