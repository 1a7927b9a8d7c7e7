"""Retries: which requests may be attempted again and at which servers, and the retry budget.

A request that may have run already is retried only where it can't take effect twice: if its class is safe, or
if the server deduplicates it by its idempotency key.
"""

from sidecar.balancer.events import Outcome
from sidecar.balancer.state import Attempt, Request, Server
from sidecar.settings import DedupScope, Idempotency, Settings

TOKENS_PER_SUCCESS = 0.2  # earned by each successful attempt; limits retries to a share of the load
TOKENS_LOST_PER_FAILURE = 0.3  # no tokens are left while more than two in five attempts fail
# Bucket size; small, as saved tokens let retries multiply from hop to hop when a fault begins.
MAX_RETRY_TOKENS = 2.0
# Tokens until the first success; more than the bucket size, as first connections may fail by chance.
INITIAL_RETRY_TOKENS = 4.0
# Outcomes that take tokens from the retry budget, and that may eject the server.
FAILURE_OUTCOMES = (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.ERROR)
# Outcomes that prove that an attempt did not run.
NON_EXECUTION_OUTCOMES = frozenset((Outcome.CONNECT_FAILED, Outcome.NOT_SENT))
# The same if servers only reject requests that they have not begun to process.
NON_EXECUTION_OUTCOMES_WITH_REJECTED = NON_EXECUTION_OUTCOMES | {Outcome.REJECTED}


class RetryBudget:
    """A token bucket for retries after failures and for hedged requests, filled by successful attempts only.

    If failures earned tokens, retries would multiply with the depth of the call graph (a retry storm).
    """

    def __init__(self) -> None:
        """Create a budget of `INITIAL_RETRY_TOKENS`."""
        self._tokens = INITIAL_RETRY_TOKENS

    def attempt_ended(self, outcome: Outcome) -> None:
        """Add tokens after a success, or remove tokens after a failure; other outcomes have no effect."""
        if outcome is Outcome.SUCCEEDED:
            self._tokens = min(self._tokens + TOKENS_PER_SUCCESS, MAX_RETRY_TOKENS)
        elif outcome in FAILURE_OUTCOMES:
            self._tokens = max(self._tokens - TOKENS_LOST_PER_FAILURE, 0.0)

    def has_tokens(self) -> bool:
        """Whether there is a token for one retry."""
        return self._tokens >= 1.0

    def try_acquire(self) -> bool:
        """Take the token for one retry; return whether there was one."""
        if not self.has_tokens():
            return False
        self._tokens -= 1.0
        return True


def is_retry_safe(request: Request) -> bool:
    """Whether a retry is safe at any time and on any server, as it can't take effect a second time."""
    return request.service_class.idempotency is Idempotency.SAFE or not request.may_have_run()


def may_retry(request: Request, now: int, tick_us: int) -> bool:
    """Whether the class of the request permits another attempt now.

    Args:
        request: The request.
        now: The clock time, in microseconds.
        tick_us: The resolution of the clock, in microseconds.
    """
    if is_retry_safe(request):
        return True
    return has_idempotency_key(request) and now < retry_deadline(request, now, tick_us)


def has_idempotency_key(request: Request) -> bool:
    """Whether the request has an idempotency key, by which servers deduplicate it."""
    return request.service_class.idempotency is Idempotency.KEYED


def retry_deadline(request: Request, now: int, tick_us: int) -> int:
    """The time at which servers may begin to forget the idempotency key of a request.

    Args:
        request: A request with an idempotency key.
        now: The clock time, in microseconds.
        tick_us: The resolution of the clock, in microseconds; subtracted, as the clock may lag by as much.

    Returns:
        The clock time, in microseconds.
    """
    first_attempt = _first_attempt_that_may_have_run(request)
    since = first_attempt.sent_at if first_attempt is not None else now
    return since + request.service_class.dedup_window_us - tick_us


def is_deduplicated_at(request: Request, server: Server) -> bool:
    """Whether a server would deduplicate a retry of a request that has run already.

    Args:
        request: The request.  Only one that has an idempotency key and may have run is restricted.
        server: The server that would receive the retry.
    """
    scope = request.service_class.dedup_scope
    if not has_idempotency_key(request) or scope is DedupScope.ALL:
        return True
    first_attempt = _first_attempt_that_may_have_run(request)
    if first_attempt is None:
        return True
    if scope is DedupScope.ZONE:
        return first_attempt.server.zone == server.zone
    return first_attempt.server.cell == server.cell


def is_client_retry_safe(request: Request) -> bool:
    """Whether a client may safely send the request again, regardless of the outcome of its attempts."""
    is_deduplicated = has_idempotency_key(request) and request.service_class.dedup_scope is DedupScope.ALL
    return is_retry_safe(request) or is_deduplicated


def _first_attempt_that_may_have_run(request: Request) -> Attempt | None:
    return next((attempt for attempt in request.attempts if attempt.may_have_run), None)


def non_execution_outcomes(settings: Settings) -> frozenset[Outcome]:
    """The outcomes that prove that an attempt did not run."""
    if settings.rules.late_shedding:
        return NON_EXECUTION_OUTCOMES
    return NON_EXECUTION_OUTCOMES_WITH_REJECTED
