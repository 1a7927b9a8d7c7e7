"""What a sidecar is started with: the configuration that the readers of its file and its parts share."""

from __future__ import annotations

from dataclasses import dataclass, field

from sidecar.proxy.addresses import Address
from sidecar.proxy.registry_messages import RegistryResponse
from sidecar.settings import Settings


@dataclass(frozen=True, slots=True)
class Config:
    """All that a sidecar is started with, named as in its file.

    Attributes:
        listen: Address that the application connects to.
        discovery: Address of the registry.
        seed: Seed of the balancer's random choices.
        sockets: Most file descriptors that it may hold.
        settings: Settings of the balancer.
        cached_endpoints: Endpoint list as held before the start, which alone needs it.
        version: Version of the configuration; None: it has none.
    """

    listen: Address
    discovery: Address
    seed: int
    sockets: int
    settings: Settings
    cached_endpoints: RegistryResponse = field(compare=False)
    version: int | None = None
