"""Prediction of latency from the load that servers report before an attempt."""

from sidecar.balancer.policy.latency_ratio import UNANSWERED_LATENCY_RATIO
from sidecar.balancer.state import Attempt, LinearFit, Request

FIT_DECAY = 0.03  # weight of each response in the fit; about the last thirty count
FIT_MIN_SAMPLES = 5.0  # with fewer responses there is no prediction
# A latency ratio is capped at this many times the prediction, as congestion may have delayed the response.
MAX_PREDICTION_FACTOR = 3.0
MIN_RATIO_CAP = 0.2  # lower bound of that cap


class LatencyByLoad:
    """A linear fit of the latency ratio of responses against the load that their servers reported."""

    def __init__(self) -> None:
        """Create a fit without observations."""
        self._fit = LinearFit(FIT_DECAY, FIT_MIN_SAMPLES)

    def predict(self, load: float) -> float | None:
        """The expected latency ratio at this load; None with too few observations."""
        return self._fit.predict(load)

    def load_per_latency_ratio(self) -> float | None:
        """The mean load divided by the mean latency ratio; None with too few observations."""
        return self._fit.x_per_y()

    def observe_success(self, request: Request, attempt: Attempt, elapsed_us: int) -> None:
        """Observe a successful attempt whose server reported its load before.

        Args:
            request: The request of the attempt.
            attempt: The attempt.  It is ignored if it has no reported load.
            elapsed_us: How long it took, in microseconds.
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
