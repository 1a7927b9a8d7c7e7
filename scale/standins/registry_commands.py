"""Commands to a registry's process, and its responses."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, TypeAdapter

from scale.commands import Message, python_command
from scale.standins.registry_state import Availability


class RegistryOptions(Message):
    """The options of a registry's process."""

    servers: int  # endpoints in the registry
    zones: int = 1  # that they are spread over
    seed: int = 0  # of the endpoints' names
    endpoint_address: str | None = None  # of all endpoints, host:port; None: each has its own
    listeners: int = 1  # addresses to listen at
    observed_listeners: int = 0  # further addresses, each for one sidecar


def registry_command(options: RegistryOptions) -> list[str]:
    """Return the command line of a registry's process."""
    return python_command("scale.standins.registry_process", options.model_dump_json())


class ChangeEndpoints(Message):
    """Restart, drain, remove or add again endpoints of the synthetic fleet, by their index in it."""

    command: Literal["change"] = "change"
    change: Literal["restart", "drain", "remove", "add"]
    indexes: list[int]


class CommittedChange(Message):
    """A committed change; `at_s` is the time just before, in seconds on the monotonic clock."""

    version: int
    at_s: float


class SetAvailability(Message):
    """Take the registry down, overload it, or bring it up again."""

    command: Literal["availability"] = "availability"
    availability: Availability


class SetPartitioned(Message):
    """Partition the callers of a listener from the registry, or end that."""

    command: Literal["partition"] = "partition"
    listener: int
    partitioned: bool


class BlackholeConnections(Message):
    """Ignore all open connections for good, while new ones are served."""

    command: Literal["blackhole"] = "blackhole"


class DropChangeLog(Message):
    """Drop the change log, as a restarted registry does."""

    command: Literal["drop_change_log"] = "drop_change_log"


class GetCounts(Message):
    """Get the registry's counters."""

    command: Literal["counts"] = "counts"


class Counts(Message):
    """The registry's version and counters, as in `RegistryCounts`."""

    version: int
    connections: int
    calls: int
    snapshots: int
    deltas: int
    empty: int
    unavailable: int
    malformed: int
    bytes_in: int
    bytes_out: int
    sampled_connections: int
    sampled_segments: int
    watching: int


class GetTraffic(Message):
    """Get the traffic of some listeners since the start."""

    command: Literal["traffic"] = "traffic"
    listeners: list[int]


class TrafficTotals(Message):
    """The total traffic of the requested listeners."""

    calls: int
    http_bytes: int


class GetObservedDelays(Message):
    """Get when the only sidecar of each observed listener was first observed with each change."""

    command: Literal["observed"] = "observed"
    listeners: list[int]
    changes: list[CommittedChange]


class ObservedDelays(Message):
    """For each change, the seconds until each sidecar was observed with it; None: not yet."""

    delays_s: list[list[float | None]]


RegistryCommand = Annotated[
    ChangeEndpoints
    | SetAvailability
    | SetPartitioned
    | BlackholeConnections
    | DropChangeLog
    | GetCounts
    | GetTraffic
    | GetObservedDelays,
    Field(discriminator="command"),
]
REGISTRY_COMMANDS: TypeAdapter[RegistryCommand] = TypeAdapter(RegistryCommand)
