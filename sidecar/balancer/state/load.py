"""The load that this balancer's own attempts cause: at each server, in total and on average."""

import heapq
import math

from sidecar.balancer.state.clock import Clock
from sidecar.balancer.state.records import Attempt, Server


class ActiveLoad:
    """Running counts of active attempts; abandoned ones count on for a while, as they may still run.

    The total leaves out attempts whose latency target has passed: they have told what they can tell.  Counted
    up to their deadline, they would keep the concurrency limit full long after other servers are well.

    Attributes:
        attempts: The number of attempts that have not ended.
        within_target: Of these, the number of those whose latency target has not passed.
        within_target_at_ejected: Of the attempts within their target, the number of those at ejected servers.
        mean: The moving average of the total.
    """

    def __init__(self, clock: Clock) -> None:
        self.attempts = 0
        self.within_target = 0
        self.within_target_at_ejected = 0
        self.mean = 0.0
        self._mean_updated_at = 0
        self._abandoned_until: list[int] = []  # when each abandoned attempt stops counting; a heap
        self._clock = clock

    def change(self, server: Server, delta: int, within_target: bool = True) -> None:
        """Count an attempt that starts or ends.

        Args:
            server: The server of the attempt.
            delta: 1 where it starts, -1 where it ends.
            within_target: Whether its latency target has not passed.
        """
        server.in_flight += delta
        self.attempts += delta
        if within_target:
            self._change_within_target(server, delta)

    def mark_target_passed(self, attempt: Attempt) -> None:
        """Leave a pending attempt out of the total, as its latency target has passed."""
        if attempt.within_target:
            attempt.within_target = False
            self._change_within_target(attempt.server, -1)

    def _change_within_target(self, server: Server, delta: int) -> None:
        server.in_flight_within_target += delta
        self.within_target += delta
        if server.ejected_until is not None:
            self.within_target_at_ejected += delta

    def add_abandoned(self, server: Server, until: int, within_target: bool = True) -> None:
        """Go on counting an attempt that ended without a response.

        Args:
            server: The server of the attempt.
            until: The time up to which it counts, in microseconds.
            within_target: Whether its latency target had not passed; otherwise the total leaves it out.
        """
        server.abandoned_until.append(until)
        if within_target and server.ejected_until is None:
            heapq.heappush(self._abandoned_until, until)

    def total(self) -> int:
        """The number of attempts within their target, and abandoned ones, at servers that are not ejected."""
        # From running counts, as it is read at every event.
        while self._abandoned_until and self._abandoned_until[0] <= self._clock.now:
            heapq.heappop(self._abandoned_until)
        return self.within_target - self.within_target_at_ejected + len(self._abandoned_until)

    def attempts_at(self, server: Server) -> int:
        """The number of active and abandoned attempts at a server.

        Without the abandoned ones, a slow or hung server would look idle once its attempts are cancelled.
        """
        if server.abandoned_until:
            server.abandoned_until = [until for until in server.abandoned_until if until > self._clock.now]
        return server.in_flight + len(server.abandoned_until)

    def update_mean(self, max_start: float, span_us: float) -> None:
        """Average the total up to now.

        Args:
            max_start: The largest mean to start from, unless the total is larger.
            span_us: The time span of the moving average, in microseconds.
        """
        elapsed_us = self._clock.now - self._mean_updated_at
        if elapsed_us <= 0:
            return
        self._mean_updated_at = self._clock.now
        total = self.total()
        start = min(self.mean, max(total, max_start, 1.0))
        step = 1.0 - math.exp(-elapsed_us / span_us)
        self.mean = start + (total - start) * step
