"""Adaptive concurrency limit: how many own attempts may be active while answers come in time."""

import math
from collections.abc import Mapping

from sidecar.balancer.policy.low_traffic import CONFIDENT_LOAD, MAX_LOW_TRAFFIC_FACTOR, low_traffic_factor
from sidecar.balancer.state import Context, DecayingRate

ALLOWED_LATENCY_RATIO = 0.3  # the typical answer may take this part of its latency target; beyond is overload
ALLOWED_LATENCY_RATIO_LOW_TRAFFIC = 0.4  # or this, where so few are active that much of the median is chance
MAX_ALLOWED_LATENCY_RATIO = 0.5  # and never more, or overload would pass for the usual
BASELINE_HEADROOM_FACTOR = 1.2  # but never less than this many times what it takes when the fleet is idle
BASELINE_STEP = 0.02  # the baseline may rise by this part of the median's step at each answer
BASELINE_STEP_UNDER_LOAD = 0.002  # and hardly while refusing
MEDIAN_STEP = 0.04  # step of the running median: some 25 answers turn it round
ALLOWED_LATE_SHARE = 0.05  # a fleet is not overloaded that answers all but this part in time
LATE_SHARE_STEP = 0.02  # of the last fifty answers or so
UNANSWERED_LATENCY_RATIO = (
    2.0  # what an attempt counts as that brought no answer: it would have been late by far
)
INITIAL_SIZING_DELAY_TARGETS = (
    2.0  # the limit is first sized this many of the longest target after the first answer
)
MIN_LIMIT = 0.1  # a trickle passes at any time, so that relief is seen
ADJUSTMENT_TARGETS = 0.5  # at twice the allowed ratio it shrinks e-fold in this many of the longest target
UNRESTRICTED_UTILIZATION = 0.5  # up to this part of the limit all are admitted, and the limit does not grow
CPU_UTILIZATION_STEP = 0.1  # of the last ten reports or so
BUSY_CPU_UTILIZATION = 0.85  # while servers report their cores less busy than this, there is room for more
SPARE_CPU_UTILIZATION = 0.4  # less than this, also a busy balancer goes by reports: they lag behind a surge
SATURATED_CPU_UTILIZATION = 0.95  # this much tells of overload before late answers do
INVALID_CPU_UTILIZATION = 2.0  # a report of more than noise can make of a share


