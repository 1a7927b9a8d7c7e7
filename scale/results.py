"""Writes and reads results files: one JSON line for each measurement, with its commit and seed."""

from __future__ import annotations

import subprocess
from collections.abc import Iterable, Mapping
from pathlib import Path
from types import TracebackType
from typing import Self

from pydantic import BaseModel, ConfigDict, ValidationError

from scale.errors import InvalidMeasurementError, UnreadableResultsError
from scale.experiment import Experiment

LabelValue = str | float | int | bool
_REPOSITORY = Path(__file__).resolve().parent.parent


class Measurement(BaseModel):
    """One measured value, and how it was measured."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    experiment: str
    kind: str
    seed: int
    commit: str  # with the suffix "-dirty" if the work tree had changes
    role: str  # what was measured: "sidecar", "discovery", "server", "call graph", ...
    metric: str
    value: float
    unit: str
    labels: dict[str, LabelValue] = {}  # the measured point: sizes, fault, policy, ...


def current_commit(repository: Path = _REPOSITORY) -> str:
    """Return the abbreviated commit of a checkout, with "-dirty" if it has changes; "unknown" without git."""

    def git(*arguments: str) -> str:
        command = ["git", "-C", str(repository), *arguments]
        return subprocess.run(command, capture_output=True, text=True, check=True).stdout.strip()

    try:
        commit = git("rev-parse", "--short=9", "HEAD")
        local_changes = git("status", "--porcelain", "--untracked-files=no")
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return f"{commit}-dirty" if local_changes else commit


class ResultWriter:
    """Appends the measurements of one experiment to a file, and flushes each one immediately."""

    def __init__(self, path: Path, experiment: Experiment, commit: str | None = None) -> None:
        self._path = path
        self._experiment = experiment
        self._commit = current_commit() if commit is None else commit

    def __enter__(self) -> Self:
        self._path.parent.mkdir(parents=True, exist_ok=True)
        self._file = self._path.open("a", encoding="utf-8")
        return self

    def __exit__(
        self, exc_type: type[BaseException] | None, exc: BaseException | None, traceback: TracebackType | None
    ) -> None:
        self._file.close()

    def add(
        self, role: str, metric: str, value: float, unit: str, labels: Mapping[str, LabelValue] | None = None
    ) -> None:
        """Write one measurement.

        Args:
            role: What was measured, e.g. "sidecar".
            metric: The name of the metric.
            value: Its value.
            unit: The unit of the value.
            labels: The measured point.
        """
        measurement = Measurement(
            experiment=self._experiment.name,
            kind=self._experiment.kind,
            seed=self._experiment.seed,
            commit=self._commit,
            role=role,
            metric=metric,
            value=value,
            unit=unit,
            labels=dict(labels or {}),
        )
        self._file.write(measurement.model_dump_json() + "\n")
        self._file.flush()


def read_results(paths: Iterable[Path]) -> list[Measurement]:
    """Read results files, one after another.

    Raises:
        UnreadableResultsError: A file cannot be read.
        InvalidMeasurementError: A line is not a measurement.
    """
    measurements = []
    for path in paths:
        try:
            lines = path.read_text(encoding="utf-8").splitlines()
        except (OSError, UnicodeDecodeError) as error:
            raise UnreadableResultsError(path, error) from error
        for number, line in enumerate(lines, start=1):
            try:
                measurements.append(Measurement.model_validate_json(line))
            except ValidationError as error:
                raise InvalidMeasurementError(path, number) from error
    return measurements
