"""This balancer's own attempts in flight: at each server, in all, and on average."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

from topazbank.state.records import Server

if TYPE_CHECKING:
    from topazbank.state.context import Context


class ActiveLoad:
    """Running counts of active attempts; abandoned ones count on for a while, as they may still run."""

    def __init__(self, context: Context) -> None:
        self.attempts = 0  # not ended yet
        self.at_ejected = 0  # of these, at ejected servers
        self.mean = 0.0  # of the total, over time
        self._mean_at = 0
        self._abandoned: list[int] = []  # when each abandoned attempt stops counting, soonest first
        self._context = context

    def change(self, server: Server, by: int) -> None:
        """Count an attempt that starts (1) or ends (-1)."""
        server.in_flight += by
        self.attempts += by
        if server.ejected_until is not None:
            self.at_ejected += by

    def abandon(self, server: Server, until: int) -> None:
        """Count an attempt that ended without an answer until then."""
        server.abandoned.append(until)
        if server.ejected_until is None:
            heapq.heappush(self._abandoned, until)

    def total(self) -> int:
        """Active and abandoned attempts at servers that are not ejected; kept as counts, not summed."""
        while self._abandoned and self._abandoned[0] <= self._context.now:
            heapq.heappop(self._abandoned)
        return self.attempts - self.at_ejected + len(self._abandoned)

    def at(self, server: Server) -> int:
        """Active and abandoned attempts at one server.

        Guards against a slow or hung server that looks empty because its attempts were cancelled.
        """
        if server.abandoned:
            server.abandoned = [until for until in server.abandoned if until > self._context.now]
        return server.in_flight + len(server.abandoned)

    def update_mean(self, most: float, span_us: float) -> None:
        """Average the total up to now over this span, and no more than this (or the total) before."""
        elapsed_us = self._context.now - self._mean_at
        if elapsed_us > 0:
            self._mean_at = self._context.now
            total = self.total()
            self.mean = min(self.mean, max(total, most, 1.0))
            self.mean += (total - self.mean) * (1.0 - math.exp(-elapsed_us / span_us))
