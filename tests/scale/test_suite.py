"""The experiment suite: its experiment files, and the files of its results."""

from __future__ import annotations

from pathlib import Path

import pytest

from scale import suite
from scale.errors import ExperimentError
from scale.experiment import Experiment
from scale.results import ResultWriter, read_results

EXPERIMENT_HEAD = (
    'name = "{name}"\nkind = "latency"\nseed = 1\nduration_s = 1\ncalls_per_s = 9\nwarm_up_s = 0\n'
)
EXPERIMENT_TAIL = "service_mean_ms = 1\nbudget_ms = 1\npoints = [{servers = 1}]\n"


def write_experiments(folder: Path, *names: str) -> None:
    for name in names:
        (folder / f"{name}.toml").write_text(EXPERIMENT_HEAD.format(name=name) + EXPERIMENT_TAIL)


def test_small_experiments_are_left_out(tmp_path: Path) -> None:
    write_experiments(tmp_path, "b", "a", "a-small")
    assert [path.stem for path in suite.find_experiments(tmp_path)] == ["a", "b"]
    assert all(not path.stem.endswith("-small") for path in suite.find_experiments())


def test_folder_without_experiments_is_an_error(tmp_path: Path) -> None:
    with pytest.raises(ExperimentError, match="contains no experiment files"):
        suite.find_experiments(tmp_path)


def test_each_experiment_has_a_file_and_all_have_one_commit(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    commits = iter(["abc", "abc-dirty"])  # the results of the first experiment change the work tree
    monkeypatch.setattr(suite, "current_commit", lambda: next(commits))

    def run(_experiment: Experiment, writer: ResultWriter) -> None:
        writer.add("sidecar", "calls", 1.0, "calls")

    monkeypatch.setattr(suite, "run_experiment", run)
    write_experiments(tmp_path, "a", "b")
    assert suite.run_suite(suite.find_experiments(tmp_path), tmp_path / "out") >= 0.0
    for name in ("a", "b"):
        (figure,) = read_results([tmp_path / "out" / f"{name}.jsonl"])
        assert (figure.experiment, figure.commit) == (name, "abc")


def test_nothing_runs_if_one_file_is_invalid(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    ran: list[str] = []
    monkeypatch.setattr(suite, "run_experiment", lambda experiment, _writer: ran.append(experiment.name))
    write_experiments(tmp_path, "a", "b")
    (tmp_path / "b.toml").write_text('name = "b"\nkind = "latency"\n')
    with pytest.raises(ExperimentError):
        suite.run_suite(suite.find_experiments(tmp_path), tmp_path / "out")
    assert ran == []
    assert not (tmp_path / "out").exists()
