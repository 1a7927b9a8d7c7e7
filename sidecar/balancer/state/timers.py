"""Timers of the balancer, and a queue that needs only a single timer of the host for all of them."""

import heapq
from collections.abc import Callable, Iterator
from typing import NamedTuple

from sidecar.balancer.actions import SetTimer
from sidecar.balancer.state.records import Server

HOST_TIMER_TOKEN = "agenda"  # a single host timer serves all timers, so they share its token


class RequestDeadline(NamedTuple):
    """The time has come at which a request must get its final response.

    Attributes:
        request: The number of the request.
    """

    request: int


class AttemptOverdue(NamedTuple):
    """An attempt takes longer than usual.

    Attributes:
        request: The number of the request.
        attempt: The number of the attempt within its request.
    """

    request: int
    attempt: int


class HealthChecksDue(NamedTuple):
    """A request has waited long enough for the health checks of its candidates.

    Attributes:
        request: The number of the request.
    """

    request: int


class KeyCooldownOver(NamedTuple):
    """The cooldown of an ordering key is over, so its next request may be sent.

    Attributes:
        key: The ordering key.
    """

    key: int


class IdleCloseDue(NamedTuple):
    """The idle connections to a server should be closed.

    Attributes:
        server: The server.
    """

    server: Server


class RegistryPoll(NamedTuple):
    """The registry is to be polled."""


class StallCheck(NamedTuple):
    """A check for stalls: if it is handled late, this process has stalled."""


Timer = (
    RequestDeadline
    | AttemptOverdue
    | HealthChecksDue
    | KeyCooldownOver
    | IdleCloseDue
    | RegistryPoll
    | StallCheck
)


class TimerQueue:
    """Timers in order of their due times; timers that are due at the same time are in insertion order."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer]] = []
        self._added_count = 0
        self._armed_for: int | None = None  # when the host's timer fires; None if it is not set

    def add(self, due: int, timer: Timer) -> None:
        """Add a timer.

        Args:
            due: When it is due, in microseconds on the host's clock.
            timer: The timer.
        """
        self._added_count += 1
        heapq.heappush(self._heap, (due, self._added_count, timer))

    def pop_due(self, now: int) -> Iterator[tuple[int, Timer]]:
        """Remove the timers that are due; if the host's timer is due, it is assumed to have fired.

        Args:
            now: The host's clock, in microseconds.

        Yields:
            Each timer with the time for which it was added, in microseconds.
        """
        if self._armed_for is not None and now >= self._armed_for:
            self._armed_for = None
        while self._heap and self._heap[0][0] <= now:
            due, _, timer = heapq.heappop(self._heap)
            yield due, timer

    def arm(self, now: int, current_due_time: Callable[[int, Timer], int | None]) -> SetTimer | None:
        """Set the host's timer for the first timer that is not stale.

        Args:
            now: The host's clock, in microseconds.
            current_due_time: Returns the time at which a timer is now due, given the time for which it was
                added, or None if it is no longer needed.  A timer at the head of the queue is stale and is
                dropped if the result differs from the time for which it was added.

        Returns:
            The action that sets the host's timer; None if it fires early enough already or no timer is left.
        """
        self._drop_stale(current_due_time)
        if not self._heap:
            return None
        first_due = self._heap[0][0]
        if self._armed_for is not None and first_due >= self._armed_for:
            return None
        self._armed_for = first_due
        return SetTimer(max(first_due - now, 0), HOST_TIMER_TOKEN)

    def _drop_stale(self, current_due_time: Callable[[int, Timer], int | None]) -> None:
        heap = self._heap
        while heap:
            due, _, timer = heap[0]
            if current_due_time(due, timer) == due:
                return
            heapq.heappop(heap)
