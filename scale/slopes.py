"""Lines through all metrics measured at two or more sizes, and their values at another size."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from scale.results import Measurement
from scale.slope import MINIMUM_SIZES, Slope, fit_slope
from scale.text_table import align_columns


@dataclass(frozen=True, slots=True)
class Series:
    """One metric of a role, measured at several sizes with all other labels equal."""

    experiment: str
    commit: str
    role: str
    metric: str
    unit: str
    alike: str  # the labels other than the size


@dataclass(frozen=True, slots=True)
class FittedSeries:
    """A series and its line."""

    series: Series
    points: int
    slope: Slope


def fit_slopes(measurements: Sequence[Measurement], against: str) -> list[FittedSeries]:
    """Fit a line to each metric measured at two or more values of a label, all other labels equal."""
    points: dict[Series, list[Measurement]] = defaultdict(list)
    for each in measurements:
        if isinstance(each.labels.get(against), int | float):
            alike = " ".join(f"{name}={value}" for name, value in each.labels.items() if name != against)
            points[Series(each.experiment, each.commit, each.role, each.metric, each.unit, alike)].append(
                each
            )
    fitted = []
    for series, measured in points.items():
        sizes = [float(each.labels[against]) for each in measured]
        if len(set(sizes)) >= MINIMUM_SIZES:
            slope = fit_slope(sizes, [each.value for each in measured])
            fitted.append(FittedSeries(series, len(measured), slope))
    return fitted


def format_slopes(fitted: Sequence[FittedSeries], at: float) -> str:
    """Format a plain-text table: slope, value at zero, fit, largest measured size, and value at `at`."""
    names = ("experiment", "commit", "role", "metric", "unit")
    figure_names = ("per unit", "at zero", "r2", "largest", "points", f"at {at:g}")
    rows = [[*names, *figure_names, "alike"]]
    for each in fitted:
        series, slope = each.series, each.slope
        figures = (slope.per_unit, slope.at_zero, slope.r_squared, slope.largest, each.points, slope.at(at))
        labels = (series.experiment, series.commit, series.role, series.metric, series.unit)
        rows.append([*labels, *(f"{figure:.4g}" for figure in figures), series.alike])
    return "\n".join(align_columns(rows))
