"""The keys of a configuration experiment: sizes, and how often files are replaced."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from scale.experiment import Experiment

MAXIMUM_SERVERS = 20_000
MAXIMUM_SIDECARS = 100


class ConfigurationExperiment(Experiment):
    """Real sidecars whose configuration is replaced, at each combination of the sizes.

    `duration_s` is the longest time that each change is observed.
    """

    servers: list[Annotated[int, Field(ge=2, le=MAXIMUM_SERVERS)]] = Field(min_length=1)
    sidecars: list[Annotated[int, Field(ge=1, le=MAXIMUM_SIDECARS)]] = Field(min_length=1)
    changes: int = Field(default=2, ge=1, le=1_000)  # each observed until it is applied
    metered_reloads: int = Field(default=5, ge=1, le=1_000)  # while there is no other traffic
    reload_interval_s: float = Field(default=1.0, ge=0.05, le=60.0)  # between the metered ones
