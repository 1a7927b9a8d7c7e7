"""Configuration experiments; the tests check counts and shares, but no times."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from scale.configuration.experiment import ConfigurationExperiment
from scale.errors import ExperimentError
from scale.experiment import validate_experiment
from scale.kinds import load_experiment
from scale.results import read_results

ROOT = Path(__file__).parent.parent.parent
SMALL = ROOT / "scale" / "experiments" / "configuration-small.toml"


def test_every_configuration_experiment_can_be_read() -> None:
    paths = sorted(SMALL.parent.glob("configuration-*.toml"))
    assert SMALL in paths
    assert {load_experiment(path).name for path in paths} == {path.stem for path in paths}


@pytest.mark.parametrize(
    ("change", "key"),
    [({"sidecars": [0]}, "sidecars.0"), ({"servers": []}, "servers"), ({"changes": 0}, "changes")],
)
def test_invalid_size_is_rejected_naming_the_key(change: dict[str, object], key: str) -> None:
    valid = {
        "name": "a",
        "kind": "configuration",
        "seed": 1,
        "duration_s": 1,
        "servers": [35],
        "sidecars": [1],
    }
    with pytest.raises(ExperimentError, match=f"^{key}: "):
        validate_experiment(ConfigurationExperiment, {**valid, **change})


def test_small_run_measures_each_phase(tmp_path: Path) -> None:
    results = tmp_path / "results.jsonl"
    command = [sys.executable, "-m", "scale", "run", str(SMALL), "--results", str(results)]
    subprocess.run(command, cwd=ROOT, check=True, timeout=60.0, capture_output=True)
    values = {(each.labels["phase"], each.metric): each.value for each in read_results([results])}
    assert values[("change", "in force within 30 s")] == values[("taken back", "in force within 30 s")] == 1.0
    assert values[("change", "served")] == 1.0  # the requests in flight when the file was replaced
    assert values[("bad file", "classes as before")] == 1.0
    assert values[("metered", "whole lists for a reload")] == 0.0
