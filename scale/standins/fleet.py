"""Creates the endpoints of a synthetic fleet, spread over zones and reproducible for a seed."""

from __future__ import annotations

import random

from scale.standins.change_log import Endpoint

_PORT = 8443
_MACHINE_TYPES = ("m1", "m2")
_ENDPOINTS_PER_GROUP = 35  # each group stands for one service


def zone_name(index: int) -> str:
    """Return the name of a zone."""
    return f"z{index:02d}"


def make_endpoints(count: int, zones: int, seed: int, address: str | None = None) -> list[Endpoint]:
    """Create endpoints, assigned to the zones round-robin.

    Args:
        count: The number of endpoints.
        zones: The number of zones.
        seed: The seed of the random names.
        address: The address of all endpoints, host:port; None: each has its own, at which nothing listens.
    """
    names = random.Random(seed).sample(range(2**32), count)
    return [
        Endpoint(
            name=f"s-{name:08x}",
            address=address or f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}:{_PORT}",
            zone=zone_name(index % zones),
            type=_MACHINE_TYPES[index % len(_MACHINE_TYPES)],
            group=index // _ENDPOINTS_PER_GROUP,
        )
        for index, name in enumerate(names)
    ]
