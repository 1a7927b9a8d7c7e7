"""An event loop that knows how long what it reads may have waited for it."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Callable

NEGLIGIBLE_WAIT_S = 0.005  # shorter waits count as none: each turn of the loop takes some time

_Ready = list[tuple[selectors.SelectorKey, int]]


class PollTimingSelector(selectors.DefaultSelector):
    """Notes by its polls from when on the events that it reports can have come.

    What comes while callbacks run is seen by the next poll only, and what comes while the whole process is
    stopped may be seen as late.  A stop within a sleep shows where the sleep lasts longer than was asked for;
    one that ends before that goes unnoticed.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        super().__init__()
        self._clock = clock
        self._polled_at = clock()  # when the last poll returned
        self.arrived_after = self._polled_at  # what the last poll reported came after this time

    def select(self, timeout: float | None = None) -> _Ready:
        began = self._clock()
        if began - self._polled_at > NEGLIGIBLE_WAIT_S:
            ready = super().select(0)  # sets apart what waited from what comes during the sleep
            if ready or timeout == 0:
                self._note_poll(self._polled_at)
                return ready
        ready = super().select(timeout)
        overslept = timeout is not None and self._clock() > began + timeout + NEGLIGIBLE_WAIT_S
        self._note_poll(began if overslept else self._clock())
        return ready

    def _note_poll(self, arrived_after: float) -> None:
        self.arrived_after = arrived_after
        self._polled_at = self._clock()


class EventLoop(asyncio.SelectorEventLoop):
    """The standard event loop, with a selector that notes its polls."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._poll_clock = clock
        self._poll_timing = PollTimingSelector(clock)
        super().__init__(self._poll_timing)

    def time(self) -> float:
        return self._poll_clock()

    @property
    def arrived_after(self) -> float:
        """The time after which all came that callbacks of this turn read first."""
        return self._poll_timing.arrived_after


def arrived_after() -> float:
    """The time after which all came that is read in this turn of the running loop, if the loop knows it."""
    loop = asyncio.get_running_loop()
    return loop.arrived_after if isinstance(loop, EventLoop) else loop.time()
