"""Overload signal from load reports: how busy the servers' cores are on average."""

from collections.abc import Mapping

UTILIZATION_FIELD = "util"  # of load reports: the utilization as a share of all cores
UTILIZATION_SMOOTHING_FACTOR = 0.1  # weight of each report in the moving average: the last ten or so count
SPARE_CPU_UTILIZATION = 0.4  # below this, also a busy balancer goes by reports, which lag behind a surge
BUSY_CPU_UTILIZATION = 0.85  # below this there is capacity left
SATURATED_CPU_UTILIZATION = 0.95  # from this on there is overload, even before responses are late
INVALID_CPU_UTILIZATION = 2.0  # from this on a report is invalid; less may be noise about a full share


class CpuUtilizationTracker:
    """An exponentially weighted moving average (EWMA) of the reported utilization.

    Attributes:
        utilization: The average, from 0 to 1; None if no server reports it.
    """

    def __init__(self) -> None:
        """Create a tracker that has seen no report."""
        self.utilization: float | None = None

    def observe(self, report: Mapping[str, float] | None) -> None:
        """Take in the load report of a response, if there is one with a valid utilization."""
        reported = (report or {}).get(UTILIZATION_FIELD, INVALID_CPU_UTILIZATION)
        if reported < INVALID_CPU_UTILIZATION:
            utilization = min(max(reported, 0.0), 1.0)
            if self.utilization is None:
                self.utilization = utilization
            else:
                self._approach(utilization)

    def observe_missing_report(self) -> None:
        """Count an unresponsive server as saturated: the reports of others alone would be too low."""
        if self.utilization is not None:
            self._approach(1.0)

    def _approach(self, utilization: float) -> None:
        if self.utilization is not None:
            self.utilization += UTILIZATION_SMOOTHING_FACTOR * (utilization - self.utilization)

    def is_saturated(self) -> bool:
        """Whether reports by themselves indicate overload."""
        return self.utilization is not None and self.utilization >= SATURATED_CPU_UTILIZATION

    def has_spare_capacity(self) -> bool:
        """Whether reports indicate so much idle capacity that late responses can't be overload."""
        return self.utilization is not None and self.utilization < SPARE_CPU_UTILIZATION

    def excess(self) -> float | None:
        """How far the utilization is beyond busy, relative to what is left; None without reports."""
        if self.utilization is None:
            return None
        return (self.utilization - BUSY_CPU_UTILIZATION) / (1.0 - BUSY_CPU_UTILIZATION)
