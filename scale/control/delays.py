"""Histograms of the time from a change to its being in force."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_DIGITS = 3


def new_histogram() -> HdrHistogram:
    """An empty histogram of times in microseconds, up to an hour."""
    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)


def record_seconds(histogram: HdrHistogram, delay_s: float) -> None:
    """Count a time."""
    histogram.record_value(max(round(delay_s * 1e6), _LOWEST_US))


def seconds_at(histogram: HdrHistogram, percentile: float) -> float:
    """The time that so many in a hundred did not exceed."""
    return float(histogram.get_value_at_percentile(percentile)) / 1e6
