"""Commands to a process of stub sidecars, and its answers."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, TypeAdapter

from scale.commands import Message
from scale.standins.registry_commands import Committed


class StartSidecars(Message):
    """Start all sidecars, or stop them and start them anew, spread over a time."""

    command: Literal["start"] = "start"
    within_s: float


class MoveDiscovery(Message):
    """Move all sidecars to another address of the registry, at once."""

    command: Literal["move"] = "move"
    address: tuple[str, int]


class GetProgress(Message):
    """Ask in how many sidecars a change is in force."""

    command: Literal["progress"] = "progress"
    change: Committed


class Progress(Message):
    """In how many sidecars it is in force, of how many."""

    sidecars: int
    in_force: int


class GetDelays(Message):
    """Ask for the times from changes to their being in force."""

    command: Literal["delays"] = "delays"
    changes: list[Committed]


class Delays(Message):
    """The times over all changes and sidecars, and how many of these pairs are not in force yet."""

    histogram: str  # HdrHistogram's encoding, in microseconds
    missing: int


StubCommand = Annotated[
    StartSidecars | MoveDiscovery | GetProgress | GetDelays, Field(discriminator="command")
]
STUB_COMMANDS: TypeAdapter[StubCommand] = TypeAdapter(StubCommand)
