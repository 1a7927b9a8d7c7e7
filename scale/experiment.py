"""Reads and validates experiment files, and defines the keys that all kinds of experiment have."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from scale.errors import InvalidKeyError, TomlSyntaxError, UnreadableExperimentError


class Experiment(BaseModel):
    """The keys common to all kinds of experiment; each kind adds its own in a subclass."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = Field(min_length=1, max_length=80)
    kind: str
    seed: int = Field(ge=0)
    duration_s: float = Field(gt=0.0, le=3_600.0)


AnyExperiment = TypeVar("AnyExperiment", bound=Experiment)


def read_experiment_file(path: Path) -> dict[str, Any]:
    """Read an experiment file.

    Raises:
        UnreadableExperimentError: The file cannot be read.
        TomlSyntaxError: The file is not TOML.
    """
    try:
        with path.open("rb") as file:
            return tomllib.load(file)
    except OSError as error:
        raise UnreadableExperimentError(path, error) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise TomlSyntaxError(path, error) from error


def validate_experiment(model: type[AnyExperiment], content: dict[str, Any]) -> AnyExperiment:
    """Validate an experiment against its model.

    Args:
        model: The model of the kind of experiment.
        content: The parsed experiment file.

    Raises:
        InvalidKeyError: A key is missing, unknown or out of range; the first such key is named.
    """
    try:
        return model.model_validate(content)
    except ValidationError as error:
        raise InvalidKeyError.from_validation(error) from error
