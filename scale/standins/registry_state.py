"""The state shared by all connections to a registry: change log, availability, counters and watches."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from scale.standins.change_log import ChangeLog


class Availability(StrEnum):
    """Whether and how the registry serves calls."""

    UP = "up"
    DOWN = "down"  # pending watches end, and each call immediately gets 503
    OVERLOADED = "overloaded"  # pending watches end, and each call gets 503 after a delay


@dataclass(slots=True)
class RegistryCounters:
    """Counters since the registry's start."""

    connections: int = 0
    calls: int = 0
    snapshots: int = 0  # responses with all endpoints
    deltas: int = 0  # responses with at least one changed entry
    empty: int = 0  # responses without entries: nothing had changed
    unavailable: int = 0  # responses with 503
    malformed: int = 0  # responses with 400, 404, 405 and 431
    bytes_in: int = 0  # HTTP bytes received, without TCP and IP headers
    bytes_out: int = 0  # HTTP bytes sent, without TCP and IP headers
    sampled_connections: int = 0
    sampled_segments: int = 0  # TCP segments in both directions on the sampled connections
    watching: int = 0  # pending watches


class Watch(Protocol):
    """A pending call that waits for a change."""

    def complete_watch(self) -> None:
        """Respond now, whether or not anything changed."""


class RegistryState:
    """A registry's change log, availability, counters and pending watches."""

    def __init__(self, change_log: ChangeLog) -> None:
        self.change_log = change_log
        self.counters = RegistryCounters()
        self._availability = Availability.UP
        self._watches: dict[Watch, None] = {}  # in order of arrival
        change_log.on_commit = self._complete_watches

    @property
    def availability(self) -> Availability:
        """Whether and how calls are served."""
        return self._availability

    def set_availability(self, availability: Availability) -> None:
        """Set whether and how calls are served; pending watches end unless the registry is up."""
        self._availability = availability
        if availability is not Availability.UP:
            self._complete_watches()

    def _complete_watches(self) -> None:
        watches, self._watches = self._watches, {}
        for watch in watches:
            watch.complete_watch()

    def add_watch(self, watch: Watch) -> None:
        """Add a watch, to be completed at the next change."""
        self._watches[watch] = None
        self.counters.watching = len(self._watches)

    def remove_watch(self, watch: Watch) -> None:
        """Remove a watch; does nothing if it is not pending."""
        self._watches.pop(watch, None)
        self.counters.watching = len(self._watches)
