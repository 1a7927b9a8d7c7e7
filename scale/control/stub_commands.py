"""The commands to a process of stub sidecars, and its responses."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, TypeAdapter

from scale.commands import Message
from scale.standins.registry_commands import CommittedChange


class StartSidecars(Message):
    """Start or restart all sidecars, spread over `spread_s` seconds."""

    command: Literal["start"] = "start"
    spread_s: float


class MigrateDiscovery(Message):
    """Migrate all sidecars at once to another address of the registry."""

    command: Literal["migrate"] = "migrate"
    address: tuple[str, int]


class GetProgress(Message):
    """Get the number of sidecars that have applied a change."""

    command: Literal["progress"] = "progress"
    change: CommittedChange


class Progress(Message):
    """The number of sidecars, and how many of them have applied the change."""

    sidecars: int
    applied: int


class GetDelays(Message):
    """Get the propagation times of changes: from the commit of each until a sidecar applied it."""

    command: Literal["delays"] = "delays"
    changes: list[CommittedChange]


class Delays(Message):
    """The propagation times of all pairs of a change and a sidecar, and the number of pairs without one."""

    histogram: str  # an encoded HdrHistogram of microseconds
    missing: int


StubCommand = Annotated[
    StartSidecars | MigrateDiscovery | GetProgress | GetDelays, Field(discriminator="command")
]
STUB_COMMANDS: TypeAdapter[StubCommand] = TypeAdapter(StubCommand)
