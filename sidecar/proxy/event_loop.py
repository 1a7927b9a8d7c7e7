"""An event loop that reports the earliest time at which the data it reads can have arrived."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Callable

NEGLIGIBLE_WAIT_S = 0.005  # shorter waits are ignored, as each iteration takes some time

_ReadyEvents = list[tuple[selectors.SelectorKey, int]]


class PollTimingSelector(selectors.DefaultSelector):
    """A selector that records the earliest time at which the events of its last poll can have occurred.

    An event that occurs while callbacks run, or while the whole process is stopped, is only seen by the next
    poll.  A stop during a poll is detected if the poll overruns its timeout; a shorter one goes unnoticed.

    Attributes:
        earliest_arrival: The time after which the events of the last poll occurred, in seconds of the clock.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        super().__init__()
        self._clock = clock
        self._poll_ended_at = clock()  # when the last poll returned
        self.earliest_arrival = self._poll_ended_at

    def select(self, timeout: float | None = None) -> _ReadyEvents:
        """Poll for at most `timeout` seconds; None: until an event occurs."""
        started_at = self._clock()
        if started_at - self._poll_ended_at > NEGLIGIBLE_WAIT_S:
            ready = super().select(0)  # separates events that waited from events during the poll
            if ready or timeout == 0:
                self._record_poll(self._poll_ended_at)
                return ready
        ready = super().select(timeout)
        overran = timeout is not None and self._clock() > started_at + timeout + NEGLIGIBLE_WAIT_S
        self._record_poll(started_at if overran else self._clock())
        return ready

    def _record_poll(self, earliest_arrival: float) -> None:
        self.earliest_arrival = earliest_arrival
        self._poll_ended_at = self._clock()


class EventLoop(asyncio.SelectorEventLoop):
    """The standard event loop, with a selector that records its polls."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._poll_clock = clock
        self._poll_timing = PollTimingSelector(clock)
        super().__init__(self._poll_timing)

    def time(self) -> float:
        """Return the time of the loop's clock, in seconds."""
        return self._poll_clock()

    @property
    def earliest_arrival(self) -> float:
        """The time after which the data that becomes readable in this iteration arrived, in seconds."""
        return self._poll_timing.earliest_arrival


def earliest_arrival() -> float:
    """Return the time after which the data that becomes readable in this iteration arrived, in seconds.

    On an event loop of another class this is the current time: no data counts as having waited.
    """
    loop = asyncio.get_running_loop()
    return loop.earliest_arrival if isinstance(loop, EventLoop) else loop.time()
