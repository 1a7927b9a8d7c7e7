"""Evaluates figures from the measurements in results files."""

from __future__ import annotations

import statistics
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from scale.capacity.figures import Figure
from scale.capacity.numbers import format_number
from scale.results import Measurement
from scale.slope import LinearFit, fit_line

Results = Mapping[str, Sequence[Measurement]]  # measurements by the name of their results file


@dataclass(frozen=True, slots=True)
class Evaluation:
    """The value of a figure, with its range and its origin.

    Attributes:
        value: The median of the measured values, or the value of a fitted line.
        minimum: The smallest of the values.
        maximum: The largest of the values.
        derivation: How the value was computed, as shown on the capacity page.
        runs: The results files, commits and seeds of the measurements, as shown on the capacity page.
        is_lower_bound: Whether a run ended before the event whose time is measured, such as the recovery.
    """

    value: float
    minimum: float
    maximum: float
    derivation: str
    runs: str
    is_lower_bound: bool = False


def evaluate_figure(figure: Figure, results: Results) -> Evaluation | None:
    """Evaluate a figure from its files' measurements; None if there are none, or only one size for a line."""
    selected: list[Measurement] = []
    runs = []
    for name in figure.results:
        run = [each for each in _select_run(figure, results.get(name, ())) if _matches(figure, each)]
        selected.extend(run)
        if run:
            runs.append(_describe_run(name, run))
    if not selected:
        return None
    if figure.against is not None and figure.at is not None:
        return _evaluate_line(figure, figure.against, figure.at, selected, "; ".join(runs))
    values = [each.value * figure.times for each in selected]
    derivation = "measured" if len(values) == 1 else f"measured, median of {len(values)}"
    if figure.processes:
        single_value = format_number(statistics.median(values) / figure.times)
        derivation = f"worked out: {single_value} {selected[0].unit} x {figure.processes}"
    is_lower_bound = any(each.labels.get("recovered") is False for each in selected)
    return Evaluation(
        statistics.median(values), min(values), max(values), derivation, "; ".join(runs), is_lower_bound
    )


def _describe_run(name: str, run: Sequence[Measurement]) -> str:
    seeds = sorted({int(each.labels.get("point_seed", each.seed)) for each in run})
    return f"{name}, {run[0].commit}, seed {', '.join(map(str, seeds))}"


def _select_run(figure: Figure, measurements: Sequence[Measurement]) -> list[Measurement]:
    commits = [each.commit for each in measurements if each.commit not in figure.not_commits]
    commit = figure.commit or (commits[-1] if commits else None)
    return [each for each in measurements if each.commit == commit]


def _matches(figure: Figure, measurement: Measurement) -> bool:
    if (measurement.role, measurement.metric) != (figure.role, figure.metric):
        return False
    if any(measurement.labels.get(name) != value for name, value in figure.where.items()):
        return False
    if figure.against is None:
        return True
    size = measurement.labels.get(figure.against)
    return isinstance(size, int | float) and (figure.up_to is None or size <= figure.up_to)


def _evaluate_line(
    figure: Figure, against: str, at: float, selected: Sequence[Measurement], runs: str
) -> Evaluation | None:
    sizes = [float(each.labels[against]) for each in selected]
    if len(set(sizes)) == 1:
        return None
    fit = fit_line(sizes, [each.value for each in selected])
    value = fit.value_at(at) * figure.times
    return Evaluation(value, value, value, _describe_line(figure, fit, against, at, selected[0].unit), runs)


def _describe_line(figure: Figure, fit: LinearFit, against: str, at: float, unit: str) -> str:
    measured_range = f"measured to {format_number(fit.largest_size)}"
    if at > fit.largest_size:
        measured_range += ", beyond that extrapolated"
    name = against.replace("_", " ")
    line = f"{format_number(fit.slope)} x {format_number(at)} {name}"
    line += f" {'-' if fit.intercept < 0.0 else '+'} {format_number(abs(fit.intercept))} {unit}"
    if figure.processes:
        line = f"({line}) x {figure.processes}"
    return f"worked out: {line}; {measured_range}, r2 {fit.r_squared:.2f}"
