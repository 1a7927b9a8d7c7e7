"""The time at which a client's data arrived, as far as it can be known."""

from __future__ import annotations

import asyncio

from sidecar.proxy.event_loop import NEGLIGIBLE_WAIT_S, earliest_arrival


class ArrivalTime:
    """The earliest time at which the request that is being read can have arrived.

    Times are those of the event loop, in seconds.
    """

    def __init__(self, connected_after: float) -> None:
        """Create the arrival time of a connection's first request.

        Args:
            connected_after: Time before which no data can have arrived.
        """
        self._earliest = connected_after
        self._has_next_waited = False

    def set_next_waited(self, *, has_waited: bool) -> None:
        """Set whether the data that is read next has waited since the earliest time known so far."""
        self._has_next_waited = has_waited

    def record(self, *, continues_pipelined: bool) -> None:
        """Record that data has been read in this iteration of the event loop.

        Args:
            continues_pipelined: Whether it follows earlier data behind a request in flight, which counts.
        """
        if not self._has_next_waited and not continues_pipelined:
            self._earliest = earliest_arrival()
        self._has_next_waited = False

    def waited_us(self) -> int:
        """Return how long the request may have waited, in microseconds; 0 if negligible.

        The client's time budget was running during that wait.
        """
        waited_s = asyncio.get_running_loop().time() - self._earliest
        return int(waited_s * 1e6) if waited_s > NEGLIGIBLE_WAIT_S else 0
