"""Registry polling: when to poll the registry, with exponential backoff and jitter after failures.

A poll asks the host to watch the endpoint list.  Once the registry has responded, the host reports changes
and failures of the watch by itself, so the next poll is due only after a failure.
"""

from sidecar.balancer.actions import WatchRegistry
from sidecar.balancer.state import Context
from sidecar.balancer.state.timers import RegistryPoll
from sidecar.settings import Discovery

# Upper bound of the permitted staleness of the endpoint list, even if `max_poll_interval_us` is longer.  It
# lets a change be noticed soon after a failed poll.
MAX_STALENESS_US = 6_000_000
INITIAL_BACKOFF_SHARE = 0.05  # share of the permitted staleness; the backoff doubles with each failure
MAX_BACKOFF_SHARE = 0.25  # three failed polls in a row still fit into the permitted staleness
MAX_COUNTED_FAILURES = 8  # further failures are not counted; bounds the power of two
# A backoff is multiplied by a random factor from MIN_JITTER to MIN_JITTER + JITTER_RANGE.
MIN_JITTER = 0.5
JITTER_RANGE = 0.5


class RegistryPoller:
    """Keeps a watch on the registry established if changes are not pushed.

    Attributes:
        next_poll_at: The time of the next poll, in microseconds; None while the watch is established.
        consecutive_failures: The number of polls that failed since the last response.
    """

    def __init__(self, context: Context) -> None:
        """Create a poller; the first poll has to be started.

        Args:
            context: The shared state of the balancer.
        """
        self.next_poll_at: int | None = None
        self.consecutive_failures = 0
        self._context = context

    def poll(self) -> None:
        """Poll the registry, and again later unless it responds; has no effect if changes are pushed."""
        if self._context.settings.discovery is Discovery.ON_REQUEST:
            self._context.actions.append(WatchRegistry(True))
            self._schedule(MAX_BACKOFF_SHARE)

    def poll_succeeded(self) -> None:
        """Record a response: the watch is established, so that no further poll is needed."""
        self.consecutive_failures = 0
        self.next_poll_at = None

    def poll_failed(self) -> None:
        """Back off after a failed poll, with jitter to prevent balancers from polling at the same time."""
        backoff_share = min(INITIAL_BACKOFF_SHARE * 2**self.consecutive_failures, MAX_BACKOFF_SHARE)
        self.consecutive_failures = min(self.consecutive_failures + 1, MAX_COUNTED_FAILURES)
        jitter_factor = MIN_JITTER + JITTER_RANGE * self._context.rng.random()
        self._schedule(backoff_share * jitter_factor)

    def _schedule(self, share: float) -> None:
        """Schedule the next poll after this share of the permitted staleness, in place of any earlier one."""
        max_staleness_us = min(self._context.settings.rules.max_poll_interval_us, MAX_STALENESS_US)
        self.next_poll_at = self._context.now + int(share * max_staleness_us)
        self._context.timers.add(self.next_poll_at, RegistryPoll())
