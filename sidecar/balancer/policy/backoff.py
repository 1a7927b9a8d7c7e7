"""Exponential backoff with jitter, from servers that are ejected or rejected a request at capacity."""

from sidecar.balancer.policy.retries import may_retry
from sidecar.balancer.state import Backoff, Context, Request, Server

INITIAL_BACKOFF_TARGETS = 2.0  # the first backoff, in longest latency targets; each further one doubles it
MAX_BACKOFF_TARGETS = 16.0  # the longest backoff: a server that has recovered is found again
MAX_REPEATS = 8  # beyond this the count has no effect; bounds the power of two
MIN_JITTER = 0.75  # a backoff is multiplied by a random factor from this ...
JITTER_RANGE = 0.5  # ... to this much more


def next_backoff(context: Context, repeats: int, min_targets: float = 0.0) -> Backoff:
    """Compute the backoff that follows a number of others in a row.

    Args:
        context: The shared state of the balancer.
        repeats: The number of backoffs in a row so far.
        min_targets: The least backoff before jitter, in longest latency targets.

    Returns:
        The backoff that begins now.
    """
    exponential_targets = min(INITIAL_BACKOFF_TARGETS * 2**repeats, MAX_BACKOFF_TARGETS)
    targets = max(exponential_targets, min_targets)
    jitter_factor = MIN_JITTER + JITTER_RANGE * context.rng.random()
    wait_us = targets * context.longest_target_us * jitter_factor
    return Backoff(context.now + int(wait_us), min(repeats + 1, MAX_REPEATS))


def back_off_after_rejection(context: Context, request: Request, server: Server) -> None:
    """Keep requests of the same class and tenant away from a server that was at capacity.

    Where the request can't be retried, each further trial would fail a client, so the backoff is the longest.

    Args:
        context: The shared state of the balancer.
        request: The request that was rejected.
        server: The server that rejected it.
    """
    previous = server.rejection_backoffs.get(request.traffic_key)
    repeats = previous.repeats if previous is not None else 0
    is_retryable = may_retry(request, context.now, context.settings.tick_us)
    min_targets = 0.0 if is_retryable else MAX_BACKOFF_TARGETS
    server.rejection_backoffs[request.traffic_key] = next_backoff(context, repeats, min_targets)


def is_backed_off(server: Server, request: Request, now: int) -> bool:
    """Whether requests of this class and tenant are kept away from a server at clock time `now`, in us."""
    backoff = server.rejection_backoffs.get(request.traffic_key)
    return backoff is not None and backoff.until > now
