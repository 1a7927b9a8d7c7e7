"""The network between sidecars and servers: latencies by location, and partitions."""

from __future__ import annotations

from dataclasses import dataclass

from scale.callgraph.experiment import NetworkDelays


@dataclass(frozen=True, slots=True)
class Location:
    """The region and the zone that a process runs in."""

    region: str
    zone: str


class Network:
    """Latencies between locations, and partitions.

    Attributes:
        partitioned_zones: Zones without links to other zones.
        partitioned_regions: Regions without links to other regions.
    """

    def __init__(self, delays: NetworkDelays) -> None:
        self._same_zone_us = int(delays.same_zone_ms * 1_000)
        self._same_region_us = int(delays.same_region_ms * 1_000)
        self._other_region_us = int(delays.other_region_ms * 1_000)
        self.partitioned_zones: set[str] = set()
        self.partitioned_regions: set[str] = set()

    def delay_us(self, origin: Location, target: Location) -> int:
        """Return the one-way latency in microseconds."""
        if origin.zone == target.zone:
            return self._same_zone_us
        return self._same_region_us if origin.region == target.region else self._other_region_us

    def reaches(self, origin: Location, target: Location) -> bool:
        """Return whether a message sent now would arrive."""
        if origin.zone != target.zone and self.partitioned_zones & {origin.zone, target.zone}:
            return False
        return origin.region == target.region or not self.partitioned_regions & {origin.region, target.region}
