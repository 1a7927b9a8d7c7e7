"""An event loop in virtual time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from functools import partial
from typing import TypeVarTuple

MICROSECONDS_PER_SECOND = 1_000_000

Arguments = TypeVarTuple("Arguments")
ScheduledCallback = tuple[int, int, Callable[[], None]]  # due time, sequence number, callback


class VirtualEventLoop:
    """Runs callbacks in order of their due times, and those due at the same time in order of scheduling."""

    def __init__(self) -> None:
        self.now = 0  # microseconds since the start of the run
        self._queue: list[ScheduledCallback] = []
        self._sequence_number = 0

    def call_at(self, due: int, callback: Callable[[*Arguments], None], *arguments: *Arguments) -> None:
        """Run a callback at `due`, in microseconds; a callback due in the past runs at the current time."""
        self._sequence_number += 1
        scheduled: ScheduledCallback = (
            max(due, self.now),
            self._sequence_number,
            partial(callback, *arguments),
        )
        heapq.heappush(self._queue, scheduled)

    def call_later(
        self, delay_us: int, callback: Callable[[*Arguments], None], *arguments: *Arguments
    ) -> None:
        """Run a callback after a delay in microseconds."""
        self.call_at(self.now + delay_us, callback, *arguments)

    def run_until(self, end: int) -> None:
        """Run all callbacks due by `end`, in microseconds, and set the clock to it."""
        while self._queue and self._queue[0][0] <= end:
            due, _, callback = heapq.heappop(self._queue)
            self.now = due
            callback()
        self.now = end
