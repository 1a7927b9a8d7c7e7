"""The kinds of experiment, selected by the `kind` key of an experiment file."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from scale.callgraph.experiment import CallGraphExperiment
from scale.callgraph.sweep import run_call_graphs
from scale.configuration.experiment import ConfigurationExperiment
from scale.configuration.run import run_configuration
from scale.control.experiment import ControlExperiment
from scale.control.run import run_control
from scale.errors import UnknownKindError
from scale.experiment import Experiment, read_experiment_file, validate_experiment
from scale.latency.experiment import LatencyExperiment
from scale.latency.run import run_latency
from scale.results import ResultWriter


@dataclass(frozen=True, slots=True)
class ExperimentKind:
    """The model and the runner of one kind of experiment."""

    model: type[Experiment]
    run: Callable[[Any, ResultWriter], None]


KINDS: Mapping[str, ExperimentKind] = {
    "callgraph": ExperimentKind(CallGraphExperiment, run_call_graphs),
    "configuration": ExperimentKind(ConfigurationExperiment, run_configuration),
    "control": ExperimentKind(ControlExperiment, run_control),
    "latency": ExperimentKind(LatencyExperiment, run_latency),
}


def load_experiment(path: Path) -> Experiment:
    """Read and validate an experiment file.

    Raises:
        UnreadableExperimentError: The file cannot be read.
        TomlSyntaxError: The file is not TOML.
        UnknownKindError: The kind of experiment is unknown.
        InvalidKeyError: A key is missing, unknown or out of range.
    """
    content = read_experiment_file(path)
    kind = KINDS.get(str(content.get("kind")))
    if kind is None:
        raise UnknownKindError(KINDS.keys())
    return validate_experiment(kind.model, content)


def run_experiment(experiment: Experiment, writer: ResultWriter) -> None:
    """Run an experiment and write its measurements."""
    KINDS[experiment.kind].run(experiment, writer)
