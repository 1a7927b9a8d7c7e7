"""Records the peak memory usage of the registry and of the stub sidecars during a fault."""

from __future__ import annotations

from threading import Event, Thread
from typing import Self

from scale.control.fleet import Fleet
from scale.control.measurements import STUB_ROLE, Labels
from scale.results import ResultWriter

_SAMPLE_INTERVAL_S = 0.25


class PeakSampler:
    """Context manager that samples memory usage in a thread and records the peaks."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._stopping = Event()
        self._thread = Thread(target=self._sample)
        self._registry_bytes = 0
        self._stub_bytes = 0

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._stopping.set()
        self._thread.join()

    def _sample(self) -> None:
        registry, stubs = self._fleet.registry.process, self._fleet.stubs.processes
        is_last_sample = False
        while not is_last_sample:
            is_last_sample = self._stopping.wait(_SAMPLE_INTERVAL_S)
            self._registry_bytes = max(self._registry_bytes, registry.usage().memory_bytes)
            self._stub_bytes = max(self._stub_bytes, sum(each.usage().memory_bytes for each in stubs))

    def write(self, writer: ResultWriter, labels: Labels) -> None:
        """Write the peaks; the value per stub sidecar includes its share of the memory of its process."""
        bytes_per_sidecar = self._stub_bytes / self._fleet.stubs.count
        writer.add("discovery", "memory, largest", self._registry_bytes, "bytes", labels)
        writer.add(STUB_ROLE, "memory, largest, with its process's", bytes_per_sidecar, "bytes", labels)
