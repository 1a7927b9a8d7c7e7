"""Adaptive concurrency limit: how many own attempts may be active while answers come in time."""

import math
from collections.abc import Mapping

from sidecar.balancer.policy.sparsity import FEW_ACTIVE, MAX_SPARSITY, sparsity
from sidecar.balancer.state import Context, DecayingRate

ALLOWED_RATIO = 0.3  # the typical answer may take this part of its latency target; beyond is overload
ALLOWED_RATIO_FEW = 0.4  # or this, where so few are active that much of the median is chance
ALLOWED_RATIO_MOST = 0.5  # and never more, or overload would pass for the usual
BASELINE_ROOM = 1.2  # but never less than this many times what it takes when the fleet is idle
BASELINE_STEP = 0.02  # the baseline may rise by this part of the median's step at each answer
BASELINE_STEP_PRESSED = 0.002  # and hardly while refusing
MEDIAN_STEP = 0.04  # step of the running median: some 25 answers turn it round
LATE_ALLOWED = 0.05  # a fleet is not overloaded that answers all but this part in time
LATE_STEP = 0.02  # of the last fifty answers or so
LATE_RATIO = 2.0  # what an attempt counts as that brought no answer: it would have been late by far
NEW_TARGETS = 2.0  # the limit is first sized this many of the longest target after the first answer
LEAST_LIMIT = 0.1  # a trickle passes at any time, so that relief is seen
ADJUSTMENT_TARGETS = 0.5  # at twice the allowed ratio it shrinks e-fold in this many of the longest target
FREE_FILL = 0.5  # up to this part of the limit all are admitted, and the limit does not grow
CORES_STEP = 0.1  # of the last ten reports or so
CORES_BUSY = 0.85  # while servers report their cores less busy than this, there is room for more
CORES_SPARE = 0.4  # less than this, also a busy balancer goes by reports: they lag behind a surge
CORES_SATURATED = 0.95  # this much tells of overload before late answers do
CORES_JUNK = 2.0  # a report of more than noise can make of a share


class ConcurrencyLimit:
    """A limit that follows the median latency ratio: latency over its target."""

    def __init__(self, context: Context) -> None:
        self.limit = math.inf
        self.latency_ratio = 0.0  # running median
        self.late_share = 0.0  # part of the answers that come after their target
        self.cores: float | None = None  # how busy servers report their cores, on average; None: not at all
        self.refused = False  # whether it refused anything since it was last sized
        self.sized_at = 0
        self._context = context
        self._baseline: float | None = None  # the least the median has been of late
        self._sized_from = 0
        self._served_targets = DecayingRate(context.longest_target_us)  # time allowed to answers, per time

    def rescale(self, factor: float) -> None:
        """Latency targets are this many times as long: as much more is served within one, at lower ratios."""
        self.limit = max(self.limit * factor, LEAST_LIMIT)
        self.latency_ratio = min(self.latency_ratio / factor, 1.0)
        if self._baseline is not None:
            self._baseline = min(self._baseline / factor, 1.0)

    def delivered(self, latency_target_us: int) -> None:
        self._served_targets.add(self._context.now, latency_target_us)

    def report(self, report: Mapping[str, float] | None) -> None:
        """Learn from a load report."""
        if report and report.get("util", CORES_JUNK) < CORES_JUNK:
            busy = min(max(report["util"], 0.0), 1.0)
            self.cores = busy if self.cores is None else self.cores + CORES_STEP * (busy - self.cores)

    def report_missed(self) -> None:
        """A server stays silent: no answer, no report; the reports of others alone would flatter."""
        if self.cores is not None:
            self.cores += CORES_STEP * (1.0 - self.cores)

    def observe(self, latency_ratio: float) -> None:
        """Follow the median, so that a few slow servers or heavy requests are no overload; size the limit."""
        if self._baseline is None:
            self.latency_ratio = self._baseline = min(latency_ratio, ALLOWED_RATIO)
            self._sized_from = self._context.now + int(NEW_TARGETS * self._context.longest_target_us)
        stretch, total = sparsity(self._context.load), self._context.load.total()
        step = stretch * MEDIAN_STEP * (1.0 if latency_ratio > self.latency_ratio else -1.0)
        # The median is not followed past the target: from there it must find back.
        self.latency_ratio = max(0.0, min(self.latency_ratio + step, 1.0))
        self.late_share += stretch * LATE_STEP * ((1.0 if latency_ratio > 1.0 else 0.0) - self.late_share)
        rise = BASELINE_STEP if total <= FREE_FILL * self.limit else BASELINE_STEP_PRESSED
        self._baseline = min(self._baseline + rise * MEDIAN_STEP, max(self.latency_ratio, MEDIAN_STEP))
        allowed = min(max(ALLOWED_RATIO, BASELINE_ROOM * self._baseline), ALLOWED_RATIO_MOST)
        # The fewer answers there are, the more of the median is chance: it must be further off to count.
        chance = (stretch - 1.0) / (MAX_SPARSITY - 1.0)
        allowed = max(allowed, ALLOWED_RATIO + chance * (ALLOWED_RATIO_FEW - ALLOWED_RATIO))
        self._resize(total, stretch, allowed)

    def _resize(self, total: int, stretch: float, allowed: float) -> None:
        """Shrink or grow the limit by how far the typical answer is from the allowed ratio.

        Attempts in flight are limited, not arrivals: a surge then meets the limit at once.  By Little's law,
        what is answered at this rate within the allowed ratio needs rate times time in flight; below that the
        limit never shrinks, or late news would shut it.
        """
        now, longest_us = self._context.now, self._context.longest_target_us
        if now < self._sized_from and self.late_share < 10 * LATE_ALLOWED:
            return  # every connection is new, the rates are not full: less than half late may be chance
        elapsed_us = min(now - self.sized_at, stretch * longest_us / 4)
        self.sized_at = now
        excess = self._excess(stretch, allowed)
        saturated = self.cores is not None and self.cores >= CORES_SATURATED
        if excess > 0.0 and self.late_share < LATE_ALLOWED and not saturated:
            return  # slower than usual, yet in time
        if excess > 0.0:
            self.limit = min(self.limit, max(total, self._context.load.mean / FREE_FILL))
        elif not self.refused:
            return  # it refused nothing, so nothing says that it is too small
        self.refused = False
        change = math.exp(-excess * elapsed_us / (ADJUSTMENT_TARGETS * longest_us))
        self._served_targets.set_span(stretch * longest_us)
        needed = allowed * self._served_targets.per_us(now) / FREE_FILL
        self.limit = max(self.limit * change, min(needed, self.limit), LEAST_LIMIT)

    def _excess(self, stretch: float, allowed: float) -> float:
        """How far the typical answer is past the allowed ratio, from -1 to 1.

        Late answers from servers with idle cores tell of a few slow ones, of broken connections or of own
        lag, not of too many requests.  A busy balancer goes by answers all the same: they come sooner.
        """
        excess = (self.latency_ratio - allowed) / allowed
        if self.cores is not None and (stretch > 1.0 or self.cores < CORES_SPARE):
            excess = min(excess, (self.cores - CORES_BUSY) / (1.0 - CORES_BUSY))
        return max(-1.0, min(excess, 1.0))

    def fill(self) -> float:
        """How much of the limit is taken; where that is small the mean counts, as two at once are chance."""
        load, certain = self._context.load, min(self.limit / FEW_ACTIVE, 1.0)
        return (load.mean + certain * (load.total() - load.mean)) / self.limit
