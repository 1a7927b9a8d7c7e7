"""Commands to a process of stub sidecars, and its responses."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, TypeAdapter

from scale.commands import Message
from scale.standins.registry_commands import CommittedChange


class StartSidecars(Message):
    """Start or restart all sidecars, spread over a time in seconds."""

    command: Literal["start"] = "start"
    spread_s: float


class MigrateDiscovery(Message):
    """Migrate all sidecars to another address of the registry, at once."""

    command: Literal["migrate"] = "migrate"
    address: tuple[str, int]


class GetProgress(Message):
    """Get how many sidecars have applied a change."""

    command: Literal["progress"] = "progress"
    change: CommittedChange


class Progress(Message):
    """How many sidecars there are, and how many have applied the change."""

    sidecars: int
    applied: int


class GetDelays(Message):
    """Get the times from changes until they were applied."""

    command: Literal["delays"] = "delays"
    changes: list[CommittedChange]


class Delays(Message):
    """The times over all pairs of a change and a sidecar, and how many pairs are still missing."""

    histogram: str  # HdrHistogram's encoding, in microseconds
    missing: int


StubCommand = Annotated[
    StartSidecars | MigrateDiscovery | GetProgress | GetDelays, Field(discriminator="command")
]
STUB_COMMANDS: TypeAdapter[StubCommand] = TypeAdapter(StubCommand)
