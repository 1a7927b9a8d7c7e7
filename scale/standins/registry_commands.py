"""The commands to a registry process, and its responses."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, TypeAdapter

from scale.commands import Message, python_command
from scale.standins.registry_state import Availability


class RegistryOptions(Message):
    """The options of a registry process."""

    servers: int  # number of endpoints in the registry
    zones: int = 1  # number of zones over which the endpoints are spread
    seed: int = 0  # seed of the endpoints' names
    endpoint_address: str | None = None  # address of all endpoints, host:port; None: each has its own
    listeners: int = 1  # number of addresses to listen at
    observed_listeners: int = 0  # number of further addresses; each records the calls of one sidecar


def registry_command(options: RegistryOptions) -> list[str]:
    """Return the command line of a registry process."""
    return python_command("scale.standins.registry_process", options.model_dump_json())


class ChangeEndpoints(Message):
    """Restart, drain, remove or re-add endpoints of the synthetic fleet, given by their indexes in it."""

    command: Literal["change"] = "change"
    change: Literal["restart", "drain", "remove", "add"]
    indexes: list[int]


class CommittedChange(Message):
    """A committed change of the endpoint list."""

    version: int
    at_s: float  # just before the commit, in seconds on the monotonic clock


class SetAvailability(Message):
    """Take the registry down, overload it, or bring it up again."""

    command: Literal["availability"] = "availability"
    availability: Availability


class SetPartitioned(Message):
    """Start or end a network partition between the callers of a listener and the registry."""

    command: Literal["partition"] = "partition"
    listener: int
    partitioned: bool


class BlackholeConnections(Message):
    """Permanently ignore all open connections, but serve new ones."""

    command: Literal["blackhole"] = "blackhole"


class DropChangeLog(Message):
    """Drop the change log, as a restarting registry does."""

    command: Literal["drop_change_log"] = "drop_change_log"


class GetRegistryCounts(Message):
    """Get the registry's counters."""

    command: Literal["counts"] = "counts"


class RegistryCounts(Message):
    """The registry's version and counters, as in `RegistryCounters`."""

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
    """Get the delays until each change was first observed at each of the listeners.

    An observed listener serves one sidecar, whose calls show the version that it has applied.
    """

    command: Literal["observed"] = "observed"
    listeners: list[int]
    changes: list[CommittedChange]


class ObservedDelays(Message):
    """The delays in seconds, one list per change with one entry per listener; None: not observed."""

    delays_s: list[list[float | None]]


RegistryCommand = Annotated[
    ChangeEndpoints
    | SetAvailability
    | SetPartitioned
    | BlackholeConnections
    | DropChangeLog
    | GetRegistryCounts
    | GetTraffic
    | GetObservedDelays,
    Field(discriminator="command"),
]
REGISTRY_COMMANDS: TypeAdapter[RegistryCommand] = TypeAdapter(RegistryCommand)
