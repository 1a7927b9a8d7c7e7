"""Runs the complete set of experiments behind the figures of the capacity page."""

from __future__ import annotations

import time
from collections.abc import Sequence
from pathlib import Path

import structlog

from scale.errors import NoExperimentsError
from scale.kinds import load_experiment, run_experiment
from scale.results import ResultWriter, current_commit

EXPERIMENTS_FOLDER = Path(__file__).resolve().parent / "experiments"
RESULTS_FOLDER = Path(__file__).resolve().parent.parent / "docs" / "capacity" / "results"
TIME_LIMIT_S = 15 * 60.0  # for the complete set

_SMALL_SUFFIX = "-small"  # of the file names of small experiments for tests, whose results are not stored

log = structlog.get_logger()


def find_experiments(folder: Path = EXPERIMENTS_FOLDER) -> list[Path]:
    """List the experiment files of a folder, without the small ones for tests.

    Raises:
        NoExperimentsError: There are none.
    """
    found = sorted(path for path in folder.glob("*.toml") if not path.stem.endswith(_SMALL_SUFFIX))
    if not found:
        raise NoExperimentsError(folder)
    return found


def run_suite(paths: Sequence[Path], results: Path) -> float:
    """Run experiments, and write the results of each to a file of its own.

    All files are validated before the first experiment runs.  The commit is read only once, because
    writing the results may make the work tree dirty.

    Args:
        paths: The experiment files.
        results: Folder of the results; each file is named after its experiment file.

    Returns:
        The elapsed time in seconds.

    Raises:
        ExperimentError: An experiment file cannot be used.
    """
    experiments = [load_experiment(path) for path in paths]
    commit = current_commit()
    started_at = time.monotonic()
    for path, experiment in zip(paths, experiments, strict=True):
        experiment_started_at = time.monotonic()
        log.info("experiment started", experiment=experiment.name, kind=experiment.kind, seed=experiment.seed)
        with ResultWriter(results / f"{path.stem}.jsonl", experiment, commit) as writer:
            run_experiment(experiment, writer)
        elapsed_s = round(time.monotonic() - experiment_started_at, 1)
        log.info("experiment ended", experiment=experiment.name, elapsed_s=elapsed_s)
    return time.monotonic() - started_at
