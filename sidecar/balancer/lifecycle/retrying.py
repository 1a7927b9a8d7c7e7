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
    """Places requests again where their class, the limits and the retry budget allow it.

    Attributes:
        context: The shared state.
        budget: The retries that may be sent.
        limit: Tells of overload.
        hedging: Tells which attempts are lost.
        placer: Places further attempts.
        finish: The gate for the balancer's own final responses.
    """

    context: Context
    budget: RetryBudget
    limit: ConcurrencyLimit
    hedging: HedgingPolicy
    placer: RequestPlacer
    finish: FinishCallback

    def retry(self, request: Request, failed: Server, outcome: Outcome) -> None:
        """Retry a request after an attempt without a response, or finish it.

        Args:
            request: The request.
            failed: The server of the attempt.
            outcome: How the attempt ended.
        """
        request.failed_servers.append(failed)
        if outcome is Outcome.REJECTED:
            request.rejections += 1
        if self._is_retry_free(outcome) or (self._may_retry(request) and self.budget.try_acquire()):
            self.placer.place(request)
        elif not request.is_active():
            self.finish(request)

    def _is_retry_free(self, outcome: Outcome) -> bool:
        """Return whether a retry costs no budget, as its attempt put no work on any server.

        Retries of such attempts cannot multiply from hop to hop.  Under overload, connects that fail are a
        sign of full servers, and further connects would add to that.
        """
        if outcome is Outcome.CONNECT_FAILED:
            return self.limit.utilization() <= UNRESTRICTED_UTILIZATION
        return outcome is Outcome.REJECTED

    def hedge(self, request: Request, attempt: Attempt) -> None:
        """Send a hedged request for an overdue attempt, or cancel the attempt so that it is retried."""
        limits = request.limits
        if not self.hedging.is_hedge_due(request, attempt):
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
