"""Plots each metric against the size that was varied."""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt

from scale.results import Measurement
from scale.slope import MINIMUM_DISTINCT_SIZES


def write_plots(measurements: Sequence[Measurement], against: str, folder: Path) -> list[Path]:
    """Plot each metric that was measured at two or more values of a label.

    Args:
        measurements: The measurements to plot.
        against: The label on the horizontal axis; measurements without a number there are skipped.
        folder: Where to write the plots; created if it does not exist.

    Returns:
        The paths of the plots, one PNG for each metric.
    """
    series: dict[tuple[str, str, str], list[Measurement]] = defaultdict(list)
    for each in measurements:
        if isinstance(each.labels.get(against), int | float):
            series[(each.role, each.metric, each.unit)].append(each)
    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for (role, metric, unit), points in series.items():
        if len({point.labels[against] for point in points}) < MINIMUM_DISTINCT_SIZES:
            continue
        path = folder / (re.sub(r"[^a-z0-9]+", "-", f"{role}-{metric}".lower()) + ".png")
        _write_plot(points, against, f"{role}: {metric}", unit, path)
        paths.append(path)
    return paths


def _write_plot(points: Sequence[Measurement], against: str, title: str, unit: str, path: Path) -> None:
    groups: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for point in points:
        other_labels = [f"{name}={value}" for name, value in point.labels.items() if name != against]
        size = float(point.labels[against])
        groups[" ".join([point.experiment, point.commit, *other_labels])].append((size, point.value))
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
