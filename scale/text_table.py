"""Formats tables in plain text."""

from __future__ import annotations

from collections.abc import Callable, Sequence


def align_columns(rows: Sequence[Sequence[str]], justify: Callable[[str, int], str] = str.ljust) -> list[str]:
    """Pad the cells so that columns line up, two spaces apart.

    Args:
        rows: The cells; all rows have the same number of them.
        justify: Pads one cell to a width: `str.ljust` or `str.rjust`.

    Returns:
        One line per row, without trailing spaces.
    """
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = ("  ".join(map(justify, row, widths)) for row in rows)
    return [line.rstrip() for line in lines]
