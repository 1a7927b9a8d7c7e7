"""This balancer's own attempts in flight: at each server, in all, and on average."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

from sidecar.balancer.state.records import Attempt, Server

if TYPE_CHECKING:
    from sidecar.balancer.state.context import Context


class ActiveLoad:
    """Running counts of active attempts; abandoned ones count on for a while, as they may still run.

    The total leaves out attempts whose latency target has passed: they have told what they can tell.  Counted
    up to their deadline, they would keep the concurrency limit full long after other servers are well.
    """

    def __init__(self, context: Context) -> None:
        self.attempts = 0  # not ended yet
        self.within_target = 0  # of these, the ones whose latency target has not passed
        self.at_ejected = 0  # of the ones within their target, those at ejected servers
        self.mean = 0.0  # of the total, over time
        self._mean_at = 0
        self._abandoned: list[int] = []  # when each abandoned attempt stops counting, soonest first
        self._context = context

    def change(self, server: Server, by: int, within_target: bool = True) -> None:
        """Count an attempt that starts (1) or ends (-1), the latter within its latency target or after it."""
        server.in_flight += by
        self.attempts += by
        if within_target:
            self._change_within_target(server, by)

    def pass_target(self, attempt: Attempt) -> None:
        """Leave a pending attempt out of the total, as its latency target has passed."""
        if attempt.within_target:
            attempt.within_target = False
            self._change_within_target(attempt.server, -1)

    def _change_within_target(self, server: Server, by: int) -> None:
        server.in_flight_within_target += by
        self.within_target += by
        if server.ejected_until is not None:
            self.at_ejected += by

    def abandon(self, server: Server, until: int, within_target: bool = True) -> None:
        """Count an attempt that ended unanswered until then; in the total if it was within its target."""
        server.abandoned_until.append(until)
        if within_target and server.ejected_until is None:
            heapq.heappush(self._abandoned, until)

    def total(self) -> int:
        """Attempts within their target, and abandoned ones, at servers that are not ejected.

        Kept as counts, not summed: it is asked for at every event.
        """
        while self._abandoned and self._abandoned[0] <= self._context.now:
            heapq.heappop(self._abandoned)
        return self.within_target - self.at_ejected + len(self._abandoned)

    def at(self, server: Server) -> int:
        """Active and abandoned attempts at one server.

        Guards against a slow or hung server that looks empty because its attempts were cancelled.
        """
        if server.abandoned_until:
            server.abandoned_until = [until for until in server.abandoned_until if until > self._context.now]
        return server.in_flight + len(server.abandoned_until)

    def update_mean(self, most: float, span_us: float) -> None:
        """Average the total up to now over this span, and no more than this (or the total) before."""
        elapsed_us = self._context.now - self._mean_at
        if elapsed_us > 0:
            self._mean_at = self._context.now
            total = self.total()
            self.mean = min(self.mean, max(total, most, 1.0))
            self.mean += (total - self.mean) * (1.0 - math.exp(-elapsed_us / span_us))
