"""Formats numbers for the capacity page."""

from __future__ import annotations

_SIGNIFICANT_DIGITS = 3
_SMALLEST_WITHOUT_FRACTION = 100.0  # from here on, three significant digits leave no fraction
_SMALLEST_ROUNDED = 10_000.0  # from here on, digits beyond the significant ones become zeros


def format_number(value: float) -> str:
    """Format a number with three significant digits, thousands separators and no exponent."""
    if value == 0.0:
        return "0"
    rounded = float(f"{value:.{_SIGNIFICANT_DIGITS}g}")
    if abs(rounded) >= _SMALLEST_WITHOUT_FRACTION:
        return f"{value:,.0f}" if abs(value) < _SMALLEST_ROUNDED else f"{rounded:,.0f}"
    text = f"{rounded:.10f}".rstrip("0").rstrip(".")
    return "0" if text == "-0" else text
