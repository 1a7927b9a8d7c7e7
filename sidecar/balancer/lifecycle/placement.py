"""Placement: which server gets the next attempt of a request.

An ejected server that is due for a half-open attempt comes first.  Otherwise a few candidates are compared by
this balancer's own attempts and, where health checks are cheap, by the load that they report.
"""

from dataclasses import dataclass

from sidecar.balancer.lifecycle.callbacks import FinishCallback, SendCallback
from sidecar.balancer.policy.health_checks import HealthChecks
from sidecar.balancer.policy.load_comparison import LoadComparison
from sidecar.balancer.policy.outliers import OutlierDetector
from sidecar.balancer.policy.selection import Selector
from sidecar.balancer.state import Context, Request, Server


@dataclass(slots=True, eq=False)
class RequestPlacer:
    """Sends requests to the least loaded of a few candidates, or finishes them if there is no candidate.

    Attributes:
        context: The shared state.
        outliers: Provides an ejected server that is due for a half-open attempt.
        selector: Draws the candidates.
        health_checks: Checks the load of the candidates, where health checks are cheap.
        load_comparison: Picks the best candidate by reported load.
        send: Sends an attempt if the rules allow it.
        finish: Rejects or fails a request.
        checks_per_request: How many candidates get a health check; with fewer than two, none does.
    """

    context: Context
    outliers: OutlierDetector
    selector: Selector
    health_checks: HealthChecks
    load_comparison: LoadComparison
    send: SendCallback
    finish: FinishCallback
    checks_per_request: int = 0

    def place(self, request: Request) -> None:
        """Send the next attempt of a request, or start the health checks of its candidates."""
        half_open = self.outliers.half_open_candidate(request)
        if half_open is not None:
            self._send_or_finish(request, half_open)
            return
        candidates = self.selector.candidates(request)
        if not candidates:
            self._finish_unless_pending(request)
        elif self._should_check():
            least_loaded_first = sorted(candidates, key=self.context.load.attempts_at)
            self.health_checks.start(request, least_loaded_first[: self.checks_per_request])
        else:
            self._send_or_finish(request, self.selector.least_loaded(candidates))

    def _should_check(self) -> bool:
        # Other balancers may have stalled as well: all would pick the same servers by the same reports.
        return self.checks_per_request > 1 and not self.context.stalls.has_just_resumed()

    def place_checked(self, request: Request) -> None:
        """Send a request whose health checks have ended or timed out."""
        checked = self.health_checks.end_wait(request)
        if request.answered:
            return
        server = self.load_comparison.least_loaded(request, checked)
        if not request.may_cross_zones and self.load_comparison.should_cross_zones(server):
            request.may_cross_zones = True
            self.place(request)
            return
        if server is None:
            server = self._first_eligible(request, checked)
        if server is None or self.load_comparison.predicts_overload(request, server):
            self._finish_unless_pending(request)
            return
        sent = self._send_or_finish(request, server)
        if sent and server.health_check_sent_at is None:
            request.attempts[-1].reported_load = server.reported_load

    def _first_eligible(self, request: Request, servers: list[Server]) -> Server | None:
        return next((server for server in servers if self.selector.is_eligible(server, request)), None)

    def _send_or_finish(self, request: Request, server: Server) -> bool:
        sent = self.send(request, server)
        if not sent:
            self._finish_unless_pending(request)
        return sent

    def _finish_unless_pending(self, request: Request) -> None:
        if not request.has_pending_attempt():
            self.finish(request)
