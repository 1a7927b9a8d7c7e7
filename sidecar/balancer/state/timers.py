"""Timers: what may fall due, and one queue of them behind a single timer of the host."""

import heapq
from collections.abc import Callable, Iterator
from typing import NamedTuple

from sidecar.balancer.actions import SetTimer
from sidecar.balancer.state.records import Server


class RequestDeadline(NamedTuple):
    """A request has to be answered."""

    request: int


class AttemptOverdue(NamedTuple):
    """An attempt takes longer than usual."""

    request: int
    attempt: int


class ProbesDue(NamedTuple):
    """A request has waited long enough for its probes."""

    request: int


class KeyRested(NamedTuple):
    """The next request of a key may be sent."""

    key: int


class IdleCloseDue(NamedTuple):
    """The idle connections to a server may be closed."""

    server: Server


class RegistryPoll(NamedTuple):
    """The registry is to be asked again."""


class StallCheck(NamedTuple):
    """A timer whose lateness tells of a stall."""


Timer = RequestDeadline | AttemptOverdue | ProbesDue | KeyRested | IdleCloseDue | RegistryPoll | StallCheck


class TimerQueue:
    """Timers by the time they are due, and among equals in the order they were added."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer]] = []
        self._added = 0
        self._armed_for: int | None = None  # when the host's timer fires; None: it is not set

    def add(self, due: int, timer: Timer) -> None:
        self._added += 1
        heapq.heappush(self._heap, (due, self._added, timer))

    def take_due(self, now: int) -> Iterator[tuple[int, Timer]]:
        """Take the timers that are due, each with the time it was set for, as the host's timer fires."""
        if self._armed_for is not None and now >= self._armed_for:
            self._armed_for = None
        while self._heap and self._heap[0][0] <= now:
            due, _, timer = heapq.heappop(self._heap)
            yield due, timer

    def arm(self, now: int, wanted_at: Callable[[int, Timer], int | None]) -> SetTimer | None:
        """Drop leading timers that nothing waits for any more; set the host's timer if it fires too late."""
        heap = self._heap
        while heap and wanted_at(heap[0][0], heap[0][2]) != heap[0][0]:
            heapq.heappop(heap)
        if not heap or (self._armed_for is not None and heap[0][0] >= self._armed_for):
            return None
        self._armed_for = heap[0][0]
        return SetTimer(max(self._armed_for - now, 0), "agenda")
