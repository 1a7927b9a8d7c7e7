"""What a sidecar is started with: the configuration that the readers of its file and its parts share."""

from __future__ import annotations

from dataclasses import dataclass, field

from sidecar.proxy.addresses import Address
from sidecar.proxy.registry_messages import RegistryResponse
from sidecar.settings import Settings


@dataclass(frozen=True, slots=True)
class Config:
    """All that a sidecar is told."""

    listen: Address
    discovery: Address
    seed: int
    sockets: int
    settings: Settings
    known: RegistryResponse = field(compare=False)  # as held before the start, which alone needs it
    version: int | None = None  # None: it names none
