"""What the balancer learns from the end of an attempt.

While this process catches up after a stall, nothing is learned from how long attempts took, as that
includes its own delay.
"""

from dataclasses import dataclass

from sidecar.balancer.events import AttemptEnded, Outcome
from sidecar.balancer.policy.admission import AdmissionControl
from sidecar.balancer.policy.backoff import back_off_after_rejection
from sidecar.balancer.policy.concurrency_limit import ConcurrencyLimit
from sidecar.balancer.policy.connections import IdleConnections
from sidecar.balancer.policy.cpu_utilization import BUSY_CPU_UTILIZATION
from sidecar.balancer.policy.key_order import KeyOrder
from sidecar.balancer.policy.latency import LatencyTracker
from sidecar.balancer.policy.latency_by_load import LatencyByLoad
from sidecar.balancer.policy.latency_ratio import UNANSWERED_LATENCY_RATIO
from sidecar.balancer.policy.outliers import OutlierDetector
from sidecar.balancer.state import Attempt, Context, Request

# Outcomes after which the connection of the attempt stays open and is idle.
CONNECTION_KEPT_OUTCOMES = (Outcome.SUCCEEDED, Outcome.ERROR, Outcome.REJECTED)


@dataclass(slots=True, eq=False)
class AttemptFeedback:
    """Passes the end of an attempt on to all policies that learn from it.

    Attributes:
        context: The shared state.
        key_order: Starts the cooldown of a key.
        connections: Counts idle connections.
        outliers: Ejects servers that fail, and readmits them.
        limit: Observes load reports and successes.
        admission: Observes the latency of responses.
        latency: Tracks the latency of each server and class.
        latency_by_load: Learns how latency depends on a server's load.
    """

    context: Context
    key_order: KeyOrder
    connections: IdleConnections
    outliers: OutlierDetector
    limit: ConcurrencyLimit
    admission: AdmissionControl
    latency: LatencyTracker
    latency_by_load: LatencyByLoad

    def attempt_ended(self, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        """Handle the end of an attempt that was pending."""
        attempt.pending = False
        attempt.may_have_run = event.outcome not in request.non_execution_outcomes
        self.key_order.attempt_ended(request, event.outcome)
        self.context.load.change_attempts(attempt.server, -1, attempt.within_target)
        if event.outcome in CONNECTION_KEPT_OUTCOMES:
            self.connections.add(attempt.server)
        self.outliers.attempt_ended(request, attempt, event.outcome)
        self.limit.cpu.observe(event.report)
        match event.outcome:
            case Outcome.TIMED_OUT | Outcome.CANCELLED:
                self._on_abandoned(request, attempt, event)
            case Outcome.ERROR:
                self.latency.observe_error(request, attempt.server)
            case Outcome.SUCCEEDED:
                self._on_succeeded(request, attempt, event.elapsed_us)
            case Outcome.REJECTED:
                self._on_rejected(request, attempt, event)

    def _on_abandoned(self, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        """Learn from an attempt without a response, which the server may still be processing."""
        if not (attempt.counted_as_late or request.answered or event.answered):
            self.admission.count_late_attempt()
        # It is assumed to need the same time again, and counts as load for that long.
        counted_until = self.context.now + event.elapsed_us
        self.context.load.add_abandoned(attempt.server, counted_until, attempt.within_target)
        usual_latency_us = self.latency.usual_latency_us(request) * attempt.server.relative_latency
        if event.elapsed_us > usual_latency_us and not self.context.stalls.is_catching_up():
            self.latency.observe_latency(request, attempt.server, event.elapsed_us)

    def _on_succeeded(self, request: Request, attempt: Attempt, elapsed_us: int) -> None:
        target_us = request.service_class.latency_target_us
        self.limit.count_success(target_us)
        if self.context.stalls.is_catching_up():
            return  # the latency may include the stall of this process
        self.latency_by_load.observe_success(request, attempt, elapsed_us)
        self.latency.observe_success(request, attempt.server, elapsed_us)
        if not attempt.counted_as_late:
            self.admission.observe_latency(elapsed_us / target_us)
        attempt.server.rejection_backoffs.pop(request.traffic_key, None)

    def _on_rejected(self, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        back_off_after_rejection(self.context, request, attempt.server)
        # A server that rejects requests while its cores are idle does not indicate overload of the fleet.
        if event.report is None or event.report.get("util", 1.0) >= BUSY_CPU_UTILIZATION:
            self.admission.observe_latency(UNANSWERED_LATENCY_RATIO)
