"""The keys of an experiment file for the control plane: sizes, rates and faults."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import psutil
from pydantic import BaseModel, ConfigDict, Field, ValidationInfo, field_validator

from scale.errors import MemoryLimitError
from scale.experiment import Experiment

MAXIMUM_SERVERS = 20_000
MAXIMUM_STUB_SIDECARS = 10_000
MAXIMUM_REAL_SIDECARS = 100
BYTES_PER_ENDPOINT = 1_700  # memory of one entry of the endpoint list in a stub sidecar
BYTES_PER_STUB_SIDECAR = 60_000  # memory of a stub sidecar with an empty endpoint list


class FaultKind(StrEnum):
    """Faults and maintenance operations while sidecars watch the registry."""

    DISCOVERY_DOWN = "discovery_down"  # calls get 503; the change log is kept
    DISCOVERY_RESTARTED = "discovery_restarted"  # calls get 503; the change log is lost
    DISCOVERY_OVERLOADED = "discovery_overloaded"  # calls get 503 after a delay
    DISCOVERY_MOVED = "discovery_moved"  # all sidecars migrate to another address at once
    DISCOVERY_FAILED_OVER = "discovery_failed_over"  # open connections are blackholed; new ones are served
    ZONE_LOST = "zone_lost"  # the servers of one zone are removed in one change
    REGION_LOST = "region_lost"  # the servers of one region are removed in one change
    RELEASE = "release"  # rolling restart of one service's servers
    SIDECARS_RESTARTED = "sidecars_restarted"  # all stub sidecars restart at once, or spread over `lasts_s`
    SIDECARS_CUT_OFF = "sidecars_cut_off"  # half of the stub sidecars are partitioned from the registry


class Fault(BaseModel):
    """One fault; the next one begins once this one has ended and its recovery has been observed."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    kind: FaultKind
    lasts_s: float = Field(default=0.0, ge=0.0, le=600.0)
    observed_s: float = Field(default=10.0, gt=0.0, le=600.0)  # maximum wait for recovery after the fault


class ControlExperiment(Experiment):
    """Sidecars that watch a registry, measured for each combination of the sizes and rates.

    A stub sidecar is a sidecar without a frontend; experiment files and results call it "hollow".
    `duration_s` is how long each change rate is measured.
    """

    servers: list[Annotated[int, Field(ge=2, le=MAXIMUM_SERVERS)]] = Field(min_length=1)
    stub_sidecars: list[Annotated[int, Field(ge=1, le=MAXIMUM_STUB_SIDECARS)]] = Field(
        min_length=1, alias="hollow_sidecars"
    )
    real_sidecars: int = Field(default=0, ge=0, le=MAXIMUM_REAL_SIDECARS)
    stubs_per_process: int = Field(default=250, ge=1, le=2_000, alias="hollow_per_process")
    changes_per_second: list[Annotated[float, Field(ge=0.0, le=1_000.0)]] = Field(min_length=1)
    zones: int = Field(default=18, ge=1, le=1_000)
    regions: int = Field(default=5, ge=1, le=100)
    # The time over which the starts of the stub sidecars are spread.
    start_within_s: float = Field(default=3.0, ge=0.0, le=60.0)
    # The pause between loading the endpoint list and measuring.
    settle_s: float = Field(default=4.0, ge=0.0, le=60.0)
    faults: tuple[Fault, ...] = ()

    @field_validator("stub_sidecars")
    @classmethod
    def _check_memory_limit(cls, stub_sidecars: list[int], info: ValidationInfo) -> list[int]:
        """Limit the memory of all endpoint lists to half of the machine's memory."""
        largest_list_bytes = BYTES_PER_ENDPOINT * max(info.data.get("servers", [0]))
        needed_bytes = max(stub_sidecars) * (BYTES_PER_STUB_SIDECAR + largest_list_bytes)
        if needed_bytes > psutil.virtual_memory().total / 2:
            raise MemoryLimitError(needed_bytes)
        return stub_sidecars
