"""Numbers as the capacity page shows them."""

from __future__ import annotations

_SIGNIFICANT = 3


def format_number(value: float) -> str:
    """A number with three significant digits, thousands apart, and no exponent."""
    if value == 0.0:
        return "0"
    rounded = float(f"{value:.{_SIGNIFICANT}g}")
    if abs(rounded) >= 100.0:
        return f"{value:,.0f}" if abs(value) < 10_000.0 else f"{rounded:,.0f}"
    text = f"{rounded:.10f}".rstrip("0").rstrip(".")
    return "0" if text == "-0" else text
