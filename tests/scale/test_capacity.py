"""The tables of the capacity page: the measurements that a figure selects, and their evaluation."""

from __future__ import annotations

from pathlib import Path

import pytest

from scale.capacity.evaluation import evaluate_figure
from scale.capacity.figures import Figure, read_figures
from scale.capacity.numbers import format_number
from scale.capacity.page import fill_page
from scale.capacity.table import format_figures
from scale.cli import CAPACITY_PAGE, FIGURES_FILE
from scale.errors import ExperimentError
from scale.results import LabelValue, Measurement

BYTES = Figure(
    table="day", what="bytes", results=["small"], role="sidecar", metric="bytes", carried_by="`net/`"
)
PAGE_WITH_MARKS = "before\n<!-- table: day -->\nformer\n<!-- end of table -->\nafter\n"


def measured(value: float, commit: str = "new", seed: int = 3, **labels: LabelValue) -> Measurement:
    return Measurement(
        experiment="small",
        kind="control",
        seed=seed,
        commit=commit,
        role="sidecar",
        metric="bytes",
        value=value,
        unit="bytes",
        labels=labels,
    )


def test_figure_uses_the_last_run_of_a_file_unless_a_commit_is_given() -> None:
    measurements = [measured(1.0, "old"), measured(2.0, "new")]
    latest = evaluate_figure(BYTES, {"small": measurements})
    earlier = evaluate_figure(BYTES.model_copy(update={"commit": "old"}), {"small": measurements})
    assert latest is not None
    assert (latest.value, latest.runs) == (2.0, "small, new, seed 3")
    assert earlier is not None
    assert (earlier.value, earlier.runs) == (1.0, "small, old, seed 3")


def test_figure_after_a_change_is_not_taken_from_the_run_before_it() -> None:
    after = BYTES.model_copy(update={"not_commits": ["old"]})
    assert evaluate_figure(after, {"small": [measured(1.0, "old")]}) is None
    assert "not run yet" in format_figures([after], {"small": [measured(1.0, "old")]})
    evaluation = evaluate_figure(after, {"small": [measured(2.0, "new"), measured(1.0, "old")]})
    assert evaluation is not None
    assert evaluation.value == 2.0


def test_several_seeds_give_the_median_and_the_range() -> None:
    figure = BYTES.model_copy(update={"unit": "B", "budget": 4.0})
    measurements = [measured(value, seed=seed) for seed, value in enumerate((1.0, 5.0, 2.0))]
    evaluation = evaluate_figure(figure, {"small": measurements})
    assert evaluation is not None
    assert (evaluation.value, evaluation.minimum, evaluation.maximum) == (2.0, 1.0, 5.0)
    assert "| **2 (1 to 5) B** | 4 B (x 1.25) | measured, median of 3 | small, new, seed 0, 1, 2 |" in (
        format_figures([figure], {"small": measurements})
    )


def test_several_files_are_several_runs_each_with_its_latest_commit() -> None:
    figure = BYTES.model_copy(update={"results": ["small", "again", "never"]})
    files = {"small": [measured(9.0, "old"), measured(1.0, "new")], "again": [measured(3.0, "older", seed=4)]}
    evaluation = evaluate_figure(figure, files)
    assert evaluation is not None
    assert (evaluation.value, evaluation.minimum, evaluation.maximum) == (2.0, 1.0, 3.0)
    assert evaluation.runs == "small, new, seed 3; again, older, seed 4"


def test_line_is_fitted_up_to_the_bound_and_the_extrapolation_is_stated() -> None:
    figure = BYTES.model_copy(update={"against": "servers", "at": 100.0, "up_to": 20.0, "times": 2.0})
    measurements = [measured(10.0 + 3.0 * size, servers=size) for size in (10, 20)]
    evaluation = evaluate_figure(figure, {"small": [*measurements, measured(9_000.0, servers=30)]})
    assert evaluation is not None
    assert evaluation.value == pytest.approx(620.0)
    assert "3 x 100 servers + 10 bytes; measured to 20, beyond that extrapolated" in evaluation.derivation


def test_labels_select_the_measurements() -> None:
    figure = BYTES.model_copy(update={"where": {"phase": "release"}})
    measurements = [measured(1.0, phase="steady"), measured(7.0, phase="release")]
    evaluation = evaluate_figure(figure, {"small": measurements})
    assert evaluation is not None
    assert evaluation.value == 7.0


def test_recovery_after_the_end_of_the_run_is_a_lower_bound() -> None:
    measurements = [measured(3.9, recovered=False)]
    assert "| at least 3.9 |" in format_figures([BYTES], {"small": measurements})


@pytest.mark.parametrize(
    ("value", "text"),
    [
        (0.0, "0"),
        (-1e-15, "0"),
        (0.00012345, "0.000123"),
        (157.4, "157"),
        (1405.3, "1,405"),
        (62_743_210.0, "62,700,000"),
    ],
)
def test_numbers_have_three_digits(value: float, text: str) -> None:
    assert format_number(value) == text


def test_only_the_text_between_the_marks_of_a_page_is_replaced(tmp_path: Path) -> None:
    (tmp_path / "small.jsonl").write_text(measured(2.0).model_dump_json() + "\n")
    filled = fill_page(PAGE_WITH_MARKS, [BYTES], tmp_path)
    assert "former" not in filled
    assert filled.startswith("before\n<!-- table: day -->\n| what |")
    assert filled.endswith("| `net/` |\n<!-- end of table -->\nafter\n")
    assert fill_page(filled, [BYTES], tmp_path) == filled


def test_ranked_figures_have_a_separate_table(tmp_path: Path) -> None:
    marks = PAGE_WITH_MARKS + PAGE_WITH_MARKS.replace("day", "missing")
    later = BYTES.model_copy(update={"rank": 2, "missing": "later"})
    first = BYTES.model_copy(update={"rank": 1, "missing": "first"})
    missing = fill_page(marks, [later, first, BYTES], tmp_path).partition("<!-- table: missing -->")[2]
    assert missing.index("1. first") < missing.index("2. later")
    assert missing.count("not run yet") == 2


def test_mark_without_figures_is_an_error(tmp_path: Path) -> None:
    with pytest.raises(ExperimentError, match="night"):
        fill_page(PAGE_WITH_MARKS + PAGE_WITH_MARKS.replace("day", "night"), [BYTES], tmp_path)


def test_unknown_key_is_named(tmp_path: Path) -> None:
    path = tmp_path / "figures.toml"
    path.write_text("[[figures]]\ntabel = 1\n")
    with pytest.raises(ExperimentError, match=r"^figures\.0\."):
        read_figures(path)


def test_page_of_this_repository_has_a_mark_for_each_table(tmp_path: Path) -> None:
    filled = fill_page(CAPACITY_PAGE.read_text(encoding="utf-8"), read_figures(FIGURES_FILE), tmp_path)
    assert filled.count("not run yet") >= len(read_figures(FIGURES_FILE))
