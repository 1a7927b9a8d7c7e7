"""What an experiment on control names: sizes, rates and faults."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import psutil
from pydantic import BaseModel, ConfigDict, Field, ValidationInfo, field_validator

from scale.errors import MemoryLimitError
from scale.experiment import Experiment

MAXIMUM_SERVERS = 20_000
MAXIMUM_STUBS = 10_000
MAXIMUM_REAL = 100
BYTES_PER_ENDPOINT = 1_700  # what an entry of the endpoint list takes in a stub sidecar, measured
BYTES_PER_SIDECAR = 60_000  # and what it takes without any


class FaultKind(StrEnum):
    """What goes wrong, or is done, while sidecars follow the registry."""

    DISCOVERY_DOWN = "discovery_down"  # calls are answered 503; it comes back with its change log
    DISCOVERY_RESTARTED = "discovery_restarted"  # the same, and it comes back without its change log
    DISCOVERY_OVERLOADED = "discovery_overloaded"  # calls wait, then are answered 503
    DISCOVERY_MOVED = "discovery_moved"  # all sidecars are sent to another address at once
    DISCOVERY_FAILED_OVER = "discovery_failed_over"  # open connections fall silent for good; new ones work
    ZONE_LOST = "zone_lost"  # the servers of one zone leave in one change
    REGION_LOST = "region_lost"  # the servers of one region's zones leave in one change
    RELEASE = "release"  # the servers of one service leave and come back, one after another
    SIDECARS_RESTARTED = "sidecars_restarted"  # all stub sidecars at once
    SIDECARS_CUT_OFF = "sidecars_cut_off"  # half of the stub sidecars are partitioned for a while


class Fault(BaseModel):
    """One fault; the next begins when this one's time and that of the watch after it are over."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    kind: FaultKind
    lasts_s: float = Field(default=0.0, ge=0.0, le=600.0)
    observed_s: float = Field(default=10.0, gt=0.0, le=600.0)  # at most so long after its end


class ControlExperiment(Experiment):
    """Sidecars that follow a registry, at each combination of the sizes and rates.

    A stub sidecar, "hollow" in the files' keys and in the results, has a sidecar's control plane alone.
    """

    servers: list[Annotated[int, Field(ge=2, le=MAXIMUM_SERVERS)]] = Field(min_length=1)
    stub_sidecars: list[Annotated[int, Field(ge=1, le=MAXIMUM_STUBS)]] = Field(
        min_length=1, alias="hollow_sidecars"
    )
    real_sidecars: int = Field(default=0, ge=0, le=MAXIMUM_REAL)
    stubs_per_process: int = Field(default=250, ge=1, le=2_000, alias="hollow_per_process")
    changes_per_second: list[Annotated[float, Field(ge=0.0, le=1_000.0)]] = Field(min_length=1)
    zones: int = Field(default=18, ge=1, le=1_000)
    regions: int = Field(default=5, ge=1, le=100)
    start_within_s: float = Field(default=3.0, ge=0.0, le=60.0)  # the stub sidecars start spread over this
    settle_s: float = Field(default=4.0, ge=0.0, le=60.0)  # between all being up to date and measuring
    faults: tuple[Fault, ...] = ()

    @field_validator("stub_sidecars")
    @classmethod
    def _fits_in_memory(cls, stub_sidecars: list[int], others: ValidationInfo) -> list[int]:
        """Guard the machine: all lists together may take half of its memory at most."""
        largest_list = BYTES_PER_ENDPOINT * max(others.data.get("servers", [0]))
        needed = max(stub_sidecars) * (BYTES_PER_SIDECAR + largest_list)
        if needed > psutil.virtual_memory().total / 2:
            raise MemoryLimitError(needed)
        return stub_sidecars
