"""Made-up endpoints of a fleet: as many as wanted, spread over zones, the same for the same seed."""

from __future__ import annotations

import random

from scale.standins.change_log import Endpoint

_PORT = 8443
_MACHINE_TYPES = ("m1", "m2")  # types of machine
_ENDPOINTS_PER_GROUP = 35


def zone_name(index: int) -> str:
    """The name of a zone."""
    return f"z{index:02d}"


def make_endpoints(count: int, zones: int, seed: int, address: str | None = None) -> list[Endpoint]:
    """Endpoints in turn in each zone.

    All have one address where it is given; else each has its own, at which nothing listens.
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
