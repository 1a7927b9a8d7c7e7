"""The load of this balancer's own attempts: at each server, in total and on average."""

import heapq
import math

from sidecar.balancer.state.clock import Clock
from sidecar.balancer.state.records import Attempt, Server


class ActiveLoad:
    """Running counts of pending attempts, and for a while of abandoned ones, as servers may still run them.

    Abandoned attempts are those that were cancelled or timed out.

    The total excludes attempts whose latency target has passed, as they are known to be late already.  If
    they were included up to their deadline, the concurrency limit would stay full long after other servers
    have recovered.

    Attributes:
        attempts: The number of pending attempts.
        within_target: The number of pending attempts whose latency target has not passed.
        within_target_at_ejected: The number of attempts in `within_target` that are at ejected servers.
        mean: The moving average of the total.
    """

    def __init__(self, clock: Clock) -> None:
        self.attempts = 0
        self.within_target = 0
        self.within_target_at_ejected = 0
        self.mean = 0.0
        self._mean_updated_at = 0
        self._abandoned_until: list[int] = []  # a heap: when each abandoned attempt stops counting
        self._clock = clock

    def change_attempts(self, server: Server, delta: int, within_target: bool = True) -> None:
        """Count an attempt that starts or ends.

        Args:
            server: The server of the attempt.
            delta: 1 if it starts, -1 if it ends.
            within_target: Whether its latency target has not passed.
        """
        server.in_flight += delta
        self.attempts += delta
        if within_target:
            self._change_within_target(server, delta)

    def mark_target_passed(self, attempt: Attempt) -> None:
        """Exclude a pending attempt from the total, as its latency target has passed."""
        if attempt.within_target:
            attempt.within_target = False
            self._change_within_target(attempt.server, -1)

    def _change_within_target(self, server: Server, delta: int) -> None:
        server.in_flight_within_target += delta
        self.within_target += delta
        if server.ejected_until is not None:
            self.within_target_at_ejected += delta

    def add_abandoned(self, server: Server, until: int, within_target: bool = True) -> None:
        """Continue to count an attempt that ended without a response.

        Args:
            server: The server of the attempt.
            until: The time at which it stops counting, in microseconds.
            within_target: Whether its latency target had not passed; otherwise the total excludes it.
        """
        server.abandoned_until.append(until)
        if within_target and server.ejected_until is None:
            heapq.heappush(self._abandoned_until, until)

    def total(self) -> int:
        """The number of attempts within their target, and abandoned ones, at servers that are not ejected."""
        # The total is computed from running counts, as it is read at every event.
        while self._abandoned_until and self._abandoned_until[0] <= self._clock.now:
            heapq.heappop(self._abandoned_until)
        return self.within_target - self.within_target_at_ejected + len(self._abandoned_until)

    def attempts_at(self, server: Server) -> int:
        """The number of pending and abandoned attempts at a server.

        Without the abandoned ones, a slow or hung server would seem idle once its attempts are cancelled.
        """
        if server.abandoned_until:
            server.abandoned_until = [until for until in server.abandoned_until if until > self._clock.now]
        return server.in_flight + len(server.abandoned_until)

    def update_mean(self, limit: float, span_us: float) -> None:
        """Update the moving average of the total for the time since its last update.

        Args:
            limit: The concurrency limit.  A higher mean is reduced to it first, though not below the total or
                1, so that a load from before the limit shrank does not count for long.
            span_us: The time constant of the moving average, in microseconds.
        """
        elapsed_us = self._clock.now - self._mean_updated_at
        if elapsed_us <= 0:
            return
        self._mean_updated_at = self._clock.now
        total = self.total()
        start = min(self.mean, max(total, limit, 1.0))
        weight = 1.0 - math.exp(-elapsed_us / span_us)
        self.mean = start + (total - start) * weight
