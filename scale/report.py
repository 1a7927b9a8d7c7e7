"""Reports: results files as a table, and as plots of each metric against the size that was varied."""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt
import numpy as np

from scale.errors import TooFewSizesError
from scale.results import Measurement

_LEAST_POINTS = 2  # fewer give no line


@dataclass(frozen=True, slots=True)
class Slope:
    """A straight line through measured points: value = at_zero + per_unit * size."""

    per_unit: float
    at_zero: float
    r_squared: float  # share of the variance that the line explains
    largest: float  # largest size measured: beyond it the line is extrapolated

    def at(self, size: float) -> float:
        """The value expected at a size."""
        return self.at_zero + self.per_unit * size


def fit_slope(sizes: Sequence[float], values: Sequence[float]) -> Slope:
    """Fit a line by least squares; raise TooFewSizesError with fewer than two different sizes."""
    if len(set(sizes)) < _LEAST_POINTS:
        raise TooFewSizesError
    per_unit, at_zero = np.polyfit(sizes, values, 1)
    expected = at_zero + per_unit * np.asarray(sizes)
    residual = float(np.sum((np.asarray(values) - expected) ** 2))
    variance = float(np.sum((np.asarray(values) - np.mean(values)) ** 2))
    r_squared = 1.0 - residual / variance if variance > 0.0 else 1.0
    return Slope(float(per_unit), float(at_zero), r_squared, float(max(sizes)))


def format_table(measurements: Sequence[Measurement]) -> str:
    """All figures as a plain-text table, in the order they were measured."""
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
    widths = [max(len(row[column]) for row in rows) for column in range(len(header))]
    lines = ("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)) for row in rows)
    return "\n".join(line.rstrip() for line in lines)


def write_plots(measurements: Sequence[Measurement], against: str, folder: Path) -> list[Path]:
    """Plot each metric that was measured at two or more values of the label `against`; one PNG each."""
    series: dict[tuple[str, str, str], list[Measurement]] = defaultdict(list)
    for each in measurements:
        if isinstance(each.labels.get(against), int | float):
            series[(each.role, each.metric, each.unit)].append(each)
    folder.mkdir(parents=True, exist_ok=True)
    written = []
    for (role, metric, unit), points in series.items():
        if len({point.labels[against] for point in points}) < _LEAST_POINTS:
            continue
        path = folder / (re.sub(r"[^a-z0-9]+", "-", f"{role}-{metric}".lower()) + ".png")
        _write_plot(points, against, f"{role}: {metric}", unit, path)
        written.append(path)
    return written


def _write_plot(points: Sequence[Measurement], against: str, title: str, unit: str, path: Path) -> None:
    groups: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for point in points:
        others = [f"{name}={value}" for name, value in point.labels.items() if name != against]
        size = float(point.labels[against])
        groups[" ".join([point.experiment, point.commit, *others])].append((size, point.value))
    figure, axes = plt.subplots(figsize=(8.0, 5.0), layout="constrained")
    for label, pairs in groups.items():
        sizes, values = zip(*sorted(pairs), strict=True)
        axes.plot(sizes, values, marker="o", label=label)
    axes.set_title(title)
    axes.set_xlabel(against)
    axes.set_ylabel(unit)
    axes.legend(fontsize="x-small")
    figure.savefig(path, dpi=100)
    plt.close(figure)
