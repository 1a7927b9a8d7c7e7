"""Hedging: detects attempts at servers that hang, long before the attempts time out.

The request of such an attempt is also sent to another server; where hedging is not allowed, the attempt is
cancelled and the request is retried there.
"""

from dataclasses import dataclass

from sidecar.balancer.policy.admission import AdmissionControl
from sidecar.balancer.policy.concurrency_limit import ConcurrencyLimit
from sidecar.balancer.policy.latency import LatencyTracker
from sidecar.balancer.policy.latency_ratio import UNANSWERED_LATENCY_RATIO
from sidecar.balancer.policy.outliers import MAX_EJECTED_SHARE_UNRESPONSIVE, OutlierDetector
from sidecar.balancer.state import Attempt, Context, Request, Server
from sidecar.balancer.state.timers import AttemptOverdue

# An attempt is overdue after this many usual latencies of its server.
OVERDUE_LATENCY_FACTOR = 2.5
# Minimum time until an attempt is overdue, in latency targets; shorter delays are jitter.
MIN_OVERDUE_TARGETS = 0.1
# A server without any response counts as unresponsive after this many times the time until overdue.
UNRESPONSIVE_OVERDUE_FACTOR = 2.0
# Minimum time until a server counts as unresponsive, in latency targets.
MIN_UNRESPONSIVE_TARGETS = 0.5
# This many successes at other servers since the attempt was sent show that only this server hangs.
MIN_PEER_SUCCESSES = 4


@dataclass(slots=True, eq=False)
class HedgingPolicy:
    """Examines attempts that take far longer than usual.

    Attributes:
        context: The shared state of the balancer.
        latency: The usual latencies.
        outliers: Ejects unresponsive servers.
        admission: Observes late attempts.
        limit: Observes missing load reports.
    """

    context: Context
    latency: LatencyTracker
    outliers: OutlierDetector
    admission: AdmissionControl
    limit: ConcurrencyLimit

    def monitor(self, request: Request, attempt: Attempt) -> None:
        """Schedule the first examination of an attempt that was just sent."""
        self._examine_after(self._overdue_after_us(request, attempt.server), request, attempt)

    def examine_overdue_attempt(self, request: Request, attempt: Attempt) -> bool:
        """Examine an overdue attempt: eject its server if it hangs, and schedule any further examination.

        A server that has responded to any request since the attempt was sent is slow, not unresponsive.  If
        other servers don't respond either, the cause is overload.

        Args:
            request: The request of the attempt.
            attempt: The attempt, which is pending.

        Returns:
            Whether its server is unresponsive and ejected: no response is expected, so a hedge is due.
        """
        if self.context.stalls.is_catching_up():  # its response may be among the delayed events
            next_at = self.context.stalls.caught_up_at + self.context.settings.tick_us
            self._examine_after(next_at - self.context.now, request, attempt)
            return False
        waited_us = self._waited_us(attempt)
        self._examine_at_latency_target(request, attempt, waited_us)
        is_unresponsive = attempt.server.last_success_at <= attempt.sent_at
        if is_unresponsive:
            unresponsive_after_us = self._unresponsive_after_us(request, attempt.server)
            if waited_us < unresponsive_after_us:
                self._examine_after(int(unresponsive_after_us) - waited_us, request, attempt)
                return False
            self._eject_if_peers_respond(attempt)
        if waited_us >= request.service_class.latency_target_us:
            self._count_as_late(attempt, is_unresponsive)
        return is_unresponsive and attempt.server.ejected_until is not None

    def _overdue_after_us(self, request: Request, server: Server) -> int:
        overdue_us = (
            OVERDUE_LATENCY_FACTOR
            * self.latency.usual_latency_us(request)
            * max(server.relative_latency, 1.0)
        )
        min_us = MIN_OVERDUE_TARGETS * request.service_class.latency_target_us
        return int(max(overdue_us, min_us, self.context.settings.tick_us))

    def _unresponsive_after_us(self, request: Request, server: Server) -> float:
        min_us = MIN_UNRESPONSIVE_TARGETS * request.service_class.latency_target_us
        return max(UNRESPONSIVE_OVERDUE_FACTOR * self._overdue_after_us(request, server), min_us)

    def _waited_us(self, attempt: Attempt) -> int:
        """How long the attempt has been pending, excluding stalls of this process, in microseconds."""
        stalled_us = self.context.stalls.stalled_us - attempt.stalled_before_us
        return self.context.now - attempt.sent_at - stalled_us

    def _examine_after(self, wait_us: int, request: Request, attempt: Attempt) -> None:
        self.context.timers.add(self.context.now + wait_us, AttemptOverdue(request.id, attempt.index))

    def _examine_at_latency_target(self, request: Request, attempt: Attempt, waited_us: int) -> None:
        """Exclude the attempt from the load if its target has passed; otherwise examine it again then."""
        target_us = request.service_class.latency_target_us
        if waited_us < target_us:
            self._examine_after(target_us - waited_us, request, attempt)
        else:
            self.context.load.mark_target_passed(attempt)

    def _eject_if_peers_respond(self, attempt: Attempt) -> None:
        peer_successes = self.outliers.successes - attempt.successes_before
        if attempt.server.ejected_until is None and peer_successes >= MIN_PEER_SUCCESSES:
            self.outliers.eject(attempt.server, "unresponsive", MAX_EJECTED_SHARE_UNRESPONSIVE)

    def _count_as_late(self, attempt: Attempt, is_unresponsive: bool) -> None:
        """Count an attempt as late before it ends, as waiting for the end would miss the start of a surge.

        An attempt at an ejected server is no sign of overload.  Neither is one that a later attempt at the
        same server has overtaken: it was lost in transit.
        """
        server = attempt.server
        was_overtaken = server.last_success_sent_at > attempt.sent_at
        if attempt.counted_as_late or was_overtaken or server.ejected_until is not None:
            return
        attempt.counted_as_late = True
        if is_unresponsive:
            self.limit.cpu.observe_missing_report()
        self.admission.observe_latency(UNANSWERED_LATENCY_RATIO)