class ConcurrencyLimit:
    """A limit that follows the median latency ratio: latency over its target."""

    def __init__(self, context: Context) -> None:
        self.limit = math.inf
        self.latency_ratio = 0.0  # running median
        self.late_share = 0.0  # part of the answers that come after their target
        self.cpu_utilization: float | None = (
            None  # how busy servers report their cores, on average; None: not at all
        )
        self.has_rejected = False  # whether it refused anything since it was last sized
        self.sized_at = 0
        self._context = context
        self._baseline: float | None = None  # the least the median has been of late
        self._sized_from = 0
        self._served_targets = DecayingRate(context.longest_target_us)  # time allowed to answers, per time

    def rescale(self, factor: float) -> None:
        """Latency targets are this many times as long: as much more is served within one, at lower ratios."""
        self.limit = max(self.limit * factor, MIN_LIMIT)
        self.latency_ratio = min(self.latency_ratio / factor, 1.0)
        if self._baseline is not None:
            self._baseline = min(self._baseline / factor, 1.0)

    def count_success(self, latency_target_us: int) -> None:
        self._served_targets.add(self._context.now, latency_target_us)

    def observe_load_report(self, report: Mapping[str, float] | None) -> None:
        """Learn from a load report."""
        if report and report.get("util", INVALID_CPU_UTILIZATION) < INVALID_CPU_UTILIZATION:
            busy = min(max(report["util"], 0.0), 1.0)
            self.cpu_utilization = (
                busy
                if self.cpu_utilization is None
                else self.cpu_utilization + CPU_UTILIZATION_STEP * (busy - self.cpu_utilization)
            )

    def observe_missing_load_report(self) -> None:
        """A server stays silent: no answer, no report; the reports of others alone would flatter."""
        if self.cpu_utilization is not None:
            self.cpu_utilization += CPU_UTILIZATION_STEP * (1.0 - self.cpu_utilization)

    def observe(self, latency_ratio: float) -> None:
        """Follow the median, so that a few slow servers or heavy requests are no overload; size the limit."""
        if self._baseline is None:
            self.latency_ratio = self._baseline = min(latency_ratio, ALLOWED_LATENCY_RATIO)
            self._sized_from = self._context.now + int(
                INITIAL_SIZING_DELAY_TARGETS * self._context.longest_target_us
            )
        stretch, total = low_traffic_factor(self._context.load), self._context.load.total()
        step = stretch * MEDIAN_STEP * (1.0 if latency_ratio > self.latency_ratio else -1.0)
        # The median is not followed past the target: from there it must find back.
        self.latency_ratio = max(0.0, min(self.latency_ratio + step, 1.0))
        self.late_share += (
            stretch * LATE_SHARE_STEP * ((1.0 if latency_ratio > 1.0 else 0.0) - self.late_share)
        )
        rise = BASELINE_STEP if total <= UNRESTRICTED_UTILIZATION * self.limit else BASELINE_STEP_UNDER_LOAD
        self._baseline = min(self._baseline + rise * MEDIAN_STEP, max(self.latency_ratio, MEDIAN_STEP))
        allowed = min(
            max(ALLOWED_LATENCY_RATIO, BASELINE_HEADROOM_FACTOR * self._baseline), MAX_ALLOWED_LATENCY_RATIO
        )
        # The fewer answers there are, the more of the median is chance: it must be further off to count.
        chance = (stretch - 1.0) / (MAX_LOW_TRAFFIC_FACTOR - 1.0)
        allowed = max(
            allowed,
            ALLOWED_LATENCY_RATIO + chance * (ALLOWED_LATENCY_RATIO_LOW_TRAFFIC - ALLOWED_LATENCY_RATIO),
        )
        self._resize(total, stretch, allowed)

    def _resize(self, total: int, stretch: float, allowed: float) -> None:
        """Shrink or grow the limit by how far the typical answer is from the allowed ratio.

        Attempts in flight are limited, not arrivals: a surge then meets the limit at once.  By Little's law,
        what is answered at this rate within the allowed ratio needs rate times time in flight; below that the
        limit never shrinks, or late news would shut it.
        """
        now, longest_us = self._context.now, self._context.longest_target_us
        if now < self._sized_from and self.late_share < 10 * ALLOWED_LATE_SHARE:
            return  # every connection is new, the rates are not full: less than half late may be chance
        elapsed_us = min(now - self.sized_at, stretch * longest_us / 4)
        self.sized_at = now
        excess = self._excess(stretch, allowed)
        saturated = self.cpu_utilization is not None and self.cpu_utilization >= SATURATED_CPU_UTILIZATION
        if excess > 0.0 and self.late_share < ALLOWED_LATE_SHARE and not saturated:
            return  # slower than usual, yet in time
        if excess > 0.0:
            self.limit = min(self.limit, max(total, self._context.load.mean / UNRESTRICTED_UTILIZATION))
        elif not self.has_rejected:
            return  # it refused nothing, so nothing says that it is too small
        self.has_rejected = False
        change = math.exp(-excess * elapsed_us / (ADJUSTMENT_TARGETS * longest_us))
        self._served_targets.set_span(stretch * longest_us)
        needed = allowed * self._served_targets.per_us(now) / UNRESTRICTED_UTILIZATION
        self.limit = max(self.limit * change, min(needed, self.limit), MIN_LIMIT)

    def _excess(self, stretch: float, allowed: float) -> float:
        """How far the typical answer is past the allowed ratio, from -1 to 1.

        Late answers from servers with idle cores tell of a few slow ones, of broken connections or of own
        lag, not of too many requests.  A busy balancer goes by answers all the same: they come sooner.
        """
        excess = (self.latency_ratio - allowed) / allowed
        if self.cpu_utilization is not None and (
            stretch > 1.0 or self.cpu_utilization < SPARE_CPU_UTILIZATION
        ):
            excess = min(excess, (self.cpu_utilization - BUSY_CPU_UTILIZATION) / (1.0 - BUSY_CPU_UTILIZATION))
        return max(-1.0, min(excess, 1.0))

    def utilization(self) -> float:
        """How much of the limit is taken; where that is small the mean counts, as two at once are chance."""
        load, certain = self._context.load, min(self.limit / CONFIDENT_LOAD, 1.0)
        return (load.mean + certain * (load.total() - load.mean)) / self.limit
