"""The common parts of the rig: experiment files, results, slopes, processes and the command line."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from scale.errors import ExperimentError, ResultsError
from scale.experiment import Experiment, read_experiment_file, validate_experiment
from scale.plots import write_plots
from scale.processes import ProcessGroup
from scale.report import format_table
from scale.results import ResultWriter, read_results
from scale.slope import fit_line

EXPERIMENT = Experiment(name="small", kind="control", seed=3, duration_s=1.0)
WAIT_FOREVER = [sys.executable, "-c", "import signal; print(flush=True); signal.pause()"]


@pytest.mark.parametrize(
    ("mapping", "key"),
    [
        ({"name": "a", "kind": "control", "seed": -1, "duration_s": 1}, "seed"),
        ({"name": "a", "kind": "control", "seed": 1, "duration_s": 0}, "duration_s"),
        ({"name": "a", "kind": "control", "seed": 1}, "duration_s"),
        ({"name": "a", "kind": "control", "seed": 1, "duration_s": 1, "size": 3}, "size"),
    ],
)
def test_invalid_experiment_is_rejected_naming_the_key(mapping: dict[str, object], key: str) -> None:
    with pytest.raises(ExperimentError, match=f"^{key}: "):
        validate_experiment(Experiment, mapping)


def test_file_that_is_not_toml_is_rejected_in_one_line(tmp_path: Path) -> None:
    path = tmp_path / "broken.toml"
    path.write_text("name = ")
    with pytest.raises(ExperimentError, match="not TOML"):
        read_experiment_file(path)


def test_results_are_read_back_as_written(tmp_path: Path) -> None:
    path = tmp_path / "results.jsonl"
    with ResultWriter(path, EXPERIMENT, commit="abc") as writer:
        writer.add("sidecar", "cpu", 0.25, "cores", {"servers": 35})
        writer.add("sidecar", "cpu", 0.75, "cores", {"servers": 350})
    measurements = read_results([path])
    assert [(each.value, each.labels, each.commit, each.seed) for each in measurements] == [
        (0.25, {"servers": 35}, "abc", 3),
        (0.75, {"servers": 350}, "abc", 3),
    ]
    assert "servers=350" in format_table(measurements).splitlines()[2]
    plots = write_plots(measurements, "servers", tmp_path / "plots")
    assert [plot.name for plot in plots] == ["sidecar-cpu.png"]


def test_line_that_is_not_a_measurement_is_named_by_its_number(tmp_path: Path) -> None:
    path = tmp_path / "results.jsonl"
    path.write_text('{"value": 1}\n')
    with pytest.raises(ResultsError, match=r"results\.jsonl:1: "):
        read_results([path])


def test_slope_is_fitted_and_extrapolated() -> None:
    line = fit_line([1, 2, 4], [3, 5, 9])
    assert line.value_at(10) == pytest.approx(21.0)
    assert line.r_squared == pytest.approx(1.0)
    assert line.largest_size == 4
    with pytest.raises(ValueError, match="two different sizes"):
        fit_line([2, 2], [1, 3])


def test_processes_are_stopped_when_an_experiment_fails() -> None:
    group = ProcessGroup()
    process = group.start(WAIT_FOREVER, stdout=subprocess.PIPE)
    output = process.popen.stdout
    assert output is not None
    output.readline()
    assert process.is_running()
    assert process.usage().memory_bytes > 0
    with pytest.raises(RuntimeError), group:
        raise RuntimeError
    assert not process.is_running()
    assert output.read() == b""
    output.close()


def test_invalid_experiment_file_gives_a_one_line_error_and_exit_code_2(tmp_path: Path) -> None:
    path = tmp_path / "experiment.toml"
    path.write_text('name = "a"\nkind = "nothing"\nseed = 1\nduration_s = 1\n')
    command = [sys.executable, "-m", "scale", "run", str(path), "--results", str(tmp_path / "out.jsonl")]
    ended = subprocess.run(command, capture_output=True, text=True, check=False)
    assert ended.returncode == 2
    assert ended.stderr.startswith("scale: kind: ")
    assert ended.stderr.count("\n") == 1
    assert not (tmp_path / "out.jsonl").exists()
