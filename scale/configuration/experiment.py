"""The keys of an experiment file for configuration changes: sizes, and how often files are replaced."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from scale.experiment import Experiment

MAXIMUM_SERVERS = 20_000
MAXIMUM_SIDECARS = 100


class ConfigurationExperiment(Experiment):
    """Real sidecars whose configuration is replaced, measured for each combination of the sizes.

    `duration_s` limits how long the experiment waits for a change to be applied.
    """

    servers: list[Annotated[int, Field(ge=2, le=MAXIMUM_SERVERS)]] = Field(min_length=1)
    sidecars: list[Annotated[int, Field(ge=1, le=MAXIMUM_SIDECARS)]] = Field(min_length=1)
    changes: int = Field(default=2, ge=1, le=1_000)  # number of changes, each observed until it is applied
    # The number of reloads whose cost is measured, without other traffic.
    metered_reloads: int = Field(default=5, ge=1, le=1_000)
    # The pause after each metered reload, and before the check that an invalid file was not applied.
    reload_interval_s: float = Field(default=1.0, ge=0.05, le=60.0)
