"""The capacity page's tables, worked out of results files as `figures.toml` beside them says.

A figure is a measured value, or a line through the values measured at several sizes, taken at the design
size; either may then be multiplied by a number of processes.
"""

from __future__ import annotations

import re
import statistics
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from scale.errors import InvalidKeyError, UnmatchedTableError
from scale.experiment import read_experiment_file
from scale.report import Slope, fit_slope
from scale.results import Label, Measurement, read_results

NOT_RUN = "not run yet"
MISSING = "missing"  # the table of what has a rank
_SIGNIFICANT = 3
_HEADER = ("what", "figure", "budget", "how it was found", "run", "carried by")
_BLOCK = re.compile(r"(<!-- table: (?P<name>[a-z-]+) -->\n).*?(<!-- end of table -->)", re.DOTALL)


Results = Mapping[str, Sequence[Measurement]]  # by the name of their file


class Figure(BaseModel):
    """One row of a table: which measurements it takes, and what is made of them."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    table: str
    what: str
    results: list[str] = Field(min_length=1)  # names of results files without their ending, each a run
    role: str
    metric: str
    where: dict[str, Label] = {}  # labels that the measurements must have
    commit: str | None = None  # of the runs; otherwise that of each file's last line
    not_commits: list[str] = []  # runs that this figure must not come from
    against: str | None = None  # label of the size that a line is fitted to
    at: float | None = None  # size at which the line is taken
    up_to: float | None = None  # largest size that the line is fitted to
    times: float = 1.0  # unit, or how many processes there are
    processes: str = ""  # what the multiplication stands for, if it is more than a unit
    unit: str = ""
    budget: float | None = Field(default=None, gt=0.0)  # in the same unit
    budget_is_least: bool = False  # whether more than the budget is better than less
    carried_by: str
    rank: int | None = None  # among what is missing; such figures stand in that table as well
    missing: str = ""  # what they are called there


class FigureFile(BaseModel):
    """All figures of the page."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    figures: list[Figure]


@dataclass(frozen=True, slots=True)
class Found:
    """What a figure came to."""

    value: float
    least: float
    most: float
    how: str
    run: str
    at_least: bool = False  # whether the run ended before what was timed


def read_figures(path: Path) -> list[Figure]:
    """Read the figures; raise ExperimentError in one line that names the key at fault."""
    try:
        return FigureFile.model_validate(read_experiment_file(path)).figures
    except ValidationError as error:
        raise InvalidKeyError.from_validation(error, root="figures") from error


def find_figure(figure: Figure, results: Results) -> Found | None:
    """Work a figure out of its files' measurements; None if no run gave it yet."""
    chosen: list[Measurement] = []
    runs = []
    for name in figure.results:
        run = [each for each in _choose_run(figure, results.get(name, ())) if _matches(figure, each)]
        chosen.extend(run)
        if run:
            runs.append(_describe_run(name, run))
    if not chosen:
        return None
    if figure.against is not None and figure.at is not None:
        return _fitted(figure, figure.against, figure.at, chosen, "; ".join(runs))
    values = [each.value * figure.times for each in chosen]
    how = "measured" if len(values) == 1 else f"measured, median of {len(values)}"
    if figure.processes:
        one = format_number(statistics.median(values) / figure.times)
        how = f"worked out: {one} {chosen[0].unit} x {figure.processes}"
    ended_early = any(each.labels.get("recovered") is False for each in chosen)
    return Found(statistics.median(values), min(values), max(values), how, "; ".join(runs), ended_early)


def _describe_run(name: str, run: Sequence[Measurement]) -> str:
    seeds = sorted({int(each.labels.get("point_seed", each.seed)) for each in run})
    return f"{name}, {run[0].commit}, seed {', '.join(map(str, seeds))}"


def _choose_run(figure: Figure, measurements: Sequence[Measurement]) -> list[Measurement]:
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


def _fitted(figure: Figure, against: str, at: float, chosen: Sequence[Measurement], run: str) -> Found | None:
    sizes = [float(each.labels[against]) for each in chosen]
    if len(set(sizes)) == 1:
        return None
    slope = fit_slope(sizes, [each.value for each in chosen])
    value = slope.at(at) * figure.times
    return Found(value, value, value, _describe_line(figure, slope, against, at, chosen[0].unit), run)


