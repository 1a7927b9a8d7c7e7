"""Measures root calls: goodput, shed and failed calls, and the time to recover after a fault."""

from __future__ import annotations

from dataclasses import dataclass

from scale.callgraph.loop import MICROSECONDS_PER_SECOND
from scale.callgraph.server import CallResult

BIN_US = 250_000  # the resolution of the time to recover
RECOVERY_SHARE = 0.95  # share of the goodput before the fault that counts as recovery
RECOVERY_BINS = 4  # consecutive bins whose mean goodput must reach RECOVERY_SHARE


@dataclass(slots=True)
class RootCall:
    """One call of a root caller; times are in microseconds since the start of the run."""

    offered_at: int
    ended_at: int | None = None
    result: CallResult | None = None


@dataclass(frozen=True, slots=True)
class OutcomeShares:
    """Outcomes of the root calls offered in a window of time.

    Attributes:
        offered: Number of root calls.
        goodput: Share of the calls served before their deadline, from 0 to 1.
        shed: Share of the calls that were shed, from 0 to 1.
        failed: Share of the calls that failed, from 0 to 1.
        unanswered: Share of the calls without a result, from 0 to 1.
    """

    offered: int
    goodput: float
    shed: float
    failed: float
    unanswered: float


class RootCallRecorder:
    """Records all root calls of a run."""

    def __init__(self, deadline_us: int) -> None:
        self.calls: list[RootCall] = []
        self._deadline_us = deadline_us

    def offer(self, now: int) -> RootCall:
        """Record a new root call, offered at `now` in microseconds."""
        call = RootCall(now)
        self.calls.append(call)
        return call

    def shares(self, begin: int, end: int) -> OutcomeShares:
        """Return the outcomes of the calls offered from `begin` until before `end`, in microseconds."""
        calls = [call for call in self.calls if begin <= call.offered_at < end]
        count = max(len(calls), 1)
        return OutcomeShares(
            offered=len(calls),
            goodput=sum(self._is_served_in_time(call) for call in calls) / count,
            shed=sum(call.result is CallResult.SHED for call in calls) / count,
            failed=sum(call.result is CallResult.FAILED for call in calls) / count,
            unanswered=sum(call.result is None for call in calls) / count,
        )

    def recovery_us(self, goodput_before: float, fault_end: int, end: int) -> int | None:
        """Return the time from the fault's end until goodput has recovered, in microseconds.

        Goodput has recovered at the start of the first `RECOVERY_BINS` consecutive bins whose mean
        goodput is at least `RECOVERY_SHARE` of the goodput before the fault.

        Args:
            goodput_before: Goodput before the fault, from 0 to 1.
            fault_end: End of the fault, in microseconds since the start of the run.
            end: End of the measured time, in microseconds since the start of the run.

        Returns:
            The time to recover in microseconds, or None if goodput did not recover before `end`.
        """
        span = RECOVERY_BINS * BIN_US
        for begin in range(fault_end, end - span + 1, BIN_US):
            if self.shares(begin, begin + span).goodput >= RECOVERY_SHARE * goodput_before:
                return begin - fault_end
        return None

    def _is_served_in_time(self, call: RootCall) -> bool:
        return (
            call.result is CallResult.SERVED
            and call.ended_at is not None
            and call.ended_at - call.offered_at <= self._deadline_us
        )


def to_us(seconds: float) -> int:
    """Convert seconds to microseconds, rounded down."""
    return int(seconds * MICROSECONDS_PER_SECOND)
