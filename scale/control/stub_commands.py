"""Commands to a process of stub sidecars, and its answers."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, TypeAdapter

from scale.commands import Message
from scale.standins.registry_commands import CommittedChange


class StartSidecars(Message):
    """Start all sidecars, or stop them and start them anew, spread over a time."""

    command: Literal["start"] = "start"
    spread_s: float


class MigrateDiscovery(Message):
    """Move all sidecars to another address of the registry, at once."""

    command: Literal["move"] = "move"
    address: tuple[str, int]


class GetProgress(Message):
    """Ask in how many sidecars a change is in force."""

    command: Literal["progress"] = "progress"
    change: CommittedChange


class Progress(Message):
    """In how many sidecars it is in force, of how many."""

    sidecars: int
    applied: int


class GetDelays(Message):
    """Ask for the times from changes to their being in force."""

    command: Literal["delays"] = "delays"
    changes: list[CommittedChange]


class Delays(Message):
    """The times over all changes and sidecars, and how many of these pairs are not in force yet."""

    histogram: str  # HdrHistogram's encoding, in microseconds
    missing: int


StubCommand = Annotated[
    StartSidecars | MigrateDiscovery | GetProgress | GetDelays, Field(discriminator="command")
]
STUB_COMMANDS: TypeAdapter[StubCommand] = TypeAdapter(StubCommand)
