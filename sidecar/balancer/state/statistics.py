"""Running statistics of events: a decaying linear fit and a decaying rate."""

import math


class LinearFit:
    """A least-squares line through exponentially decaying observations."""

    __slots__ = ("_kept_weight", "_min_samples", "_sums")

    def __init__(self, decay: float, min_samples: float) -> None:
        """Create a fit without observations.

        Args:
            decay: The share by which each new observation reduces the weight of all earlier ones.
            min_samples: The sum of weights below which there are no predictions.
        """
        self._kept_weight = 1.0 - decay
        self._min_samples = min_samples
        self._sums = (0.0, 0.0, 0.0, 0.0, 0.0)  # weighted sums of 1, x, y, x * x and x * y

    def add(self, x: float, y: float) -> None:
        """Add an observation."""
        n, sum_x, sum_y, sum_xx, sum_xy = [self._kept_weight * weighted_sum for weighted_sum in self._sums]
        self._sums = (n + 1.0, sum_x + x, sum_y + y, sum_xx + x * x, sum_xy + x * y)

    def x_per_y(self) -> float | None:
        """The sum of x divided by the sum of y; None with too few observations."""
        n, sum_x, sum_y, _, _ = self._sums
        return sum_x / sum_y if n >= self._min_samples and sum_y > 0.0 else None

    def predict(self, x: float) -> float | None:
        """The expected y at x, which never decreases with x; None with too few observations."""
        n, sum_x, sum_y, sum_xx, sum_xy = self._sums
        if n < self._min_samples:
            return None
        mean_x = sum_x / n
        mean_y = sum_y / n
        variance = sum_xx / n - mean_x * mean_x
        covariance = sum_xy / n - mean_x * mean_y
        slope = max(covariance, 0.0) / (variance + 1.0)
        return mean_y + slope * (x - mean_x)


class DecayingRate:
    """A rate per microsecond, averaged over an exponentially decaying time span."""

    __slots__ = ("_count", "_span_us", "_updated_at")

    def __init__(self, span_us: float) -> None:
        """Create a rate of 0.

        Args:
            span_us: The time constant of the decay, in microseconds.
        """
        self._span_us = span_us
        self._count = 0.0
        self._updated_at = 0

    def set_span(self, span_us: float) -> None:
        """Change the time constant of the decay, in microseconds; the rate stays the same."""
        self._count *= span_us / self._span_us
        self._span_us = span_us

    def add(self, now: int, amount: float = 1.0) -> None:
        """Count an amount at clock time `now`, in microseconds."""
        self._decay(now)
        self._count += amount

    def per_us(self, now: int) -> float:
        """The rate per microsecond at clock time `now`, in microseconds."""
        self._decay(now)
        return self._count / self._span_us

    def _decay(self, now: int) -> None:
        if now > self._updated_at:
            self._count *= math.exp((self._updated_at - now) / self._span_us)
            self._updated_at = now
