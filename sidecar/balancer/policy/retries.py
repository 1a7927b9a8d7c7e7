"""Retries: which requests may be attempted again, at which servers, and the budget for that."""

from sidecar.balancer.events import Outcome
from sidecar.balancer.state import Request, Server
from sidecar.settings import DedupScope, Idempotency, Settings

RETRIES_PER_SUCCESS = 0.2  # retries after failures, for each attempt that was answered: no retry storms
RETRIES_LOST_PER_FAILURE = 0.3  # so none are left while more than two attempts in five fail
MAX_RETRY_BALANCE = 2.0  # retries that may be saved up; when a fault begins, they multiply from hop to hop
FAILURES = (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.ERROR)
INITIAL_RETRY_BALANCE = 4.0  # until the first answer: first connections fail by chance
# These prove that an attempt did not run; a rejection does so only where servers reject before they begin.
NON_EXECUTION_OUTCOMES = frozenset((Outcome.CONNECT_FAILED, Outcome.NOT_SENT))
NON_EXECUTION_OUTCOMES_WITH_REJECTED = NON_EXECUTION_OUTCOMES | {Outcome.REJECTED}


def non_execution_outcomes(settings: Settings) -> frozenset[Outcome]:
    """The outcomes that prove that an attempt did not run."""
    if settings.rules.late_shedding:
        return NON_EXECUTION_OUTCOMES
    return NON_EXECUTION_OUTCOMES_WITH_REJECTED


class RetryBudget:
    """Bounds retries by the answers that came: were failures to earn any, calls would multiply with depth."""

    def __init__(self) -> None:
        self._balance = INITIAL_RETRY_BALANCE

    def attempt_ended(self, outcome: Outcome) -> None:
        if outcome is Outcome.SUCCEEDED:
            self._balance = min(self._balance + RETRIES_PER_SUCCESS, MAX_RETRY_BALANCE)
        elif outcome in FAILURES:
            self._balance = max(self._balance - RETRIES_LOST_PER_FAILURE, 0.0)

    def has_tokens(self) -> bool:
        return self._balance >= 1.0

    def try_acquire(self) -> bool:
        """Take one retry from the balance; say whether there was one."""
        allowed = self.has_tokens()
        self._balance -= allowed
        return allowed


def is_retry_safe(request: Request) -> bool:
    """Whether a repeat has no effect of its own, at any time and server."""
    return request.service_class.idempotency is Idempotency.SAFE or not request.may_have_run()


def may_retry(request: Request, now: int, tick_us: int) -> bool:
    """Whether the request's class lets another attempt out now."""
    if is_retry_safe(request):
        return True
    return request.service_class.idempotency is Idempotency.KEYED and now < retry_deadline(
        request, now, tick_us
    )


def retry_deadline(request: Request, now: int, tick_us: int) -> int:
    """When servers may begin to forget a keyed request; one tick less, as the clock is read once a tick."""
    since = next((each.sent_at for each in request.attempts if each.may_have_run), now)
    return since + request.service_class.dedup_window_us - tick_us


def is_deduplicated_at(request: Request, server: Server) -> bool:
    """Whether a server would drop the repeat of a request, if that is keyed and may have run."""
    scope = request.service_class.dedup_scope
    if request.service_class.idempotency is not Idempotency.KEYED or scope is DedupScope.ALL:
        return True
    first = next((each.server for each in request.attempts if each.may_have_run), server)
    return first.zone == server.zone if scope is DedupScope.ZONE else first.cell == server.cell


def is_client_retry_safe(request: Request) -> bool:
    """Whether a client that sends the request again does no harm, whatever became of its attempts."""
    keyed = request.service_class.idempotency is Idempotency.KEYED
    return is_retry_safe(request) or (keyed and request.service_class.dedup_scope is DedupScope.ALL)
