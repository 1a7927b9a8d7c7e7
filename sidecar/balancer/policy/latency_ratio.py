"""Overload signal from responses: the median latency ratio and the share of late responses.

The latency ratio of a response is its latency divided by the latency target of its class.
"""

from sidecar.balancer.policy.low_traffic import MAX_LOW_TRAFFIC_FACTOR

ALLOWED_LATENCY_RATIO = 0.3  # a median above this indicates overload
ALLOWED_LATENCY_RATIO_LOW_TRAFFIC = 0.4  # the same at low traffic, where much of the median is chance
# Upper bound of what the baseline allows; otherwise lasting overload would become the baseline.
MAX_ALLOWED_LATENCY_RATIO = 0.5
BASELINE_HEADROOM_FACTOR = 1.2  # a median up to this many times the baseline is allowed
BASELINE_STEP_SHARE = 0.02  # share of MEDIAN_STEP by which the baseline may rise with each response
BASELINE_STEP_SHARE_UNDER_LOAD = 0.002  # the same while the concurrency limit restricts requests
MEDIAN_STEP = 0.04  # change of the running median with each response; it crosses its range in 25 responses
ALLOWED_LATE_SHARE = 0.05  # with a smaller share of late responses there is no overload
LATE_SHARE_SMOOTHING_FACTOR = 0.02  # weight of each response in the late share; about the last fifty count
UNANSWERED_LATENCY_RATIO = 2.0  # assumed for an attempt without a response, which would have been very late
MAX_MEDIAN = 1.0  # bounds the median at the latency target, so that it recovers soon after overload


class LatencyRatioTracker:
    """Running estimates of the median latency ratio and of the share of late responses.

    The median is used because a few slow servers or expensive requests do not mean overload.

    Attributes:
        median: The running median.
        late_share: The moving average of the share of responses after their latency target.
    """

    def __init__(self) -> None:
        """Create a tracker that has observed no response."""
        self.median = 0.0
        self.late_share = 0.0
        self._baseline: float | None = None  # lowest recent value of the median

    def has_samples(self) -> bool:
        """Whether a response was observed."""
        return self._baseline is not None

    def rescale(self, factor: float) -> None:
        """Adapt to latency targets that are longer by this factor."""
        self.median = min(self.median / factor, MAX_MEDIAN)
        if self._baseline is not None:
            self._baseline = min(self._baseline / factor, MAX_MEDIAN)

    def observe(self, latency_ratio: float, low_traffic_factor: float, is_loaded: bool) -> None:
        """Observe a response.

        Args:
            latency_ratio: Its latency ratio.
            low_traffic_factor: The factor by which steps are enlarged where there are few samples.
            is_loaded: Whether the concurrency limit restricts requests; the baseline then rises more slowly.
        """
        if self._baseline is None:
            self.median = min(latency_ratio, ALLOWED_LATENCY_RATIO)
            self._baseline = self.median
        self._update_median(latency_ratio, low_traffic_factor)
        late_sample = 1.0 if latency_ratio > 1.0 else 0.0
        self.late_share += low_traffic_factor * LATE_SHARE_SMOOTHING_FACTOR * (late_sample - self.late_share)
        step_share = BASELINE_STEP_SHARE_UNDER_LOAD if is_loaded else BASELINE_STEP_SHARE
        risen_baseline = self._baseline + step_share * MEDIAN_STEP
        self._baseline = min(risen_baseline, max(self.median, MEDIAN_STEP))

    def _update_median(self, latency_ratio: float, low_traffic_factor: float) -> None:
        step = low_traffic_factor * MEDIAN_STEP
        if latency_ratio <= self.median:
            step = -step
        self.median = max(0.0, min(self.median + step, MAX_MEDIAN))

    def allowed_median(self, low_traffic_factor: float) -> float:
        """The median above which there is overload.

        The fewer responses there are, the more of the median is chance, so the more is allowed.

        Args:
            low_traffic_factor: The factor of `low_traffic`, which is larger with fewer responses.
        """
        baseline = self._baseline if self._baseline is not None else 0.0
        allowed_by_baseline = max(ALLOWED_LATENCY_RATIO, BASELINE_HEADROOM_FACTOR * baseline)
        chance_share = (low_traffic_factor - 1.0) / (MAX_LOW_TRAFFIC_FACTOR - 1.0)
        low_traffic_allowance = ALLOWED_LATENCY_RATIO_LOW_TRAFFIC - ALLOWED_LATENCY_RATIO
        allowed_by_chance = ALLOWED_LATENCY_RATIO + chance_share * low_traffic_allowance
        return max(min(allowed_by_baseline, MAX_ALLOWED_LATENCY_RATIO), allowed_by_chance)

    def excess(self, allowed_median: float) -> float:
        """How far the median exceeds the allowed one, relative to the latter; negative if it is below."""
        return (self.median - allowed_median) / allowed_median
