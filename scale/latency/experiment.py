"""What an experiment on latency names: the load, and the points at which it is measured."""

from __future__ import annotations

from enum import StrEnum
from typing import Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

from scale.errors import UntracedCollectorError
from scale.experiment import Experiment

MAXIMUM_SERVERS = 4_900  # each is a listening socket of one process


class Collector(StrEnum):
    """How the sidecar's garbage collection is set."""

    PROGRAM = "program"  # as the program sets it
    DEFAULT = "default"  # the interpreter's thresholds
    OFF = "off"


class LatencyPoint(BaseModel):
    """One measured point; each has a sidecar of its own."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    servers: int = Field(ge=1, le=MAXIMUM_SERVERS)  # in the list, each with a listener
    changes_per_s: float = Field(default=0.0, ge=0.0, le=100.0)  # restarts of single servers in the list
    snapshots_per_s: float = Field(default=0.0, ge=0.0, le=10.0)  # the registry forgets what changed
    collector: Collector = Collector.PROGRAM
    traced: bool = False  # whether the sidecar's event loop and collections are timed from inside

    @model_validator(mode="after")
    def _collector_is_set_by_the_tracing_entry(self) -> Self:
        if self.collector is not Collector.PROGRAM and not self.traced:
            raise UntracedCollectorError
        return self


class LatencyExperiment(Experiment):
    """Direct calls and calls through one sidecar in turn; each point lasts `duration_s` after its warm-up."""

    calls_per_s: float = Field(gt=0.0, le=1_000.0)  # through the sidecar, and as many direct ones
    warm_up_s: float = Field(ge=0.0, le=120.0)
    service_mean_ms: float = Field(gt=0.0, le=1_000.0)
    budget_ms: float = Field(gt=0.0, le=1_000.0)  # what the sidecar may add
    points: list[LatencyPoint] = Field(min_length=1, max_length=100)
