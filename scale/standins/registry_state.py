"""What all connections to a registry share: its change log, availability, counters and pending watches."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from scale.standins.change_log import ChangeLog


class Availability(StrEnum):
    """How the registry treats calls."""

    UP = "up"
    DOWN = "down"  # watches end and each call is answered 503 at once
    OVERLOADED = "overloaded"  # calls wait, and then are answered 503


@dataclass(slots=True)
class RegistryCounts:
    """What the registry has done since its start."""

    connections: int = 0
    calls: int = 0
    snapshots: int = 0  # answers with the whole list
    deltas: int = 0  # answers with at least one changed entry
    empty: int = 0  # watches that ended with nothing new
    unavailable: int = 0  # answers 503
    malformed: int = 0  # answers 400, 404 and 405
    bytes_in: int = 0  # HTTP, without the headers of TCP and IP
    bytes_out: int = 0
    sampled_connections: int = 0
    sampled_segments: int = 0  # TCP segments, both ways, on the sampled connections
    watching: int = 0  # watches that wait at this moment


class Watch(Protocol):
    """A call that waits for a change."""

    def complete_watch(self) -> None:
        """Answer the call now, whether or not anything changed."""


class RegistryState:
    """The state of one registry."""

    def __init__(self, change_log: ChangeLog) -> None:
        self.change_log = change_log
        self.counts = RegistryCounts()
        self._availability = Availability.UP
        self._watches: dict[Watch, None] = {}  # in the order in which they came
        change_log.on_commit = self._complete_watches

    @property
    def availability(self) -> Availability:
        """How calls are treated."""
        return self._availability

    def set_availability(self, availability: Availability) -> None:
        """Go down, become overloaded or come back; watches end unless the registry is up."""
        self._availability = availability
        if availability is not Availability.UP:
            self._complete_watches()

    def _complete_watches(self) -> None:
        watches, self._watches = self._watches, {}
        for watch in watches:
            watch.complete_watch()

    def add_watch(self, watch: Watch) -> None:
        """Add a watch that waits for the next change."""
        self._watches[watch] = None
        self.counts.watching = len(self._watches)

    def remove_watch(self, watch: Watch) -> None:
        """Remove a watch that waits no longer; does nothing if it did not wait."""
        self._watches.pop(watch, None)
        self.counts.watching = len(self._watches)
