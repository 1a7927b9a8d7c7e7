"""The configuration of a sidecar, shared by the reader of the configuration file and the running sidecar."""

from __future__ import annotations

from dataclasses import dataclass, field

from sidecar.proxy.addresses import Address
from sidecar.proxy.registry_messages import RegistryResponse
from sidecar.settings import Settings

DEFAULT_MEMORY_MB = 192.0  # the largest limit that the platform sets


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a sidecar, as read from its configuration file.

    Attributes:
        listen: Address at which the sidecar accepts connections of the application.
        discovery: Address of the registry.
        seed: Seed of the balancer's random choices.
        sockets: Maximum number of file descriptors that the sidecar may have open.
        settings: Settings of the balancer.
        cached_endpoints: Last known endpoint list, used only at the start; reloads ignore it.
        version: Version of the configuration; None if it has none.
        memory_mb: Limit on the memory of the process, in MiB.
    """

    listen: Address
    discovery: Address
    seed: int
    sockets: int
    settings: Settings
    cached_endpoints: RegistryResponse = field(compare=False)
    version: int | None = None
    memory_mb: float = DEFAULT_MEMORY_MB
