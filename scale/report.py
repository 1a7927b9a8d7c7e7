"""Formats results as a plain-text table."""

from __future__ import annotations

from collections.abc import Sequence

from scale.results import Measurement
from scale.text_table import align_columns


def format_table(measurements: Sequence[Measurement]) -> str:
    """Format all measurements as a plain-text table, in the order they were taken."""
    header = ("experiment", "commit", "seed", "role", "metric", "value", "unit", "point")
    rows = [header]
    for each in measurements:
        point = " ".join(f"{name}={value}" for name, value in each.labels.items())
        row = (
            each.experiment,
            each.commit,
            str(each.seed),
            each.role,
            each.metric,
            f"{each.value:.6g}",
            each.unit,
            point,
        )
        rows.append(row)
    return "\n".join(align_columns(rows))
