"""Further attempts of a request: retries after failed attempts, and hedged requests for overdue ones."""

from dataclasses import dataclass

from sidecar.balancer.actions import CancelAttempt
from sidecar.balancer.events import Outcome
from sidecar.balancer.lifecycle.callbacks import FinishCallback
from sidecar.balancer.lifecycle.placement import RequestPlacer
from sidecar.balancer.policy import retries
from sidecar.balancer.policy.concurrency_limit import UNRESTRICTED_UTILIZATION, ConcurrencyLimit
from sidecar.balancer.policy.hedging import HedgingPolicy
from sidecar.balancer.policy.retries import RetryBudget
from sidecar.balancer.state import Attempt, Context, Request, Server


@dataclass(slots=True, eq=False)
class RequestRetrier:
    """Sends further attempts of requests where their class, the limits and the retry budget allow it.

    Attributes:
        context: The shared state.
        budget: Limits the number of retries and hedged requests.
        limit: Indicates overload.
        hedging: Decides which overdue attempts are hedged.
        placer: Places further attempts.
        finish: Rejects or fails a request.
    """

    context: Context
    budget: RetryBudget
    limit: ConcurrencyLimit
    hedging: HedgingPolicy
    placer: RequestPlacer
    finish: FinishCallback

    def retry(self, request: Request, failed_server: Server, outcome: Outcome) -> None:
        """Retry a request after an attempt that gave it no final response, or finish it.

        Args:
            request: The request.
            failed_server: The server of the attempt.
            outcome: How the attempt ended.
        """
        request.failed_servers.append(failed_server)
        if outcome is Outcome.REJECTED:
            request.rejections += 1
        if self._is_retry_free(outcome) or (self._may_retry(request) and self.budget.try_acquire()):
            self.placer.place(request)
        elif not request.has_pending_attempt():
            self.finish(request)

    def _is_retry_free(self, outcome: Outcome) -> bool:
        """Whether a retry uses no retry budget, as the failed attempt caused no work at any server.

        Retries of such attempts cannot multiply from hop to hop.  Under overload, failed connects indicate
        that servers are full, and further connects would make that worse, so these retries use the budget.
        """
        if outcome is Outcome.CONNECT_FAILED:
            return self.limit.utilization() <= UNRESTRICTED_UTILIZATION
        return outcome is Outcome.REJECTED

    def hedge(self, request: Request, attempt: Attempt) -> None:
        """Examine an overdue attempt; if its server is unresponsive, hedge the request where this is allowed.

        Where only cancelling is allowed, the attempt is cancelled instead, so that the request is retried.
        """
        limits = request.limits
        if not self.hedging.examine_overdue_attempt(request, attempt):
            return
        if len(request.attempts) >= limits.max_attempts or not self._may_retry(request):
            return
        if limits.allow_hedging:
            if self.budget.try_acquire():
                self.placer.place(request)
        elif limits.allow_cancel and self.budget.has_tokens():
            self.context.actions.append(CancelAttempt(request.id, attempt.index))

    def _may_retry(self, request: Request) -> bool:
        return retries.may_retry(request, self.context.now, self.context.settings.tick_us)
