"""Fits a straight line to measured points."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from scale.errors import TooFewSizesError

MINIMUM_DISTINCT_SIZES = 2  # fewer do not determine a line


@dataclass(frozen=True, slots=True)
class LinearFit:
    """A straight line fitted to measured points: value = intercept + slope * size."""

    slope: float
    intercept: float
    r_squared: float  # share of the variance that the line explains
    largest_size: float  # largest measured size; beyond it the line is extrapolated

    def value_at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> LinearFit:
    """Fit a line by least squares.

    Raises:
        TooFewSizesError: All sizes are equal.
    """
    if len(set(sizes)) < MINIMUM_DISTINCT_SIZES:
        raise TooFewSizesError
    slope, intercept = np.polyfit(sizes, values, 1)
    expected = intercept + slope * np.asarray(sizes)
    residual = float(np.sum((np.asarray(values) - expected) ** 2))
    variance = float(np.sum((np.asarray(values) - np.mean(values)) ** 2))
    r_squared = 1.0 - residual / variance if variance > 0.0 else 1.0
    return LinearFit(float(slope), float(intercept), r_squared, float(max(sizes)))
