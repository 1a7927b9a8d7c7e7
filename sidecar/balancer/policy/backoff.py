"""Exponential backoff with jitter from servers that are ejected or that rejected a request at capacity."""

from sidecar.balancer.policy.retries import may_retry
from sidecar.balancer.state import Backoff, Context, Request, Server

INITIAL_BACKOFF_TARGETS = 2.0  # first backoff, in longest latency targets; it doubles with each repeat
MAX_BACKOFF_TARGETS = 16.0  # longest backoff, so that a server that has recovered is soon used again
MAX_REPEATS = 8  # further repeats are not counted; bounds the power of two
# A backoff is multiplied by a random factor from MIN_JITTER to MIN_JITTER + JITTER_RANGE.
MIN_JITTER = 0.75
JITTER_RANGE = 0.5


def next_backoff(context: Context, repeats: int, min_targets: float = 0.0) -> Backoff:
    """Compute a backoff, which is longer after consecutive ones.

    Args:
        context: The shared state of the balancer.
        repeats: The number of consecutive backoffs before this one.
        min_targets: The minimum backoff before jitter, in longest latency targets.

    Returns:
        The backoff that begins now.
    """
    exponential_targets = min(INITIAL_BACKOFF_TARGETS * 2**repeats, MAX_BACKOFF_TARGETS)
    targets = max(exponential_targets, min_targets)
    jitter_factor = MIN_JITTER + JITTER_RANGE * context.rng.random()
    wait_us = targets * context.longest_target_us * jitter_factor
    return Backoff(context.now + int(wait_us), min(repeats + 1, MAX_REPEATS))


def back_off_after_rejection(context: Context, request: Request, server: Server) -> None:
    """Start a backoff of requests of the same class and tenant from a server that was at capacity.

    If the request can't be retried, each further rejection fails a client, so the longest backoff is used.

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
    """Whether a server is in backoff for requests of this class and tenant at clock time `now`."""
    backoff = server.rejection_backoffs.get(request.traffic_key)
    return backoff is not None and backoff.until > now
