"""A histogram of latencies, which processes can exchange in encoded form."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Self

from hdrh.histogram import HdrHistogram

_LOWEST_US, _HIGHEST_US = 1, 3_600_000_000
_SIGNIFICANT_DIGITS = 3
_MICROSECONDS_PER_SECOND = 1e6


class LatencyHistogram:
    """Records times from a microsecond to an hour, to three significant digits."""

    def __init__(self, times_us: Iterable[float] = ()) -> None:
        """Create a histogram of the given times, in microseconds."""
        self._histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)
        for each in times_us:
            self.add(each)

    def add(self, time_us: float) -> None:
        """Record one time in microseconds; a time out of range is clamped to the range."""
        self._histogram.record_value(int(min(max(time_us, _LOWEST_US), _HIGHEST_US)))

    def add_seconds(self, time_s: float) -> None:
        """Record one time in seconds."""
        self.add(round(time_s * _MICROSECONDS_PER_SECOND))

    def percentile(self, percentile: float) -> float:
        """Return a percentile of the recorded times in microseconds; 0 if no times were recorded."""
        return float(self._histogram.get_value_at_percentile(percentile))

    def percentile_seconds(self, percentile: float) -> float:
        """Return a percentile of the recorded times in seconds; 0 if no times were recorded."""
        return self.percentile(percentile) / _MICROSECONDS_PER_SECOND

    @property
    def count(self) -> int:
        """The number of recorded times."""
        return int(self._histogram.get_total_count())

    def merge(self, other: LatencyHistogram) -> None:
        """Add all times recorded by another histogram."""
        self._histogram.add(other._histogram)

    def encode(self) -> str:
        """Return HdrHistogram's compressed encoding in ASCII."""
        return str(self._histogram.encode().decode("ascii"))

    @classmethod
    def decode(cls, encoded: str) -> Self:
        """Create a histogram from the result of `encode`."""
        histogram = cls()
        histogram._histogram.add(HdrHistogram.decode(encoded))
        return histogram
