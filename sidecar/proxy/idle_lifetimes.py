"""How long idle connections last, learnt from the requests that broke on them."""

from __future__ import annotations

import math
from dataclasses import dataclass

_STALE = 0.1  # idle connections are stale where this much more of them break on a request than of new ones
_AGED_LEAST = 20.0  # requests taken as unbroken beforehand: of fewer, a few broken ones are chance
_AGE_LEAST = -6  # the ages up to a sixty-fourth of a second (two to this power) count as one


@dataclass(slots=True)
class Tally:
    """Requests written to connections idle for alike long, and how many of them broke there."""

    uses: float = 0.0
    breaks: float = 0.0

    def part_broken(self) -> float:
        return self.breaks / (self.uses + _AGED_LEAST)

    def fade(self, keep: float) -> None:
        self.uses, self.breaks = keep * self.uses, keep * self.breaks


class IdleAges:
    """How long idle connections last, learnt from the requests that broke on them.

    Guards against servers and boxes on the way that forget an idle connection long before the time in the
    settings and tell nobody until the next request.  Breaks that new connections suffer too say nothing.
    What was learnt fades over a few spans, so that connections are trusted again after that.
    """

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._faded_at = 0.0
        self._new = Tally()
        self._tallies: dict[int, Tally] = {}  # by age, each for twice the age of the one before
        self._stale_from: float = math.inf  # the first of them that is not to be trusted

    def set_span(self, span_s: float) -> None:
        """Let what was learnt fade over another span from now on."""
        self._span_s = span_s

    def note(self, age_s: float | None, broke: bool) -> None:
        """Count a request on a connection that was idle for so long; None: on a new one."""
        tally = self._new if age_s is None else self._tallies.setdefault(self._step(age_s), Tally())
        tally.uses += 1.0
        if broke:
            tally.breaks += 1.0
            self._judge()

    def lasts(self, age_s: float, now: float) -> bool:
        """Whether a connection idle for so long is as good as a new one; what is older is no better."""
        if now >= self._faded_at + self._span_s:
            self._fade(now)
        return self._step(age_s) < self._stale_from

    def _fade(self, now: float) -> None:
        keep = math.exp((self._faded_at - now) / self._span_s)
        self._faded_at = now
        for tally in (self._new, *self._tallies.values()):
            tally.fade(keep)
        self._judge()

    def _judge(self) -> None:
        bearable = self._new.part_broken() + _STALE
        stale = [step for step, tally in self._tallies.items() if tally.part_broken() > bearable]
        self._stale_from = min(stale, default=math.inf)

    @staticmethod
    def _step(age_s: float) -> int:
        return max(math.frexp(age_s)[1], _AGE_LEAST)
