"""What is measured of root calls: goodput, refusals, and the time to recover after a fault."""

from __future__ import annotations

from dataclasses import dataclass

from scale.callgraph.loop import MICROSECONDS
from scale.callgraph.server import CallResult

BIN_US = 250_000  # goodput is followed in bins of a quarter of a second
RECOVERY_SHARE = 0.95  # of the goodput before the fault
RECOVERY_BINS = 4  # so many bins in a row must reach that, taken together


@dataclass(slots=True)
class RootCall:
    """One call of a root caller."""

    offered_at: int
    ended_at: int | None = None
    result: CallResult | None = None


@dataclass(frozen=True, slots=True)
class Shares:
    """What became of the root calls offered in a span of time; parts of 1."""

    offered: int
    goodput: float  # served before the deadline
    shed: float
    failed: float
    unanswered: float


class RootCallRecorder:
    """Keeps all root calls of a run."""

    def __init__(self, deadline_us: int) -> None:
        self.calls: list[RootCall] = []
        self._deadline_us = deadline_us

    def offer(self, now: int) -> RootCall:
        """A root call is made."""
        call = RootCall(now)
        self.calls.append(call)
        return call

    def shares(self, begin: int, end: int) -> Shares:
        """What became of those offered from `begin` until before `end`, in microseconds."""
        calls = [call for call in self.calls if begin <= call.offered_at < end]
        count = max(len(calls), 1)
        return Shares(
            offered=len(calls),
            goodput=sum(self._is_good(call) for call in calls) / count,
            shed=sum(call.result is CallResult.SHED for call in calls) / count,
            failed=sum(call.result is CallResult.FAILED for call in calls) / count,
            unanswered=sum(call.result is None for call in calls) / count,
        )

    def recovery_us(self, before: float, fault_end: int, end: int) -> int | None:
        """Time from the fault's end until goodput is back; None if it is not back before `end`.

        It is back at the first bin that, together with the next ones, reaches the wanted part of the
        goodput before the fault.
        """
        span = RECOVERY_BINS * BIN_US
        for begin in range(fault_end, end - span + 1, BIN_US):
            if self.shares(begin, begin + span).goodput >= RECOVERY_SHARE * before:
                return begin - fault_end
        return None

    def _is_good(self, call: RootCall) -> bool:
        return (
            call.result is CallResult.SERVED
            and call.ended_at is not None
            and call.ended_at - call.offered_at <= self._deadline_us
        )


def to_us(seconds: float) -> int:
    """Seconds in whole microseconds."""
    return int(seconds * MICROSECONDS)
