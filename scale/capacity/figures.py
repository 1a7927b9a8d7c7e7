"""Reads the definitions of the capacity page's figures from `figures.toml`."""

from __future__ import annotations

from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from scale.errors import InvalidKeyError
from scale.experiment import read_experiment_file
from scale.results import LabelValue


class Figure(BaseModel):
    """One row of a table: the measurements it uses, and how they are combined."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    table: str
    what: str
    results: list[str] = Field(min_length=1)  # names of results files without their suffix, one run each
    role: str
    metric: str
    where: dict[str, LabelValue] = {}  # labels that the measurements must have
    commit: str | None = None  # commit of the runs; None: the latest one in each file
    not_commits: list[str] = []  # commits whose runs are ignored
    against: str | None = None  # label of the size that a line is fitted to
    at: float | None = None  # size at which the line is evaluated
    up_to: float | None = None  # largest size that the line is fitted to
    times: float = 1.0  # factor: a change of unit, or a number of processes
    processes: str = ""  # description of the factor, unless it only changes the unit
    unit: str = ""
    budget: float | None = Field(default=None, gt=0.0)  # in `unit`
    budget_is_least: bool = False  # whether the budget is a minimum instead of a maximum
    carried_by: str
    rank: int | None = None  # position in the table "missing", if the figure is listed there
    missing: str = ""  # title of its row in the table "missing"


class FigureFile(BaseModel):
    """All figures of the page."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    figures: list[Figure]


def read_figures(path: Path) -> list[Figure]:
    """Read the figures of the page.

    Raises:
        UnreadableExperimentError: The file cannot be read.
        TomlSyntaxError: The file is not TOML.
        InvalidKeyError: A key is missing, unknown or out of range.
    """
    try:
        return FigureFile.model_validate(read_experiment_file(path)).figures
    except ValidationError as error:
        raise InvalidKeyError.from_validation(error, root="figures") from error
