"""How long idle connections last, learnt from the requests that broke on them."""

from __future__ import annotations

import math
from dataclasses import dataclass

_TOLERATED_EXCESS = (
    0.1  # idle connections are stale where this much more of them break on a request than of new ones
)
_PRIOR_USES = 20.0  # requests taken as unbroken beforehand: of fewer, a few broken ones are chance
_MIN_BUCKET = -6  # the ages up to a sixty-fourth of a second (two to this power) count as one


@dataclass(slots=True)
class BreakageCounter:
    """Requests written to connections idle for alike long, and how many of them broke there."""

    uses: float = 0.0
    breaks: float = 0.0

    def broken_fraction(self) -> float:
        return self.breaks / (self.uses + _PRIOR_USES)

    def decay(self, keep: float) -> None:
        self.uses, self.breaks = keep * self.uses, keep * self.breaks


class IdleLifetimeEstimator:
    """How long idle connections last, learnt from the requests that broke on them.

    Guards against servers and boxes on the way that forget an idle connection long before the time in the
    settings and tell nobody until the next request.  Breaks that new connections suffer too say nothing.
    What was learnt fades over a few spans, so that connections are trusted again after that.
    """

    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._decayed_at = 0.0
        self._new_connections = BreakageCounter()
        self._by_bucket: dict[int, BreakageCounter] = {}  # by age, each for twice the age of the one before
        self._first_stale_bucket: float = math.inf  # the first of them that is not to be trusted

    def set_time_constant(self, time_constant_s: float) -> None:
        """Let what was learnt decay over another span from now on."""
        self._time_constant_s = time_constant_s

    def record(self, idle_s: float | None, broke: bool) -> None:
        """Count a request on a connection that was idle for so long; None: on a new one."""
        counter = (
            self._new_connections
            if idle_s is None
            else self._by_bucket.setdefault(self._bucket(idle_s), BreakageCounter())
        )
        counter.uses += 1.0
        if broke:
            counter.breaks += 1.0
            self._update_threshold()

    def is_trusted(self, idle_s: float, now: float) -> bool:
        """Whether a connection idle for so long is as good as a new one; what is older is no better."""
        if now >= self._decayed_at + self._time_constant_s:
            self._decay(now)
        return self._bucket(idle_s) < self._first_stale_bucket

    def _decay(self, now: float) -> None:
        keep = math.exp((self._decayed_at - now) / self._time_constant_s)
        self._decayed_at = now
        for counter in (self._new_connections, *self._by_bucket.values()):
            counter.decay(keep)
        self._update_threshold()

    def _update_threshold(self) -> None:
        tolerated = self._new_connections.broken_fraction() + _TOLERATED_EXCESS
        stale = [
            bucket for bucket, counter in self._by_bucket.items() if counter.broken_fraction() > tolerated
        ]
        self._first_stale_bucket = min(stale, default=math.inf)

    @staticmethod
    def _bucket(idle_s: float) -> int:
        return max(math.frexp(idle_s)[1], _MIN_BUCKET)
