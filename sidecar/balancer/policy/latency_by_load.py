"""Prediction of latency by the load that servers report before an attempt."""

from sidecar.balancer.policy.latency_ratio import UNANSWERED_LATENCY_RATIO
from sidecar.balancer.state import Attempt, LinearFit, Request

FIT_DECAY = 0.03  # weight of each response in the fit: the last thirty or so count
FIT_MIN_SAMPLES = 5.0  # fewer responses allow no prediction
MAX_PREDICTION_FACTOR = 3.0  # a response counts at most as so many times the prediction: it may be congestion
MIN_RATIO_CAP = 0.2  # but for this latency ratio in any case


class LatencyByLoad:
    """A linear fit of the latency ratio of responses by the reported load of their servers."""

    def __init__(self) -> None:
        """Create a fit without observations."""
        self._fit = LinearFit(FIT_DECAY, FIT_MIN_SAMPLES)

    def predict(self, load: float) -> float | None:
        """The latency ratio to expect at this load; None before there are enough observations."""
        return self._fit.predict(load)

    def load_per_latency_ratio(self) -> float | None:
        """The mean load over the mean latency ratio; None before there are enough observations."""
        return self._fit.x_per_y()

    def observe_success(self, request: Request, attempt: Attempt, elapsed_us: int) -> None:
        """Learn from a successful attempt whose server reported its load before.

        Args:
            request: The request of the attempt.
            attempt: The attempt; without a reported load it is ignored.
            elapsed_us: How long it took.
        """
        if attempt.reported_load is None:
            return
        predicted = self._fit.predict(attempt.reported_load)
        if predicted is None:
            max_ratio = UNANSWERED_LATENCY_RATIO
        else:
            max_ratio = max(MAX_PREDICTION_FACTOR * predicted, MIN_RATIO_CAP)
        latency_ratio = elapsed_us / request.service_class.latency_target_us
        self._fit.add(attempt.reported_load, min(latency_ratio, max_ratio))
