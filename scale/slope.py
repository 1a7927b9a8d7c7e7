"""A straight line through measured points."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from scale.errors import TooFewSizesError

MINIMUM_SIZES = 2  # fewer different sizes give no line


@dataclass(frozen=True, slots=True)
class Slope:
    """A straight line through measured points: value = at_zero + per_unit * size."""

    per_unit: float
    at_zero: float
    r_squared: float  # share of the variance that the line explains
    largest: float  # largest size measured: beyond it the line is extrapolated

    def at(self, size: float) -> float:
        """Return the value expected at a size."""
        return self.at_zero + self.per_unit * size


def fit_slope(sizes: Sequence[float], values: Sequence[float]) -> Slope:
    """Fit a line by least squares.

    Raises:
        TooFewSizesError: All sizes are equal.
    """
    if len(set(sizes)) < MINIMUM_SIZES:
        raise TooFewSizesError
    per_unit, at_zero = np.polyfit(sizes, values, 1)
    expected = at_zero + per_unit * np.asarray(sizes)
    residual = float(np.sum((np.asarray(values) - expected) ** 2))
    variance = float(np.sum((np.asarray(values) - np.mean(values)) ** 2))
    r_squared = 1.0 - residual / variance if variance > 0.0 else 1.0
    return Slope(float(per_unit), float(at_zero), r_squared, float(max(sizes)))
