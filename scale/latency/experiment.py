"""The keys of a latency experiment: the load, and the points to measure."""

from __future__ import annotations

from enum import StrEnum
from typing import Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

from scale.errors import UntracedCollectorError
from scale.experiment import Experiment

MAXIMUM_SERVERS = 4_900  # each needs a listening socket in one process


class Collector(StrEnum):
    """The garbage collection thresholds of the sidecar."""

    PROGRAM = "program"  # as the sidecar program sets them
    DEFAULT = "default"  # the interpreter's thresholds
    OFF = "off"


class LatencyPoint(BaseModel):
    """One point to measure, with a sidecar of its own."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    servers: int = Field(ge=1, le=MAXIMUM_SERVERS)  # in the endpoint list, each with a listener
    changes_per_s: float = Field(default=0.0, ge=0.0, le=100.0)  # restarts of single servers
    # The rate at which the registry drops its change log, so that a watch receives a snapshot.
    snapshots_per_s: float = Field(default=0.0, ge=0.0, le=10.0)
    collector: Collector = Collector.PROGRAM
    traced: bool = False  # whether the sidecar's event loop and collections are timed from inside

    @model_validator(mode="after")
    def _check_collector_requires_tracing(self) -> Self:
        if self.collector is not Collector.PROGRAM and not self.traced:
            raise UntracedCollectorError
        return self


class LatencyExperiment(Experiment):
    """Alternates calls through a sidecar and direct calls, for `duration_s` at each point after warm-up."""

    calls_per_s: float = Field(gt=0.0, le=1_000.0)  # through the sidecar; direct calls have the same rate
    warm_up_s: float = Field(ge=0.0, le=120.0)
    service_mean_ms: float = Field(gt=0.0, le=1_000.0)
    budget_ms: float = Field(gt=0.0, le=1_000.0)  # latency that the sidecar may add to a call
    points: list[LatencyPoint] = Field(min_length=1, max_length=100)
