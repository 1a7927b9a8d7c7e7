"""Fits a line to each metric in results files that was measured at several sizes, and tabulates the lines."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from scale.results import Measurement
from scale.slope import MINIMUM_DISTINCT_SIZES, LinearFit, fit_line
from scale.text_table import align_columns


@dataclass(frozen=True, slots=True)
class Series:
    """One metric of a role, measured at several sizes with all other labels equal."""

    experiment: str
    commit: str
    role: str
    metric: str
    unit: str
    other_labels: str  # all labels but the size, as name=value


@dataclass(frozen=True, slots=True)
class FittedSeries:
    """A series, its number of points and the line fitted to them."""

    series: Series
    points: int
    line: LinearFit


def fit_slopes(measurements: Sequence[Measurement], against: str) -> list[FittedSeries]:
    """Fit a line to each metric measured at two or more values of a label, all other labels equal."""
    points: dict[Series, list[Measurement]] = defaultdict(list)
    for each in measurements:
        if isinstance(each.labels.get(against), int | float):
            other_labels = " ".join(
                f"{name}={value}" for name, value in each.labels.items() if name != against
            )
            points[
                Series(each.experiment, each.commit, each.role, each.metric, each.unit, other_labels)
            ].append(each)
    fitted = []
    for series, measured in points.items():
        sizes = [float(each.labels[against]) for each in measured]
        if len(set(sizes)) >= MINIMUM_DISTINCT_SIZES:
            line = fit_line(sizes, [each.value for each in measured])
            fitted.append(FittedSeries(series, len(measured), line))
    return fitted


def format_slopes(fitted: Sequence[FittedSeries], at: float) -> str:
    """Format the lines as a plain-text table, with their values at the size `at`."""
    names = ("experiment", "commit", "role", "metric", "unit")
    figure_names = ("slope", "intercept", "r2", "largest", "points", f"at {at:g}")
    rows = [[*names, *figure_names, "other labels"]]
    for each in fitted:
        series, line = each.series, each.line
        figures = (
            line.slope,
            line.intercept,
            line.r_squared,
            line.largest_size,
            each.points,
            line.value_at(at),
        )
        labels = (series.experiment, series.commit, series.role, series.metric, series.unit)
        rows.append([*labels, *(f"{figure:.4g}" for figure in figures), series.other_labels])
    return "\n".join(align_columns(rows))