def _describe_line(figure: Figure, slope: Slope, against: str, at: float, unit: str) -> str:
    reach = f"measured to {format_number(slope.largest)}"
    if at > slope.largest:
        reach += ", beyond that extrapolated"
    name = against.replace("_", " ")
    line = f"{format_number(slope.per_unit)} x {format_number(at)} {name}"
    line += f" {'-' if slope.at_zero < 0.0 else '+'} {format_number(abs(slope.at_zero))} {unit}"
    if figure.processes:
        line = f"({line}) x {figure.processes}"
    return f"worked out: {line}; {reach}, r2 {slope.r_squared:.2f}"


def format_number(value: float) -> str:
    """A number with three significant digits, thousands apart, and no exponent."""
    if value == 0.0:
        return "0"
    rounded = float(f"{value:.{_SIGNIFICANT}g}")
    if abs(rounded) >= 100.0:
        return f"{value:,.0f}" if abs(value) < 10_000.0 else f"{rounded:,.0f}"
    text = f"{rounded:.10f}".rstrip("0").rstrip(".")
    return "0" if text == "-0" else text


def _format_value(figure: Figure, found: Found) -> str:
    text = format_number(found.value)
    least, most = format_number(found.least), format_number(found.most)
    if least != most:
        text += f" ({least} to {most})"
    text = f"{'at least ' if found.at_least else ''}{text} {figure.unit}".strip()
    return f"**{text}**" if _is_missed(figure, found) else text


def _is_missed(figure: Figure, found: Found) -> bool:
    """Whether any of the values is beyond the budget."""
    if figure.budget is None:
        return False
    return found.least < figure.budget if figure.budget_is_least else found.most > figure.budget


def _format_budget(figure: Figure, found: Found | None) -> str:
    if figure.budget is None:
        return ""
    bound = "at least " if figure.budget_is_least else ""
    text = f"{bound}{format_number(figure.budget)} {figure.unit}".strip()
    if found is not None and not figure.budget_is_least and found.most > figure.budget:
        text += f" (x {format_number(found.most / figure.budget)})"
    return text


def format_figures(figures: Sequence[Figure], results: Results) -> str:
    """A Markdown table; what is over its budget is bold."""
    rows = [_HEADER, tuple("---" for _ in _HEADER)]
    for figure in figures:
        found = find_figure(figure, results)
        value, how, run = NOT_RUN, "", ", ".join(figure.results)
        if found is not None:
            value, how, run = _format_value(figure, found), found.how, found.run
        rows.append((figure.what, value, _format_budget(figure, found), how, run, figure.carried_by))
    return "".join(f"| {' | '.join(row)} |\n" for row in rows)


def _rank(figures: Sequence[Figure]) -> list[Figure]:
    """The figures of what is missing, in order, as rows of a table of their own."""
    ranked = sorted((figure.rank, index) for index, figure in enumerate(figures) if figure.rank is not None)
    return [
        figures[index].model_copy(update={"table": MISSING, "what": f"{rank}. {figures[index].missing}"})
        for rank, index in ranked
    ]


def fill_page(text: str, figures: Sequence[Figure], folder: Path) -> str:
    """Put the tables between a page's marks.

    Raise ExperimentError for a mark without figures, or figures without a mark.
    """
    results: dict[str, Sequence[Measurement]] = {}
    for name in {name for figure in figures for name in figure.results}:
        path = folder / f"{name}.jsonl"
        results[name] = read_results([path]) if path.exists() else []
    shown = [*figures, *_rank(figures)]
    wanted = {match["name"] for match in _BLOCK.finditer(text)}
    known = {figure.table for figure in shown}
    if wanted != known:
        raise UnmatchedTableError(wanted ^ known)

    def fill(match: re.Match[str]) -> str:
        chosen = [figure for figure in shown if figure.table == match["name"]]
        return f"{match[1]}{format_figures(chosen, results)}{match[3]}"

    return _BLOCK.sub(fill, text)
