"""The keys of a call graph experiment: graph, load, faults and policies."""

from __future__ import annotations

from enum import Enum, unique
from typing import Annotated, Literal, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

from scale.errors import DurationTooShortError, FaultOrderError, FaultTooEarlyError, FaultTooLateError
from scale.experiment import Experiment

Depth = Annotated[int, Field(ge=1, le=16)]  # number of services in the chain
Load = Annotated[float, Field(gt=0.0, le=4.0)]  # as a multiple of the capacity of a service
Share = Annotated[float, Field(ge=0.0, le=1.0)]


@unique
class PolicyName(Enum):
    """The load balancing policy at each hop."""

    BALANCER = "balancer"  # the sidecar's own Balancer
    BALANCER_ONE_ATTEMPT = "balancer-one-attempt"  # the Balancer with max_attempts = 1
    NO_RETRY = "no-retry"  # the less loaded of two random servers, one attempt
    FIXED_RETRIES = "fixed-retries"  # like NO_RETRY, with up to two retries of a failed call
    RANDOM_CHOICE = "random-choice"  # a random server, one attempt


@unique
class FaultKind(Enum):
    """The kinds of fault."""

    NONE = "none"
    ERRORS = "errors"  # a share of the calls on one service fails with an error response
    SERVICE_LOST = "service-lost"  # all processes of one service are stopped, and restarted at the end
    ZONE_LOST = "zone-lost"  # a zone is partitioned from the others
    REGION_CUT = "region-cut"  # a region is partitioned from the others


class ExperimentTable(BaseModel):
    """Base class of the tables within an experiment file; unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class NetworkDelays(ExperimentTable):
    """Network delays, one way."""

    same_zone_ms: float = Field(default=0.2, ge=0.0)
    same_region_ms: float = Field(default=0.5, ge=0.0)
    other_region_ms: float = Field(default=3.0, ge=0.0)


class Servers(ExperimentTable):
    """The servers of each service."""

    count: int = Field(default=6, ge=1, le=1_024)
    concurrency: int = Field(default=1, ge=1)
    queue_limit: int = Field(default=20, ge=0)  # queued calls; when the queue is full, calls are rejected
    service_time_ms: float = Field(default=5.0, gt=0.0)  # mean of an exponential distribution


class Calls(ExperimentTable):
    """The class of all root calls, and the limits on attempts at each hop."""

    deadline_ms: int = Field(default=1_500, ge=1)
    latency_target_ms: int = Field(default=400, ge=1)
    max_attempts: int = Field(default=5, ge=1)
    repeatable: bool = True  # whether the calls are idempotent


class SlowStart(ExperimentTable):
    """Slow start of new servers, as in the sidecars' settings."""

    from_share: float = Field(default=0.3, gt=0.0, le=1.0)  # initial share of a new server's capacity
    duration_s: float = Field(default=4.0, ge=0.0)
    overload_multiple: float = Field(default=4.0, gt=0.0)
    overload_window_s: float = Field(default=1.0, gt=0.0)


class Fault(ExperimentTable):
    """A fault; its start and end are in seconds since the start of the run."""

    kind: FaultKind = FaultKind.NONE
    begin_s: float = Field(default=0.0, ge=0.0)
    end_s: float = Field(default=0.0, ge=0.0)
    share: Share = 1.0  # share of the calls on the service that fail; for "errors"
    # Depth of the affected service, for "errors" and "service-lost"; 0 is the deepest service.
    depth: int = Field(default=0, ge=0)

    @model_validator(mode="after")
    def _check_fault_order(self) -> Self:
        if self.kind is not FaultKind.NONE and self.end_s <= self.begin_s:
            raise FaultOrderError
        return self


class CallGraphExperiment(Experiment):
    """A sweep: one run for each combination of depth, load, fault share, policy and seed."""

    kind: Literal["callgraph"]
    depths: list[Depth] = Field(default=[16], min_length=1)
    loads: list[Load] = Field(default=[0.5], min_length=1)
    fault_shares: list[Share] = Field(default=[], description="one run each; empty: the fault's own share")
    policies: list[PolicyName] = Field(default=[PolicyName.BALANCER], min_length=1)
    seeds: int = Field(default=1, ge=1, le=16)  # number of runs, with the seeds seed, seed + 1, ...
    fan_out: int = Field(default=1, ge=1, le=4)
    root_callers: int = Field(default=6, ge=1, le=1_024)
    regions: int = Field(default=1, ge=1, le=16)
    zones_per_region: int = Field(default=2, ge=1, le=16)
    warm_up_s: float = Field(default=2.0, ge=0.0)  # calls offered in this time are not measured
    servers: Servers = Servers()
    calls: Calls = Calls()
    slow_start: SlowStart = SlowStart()
    delays: NetworkDelays = NetworkDelays()
    fault: Fault = Fault()

    @model_validator(mode="after")
    def _check_times(self) -> Self:
        deadline_s = self.calls.deadline_ms / 1_000.0
        if self.warm_up_s + deadline_s >= self.duration_s:
            raise DurationTooShortError
        if self.fault.kind is not FaultKind.NONE:
            if self.fault.begin_s <= self.warm_up_s + deadline_s:
                raise FaultTooEarlyError
            if self.fault.end_s >= self.duration_s - deadline_s:
                raise FaultTooLateError
        return self
