"""When the registry is asked: at the start, after failed calls, and again where a call is never answered."""

from sidecar.balancer.actions import WatchRegistry
from sidecar.balancer.state import Context
from sidecar.balancer.state.timers import RegistryPoll
from sidecar.settings import Discovery

KNOWN_WITHIN_US = 6_000_000  # after a failed call changes count as known so soon, whatever the settings allow
FIRST_WAIT = 0.05  # before asking again, of the time allowed without asking; it doubles with each failure
LONGEST_WAIT = 0.25  # three failed calls in a row still fit into the time allowed


class RegistryPoller:
    """Keeps a watch of the registry going, where changes don't come unasked."""

    def __init__(self, context: Context) -> None:
        self.due: int | None = None  # when the registry is asked next; None while the watch is answered
        self.failed_calls = 0  # in a row
        self._context = context

    def poll(self) -> None:
        if self._context.settings.discovery is Discovery.ON_REQUEST:
            self._context.actions.append(WatchRegistry(True))
            self._ask_after(LONGEST_WAIT)

    def succeeded(self) -> None:
        self.failed_calls = 0
        self.due = None

    def failed(self) -> None:
        """Ask again later, with jitter, so that instances spread out."""
        share = min(FIRST_WAIT * 2**self.failed_calls, LONGEST_WAIT)
        self.failed_calls = min(self.failed_calls + 1, 8)
        self._ask_after(share * (0.5 + 0.5 * self._context.rng.random()))

    def _ask_after(self, share: float) -> None:
        """Ask after this share of the time allowed, in place of any earlier plan."""
        allowed_us = min(self._context.settings.rules.max_poll_interval_us, KNOWN_WITHIN_US)
        self.due = self._context.now + int(share * allowed_us)
        self._context.timers.add(self.due, RegistryPoll())
