"""Histograms of latencies."""

from __future__ import annotations

from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

_LOWEST_US, _HIGHEST_US, _DIGITS = 1, 120_000_000, 3


class LatencyHistogram:
    """Counts times in microseconds, to three digits."""

    def __init__(self, times_us: Sequence[float] = ()) -> None:
        self._histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
        for each in times_us:
            self.add(each)

    def add(self, time_us: float) -> None:
        """Count one time; those beyond the range count as its ends."""
        self._histogram.record_value(int(min(max(time_us, _LOWEST_US), _HIGHEST_US)))

    def quantile(self, percent: float) -> float:
        """The time that so many in 100 do not exceed, in microseconds; 0 when nothing was counted."""
        return float(self._histogram.get_value_at_percentile(percent))

    @property
    def count(self) -> int:
        """How many times were counted."""
        return int(self._histogram.get_total_count())
