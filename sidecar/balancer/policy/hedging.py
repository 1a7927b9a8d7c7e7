"""Overdue attempts: tells servers that take work and answer nothing, long before time-outs would."""

from dataclasses import dataclass

from sidecar.balancer.policy.admission import AdmissionControl
from sidecar.balancer.policy.concurrency_limit import ConcurrencyLimit
from sidecar.balancer.policy.latency import LatencyTracker
from sidecar.balancer.policy.latency_ratio import UNANSWERED_LATENCY_RATIO
from sidecar.balancer.policy.outliers import MAX_EJECTED_SHARE_UNRESPONSIVE, OutlierDetector
from sidecar.balancer.state import Attempt, Context, Request, Server
from sidecar.balancer.state.timers import AttemptOverdue

USUAL_TIMES = 2.5  # usual latencies (at this server's weight) after which an attempt is overdue
LEAST_TARGETS = 0.1  # but never less than this part of the latency target: short times are all jitter
SILENT_TIMES = 2.0  # overdue again by this factor, an unanswering server is taken for silent
SILENT_TARGETS = 0.5  # but never before this part of the target
PEER_ANSWERS = 4  # answers from others, since the attempt left, that make its server's silence its own


@dataclass(slots=True, eq=False)
class HedgingPolicy:
    """Examines attempts that take far longer than usual."""

    context: Context
    latency: LatencyTracker
    outliers: OutlierDetector
    admission: AdmissionControl
    limit: ConcurrencyLimit

    def watch(self, request: Request, attempt: Attempt) -> None:
        """Examine an attempt once it is overdue."""
        self._examine_in(self._overdue_after_us(request, attempt.server), request, attempt)

    def _overdue_after_us(self, request: Request, server: Server) -> int:
        usual_us = USUAL_TIMES * self.latency.usual_us(request) * max(server.latency_weight, 1.0)
        least_us = LEAST_TARGETS * request.service_class.latency_target_us
        return int(max(usual_us, least_us, self.context.settings.tick_us))

    def _examine_in(self, wait_us: int, request: Request, attempt: Attempt) -> None:
        self.context.timers.add(self.context.now + wait_us, AttemptOverdue(request.id, attempt.index))

    def is_hedge_due(self, request: Request, attempt: Attempt) -> bool:
        """Whether the attempt's server is silent and ejected, so that no answer is to be expected.

        A server that answered anything since is slow, not silent; if others are silent, all are overloaded.
        An attempt that later ones to its server overtook was lost on the way, which tells of neither.
        """
        now, server, target_us = self.context.now, attempt.server, request.service_class.latency_target_us
        if self.context.stalls.is_catching_up():  # its answer may be among what came meanwhile
            again_at = self.context.stalls.caught_up_at + self.context.settings.tick_us
            self._examine_in(again_at - now, request, attempt)
            return False
        silent = server.last_success_at <= attempt.sent_at
        waited_us = now - attempt.sent_at - (self.context.stalls.stalled_us - attempt.stalled_before_us)
        if waited_us < target_us:
            self._examine_in(target_us - waited_us, request, attempt)
        else:
            self.context.load.pass_target(attempt)
        enough_us = max(SILENT_TIMES * self._overdue_after_us(request, server), SILENT_TARGETS * target_us)
        if silent and waited_us < enough_us:
            self._examine_in(int(enough_us) - waited_us, request, attempt)
            return False
        peer_answers = self.outliers.successes - attempt.successes_before
        if silent and server.ejected_until is None and peer_answers >= PEER_ANSWERS:
            self.outliers.eject(server, "silent", MAX_EJECTED_SHARE_UNRESPONSIVE)
        overtaken = server.last_success_sent_at > attempt.sent_at
        lost = server.ejected_until is not None or overtaken
        if waited_us >= target_us and not (lost or attempt.counted_as_late):
            attempt.counted_as_late = True  # waiting for its answer would see a surge too late
            if silent:
                self.limit.cpu.observe_missing()
            self.admission.observe_latency(UNANSWERED_LATENCY_RATIO)
        return silent and server.ejected_until is not None
