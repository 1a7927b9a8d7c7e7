"""Outlier ejection: servers that fail or hang receive no requests until a half-open attempt succeeds.

Each server has a circuit breaker: ejection opens it.  After a backoff, one attempt at a time is admitted
(half-open), which closes the breaker if it succeeds.
"""

from sidecar.balancer.actions import Log
from sidecar.balancer.events import Outcome, ServerState
from sidecar.balancer.policy.backoff import next_backoff
from sidecar.balancer.policy.retries import FAILURE_OUTCOMES
from sidecar.balancer.policy.slow_start import SlowStart
from sidecar.balancer.policy.subsetting import subset_size
from sidecar.balancer.state import Attempt, Context, Request, Server
from sidecar.settings import Idempotency

# Consecutive failures that eject a server; fewer may be chance failures of the network.
FAILURES_TO_EJECT = 3
# Largest share of the servers in use that may be ejected; with more, the rest would be overloaded.
MAX_EJECTED_SHARE = 0.6
# The same for servers that are only unresponsive; a larger share indicates overload.
MAX_EJECTED_SHARE_UNRESPONSIVE = 0.34
# A stall of this process can cause these outcomes by itself.
TIMEOUT_OUTCOMES = (Outcome.TIMED_OUT, Outcome.CONNECT_FAILED)


class OutlierDetector:
    """Ejects servers and readmits them.

    Attributes:
        ejected: The ejected servers, in order of their ejection.
        successes: The number of successful attempts so far, at all servers.
    """

    def __init__(self, context: Context, slow_start: SlowStart) -> None:
        """Create a detector that has ejected no server.

        Args:
            context: The shared state of the balancer.
            slow_start: The slow start of servers, begun for unreachable ones, as they may have restarted.
        """
        self.ejected: list[Server] = []
        self.successes = 0
        self._slow_start = slow_start
        self._context = context

    def attempt_ended(self, request: Request, attempt: Attempt, outcome: Outcome) -> None:
        """Update the health of a server after an attempt ended.

        Args:
            request: The request of the attempt.
            attempt: The attempt that ended.
            outcome: How it ended.
        """
        server = attempt.server
        is_half_open = server.half_open_attempt is attempt
        if is_half_open:
            server.half_open_attempt = None
        if outcome is Outcome.SUCCEEDED:
            self._succeeded(request, attempt)
        elif outcome in FAILURE_OUTCOMES:
            self._failed(attempt, outcome, is_half_open)
        elif is_half_open and outcome is not Outcome.NOT_SENT:
            self.eject(server, outcome.value)  # rejected or cancelled: the server has not recovered

    def eject(self, server: Server, reason: str, max_share: float = MAX_EJECTED_SHARE) -> None:
        """Eject a server, or extend its ejection; has no effect if too many servers are ejected already.

        Args:
            server: The server.
            reason: The reason to log.
            max_share: The largest share of the servers in use that may be ejected.
        """
        if server.state is ServerState.REMOVED:
            return
        if server.ejected_until is None:
            if not self._may_eject_another(max_share):
                return
            self.ejected.append(server)
            self._context.load.within_target_at_ejected += server.in_flight_within_target
            self._context.actions.append(Log(f"ejected {server.name}: {reason}"))
        backoff = next_backoff(self._context, server.consecutive_ejections)
        server.ejected_until = backoff.until
        server.consecutive_ejections = backoff.repeats

    def readmit(self, server: Server) -> None:
        """End the ejection of a healthy server; one that was unreachable begins slow start."""
        self.end_ejection(server)
        server.consecutive_ejections = 0
        server.consecutive_failures = 0
        # Its slow start did not begin with its process, so failed connects began it: see `_failed`.
        if server.slow_start_since is not None and server.slow_start_since != server.started_at:
            self._slow_start.start(server, self._context.now)
        self._context.actions.append(Log(f"readmitted {server.name}"))

    def end_ejection(self, server: Server) -> None:
        """Stop counting a server as ejected, so that it does not keep others from being ejected."""
        if server.ejected_until is None:
            return
        server.ejected_until = None
        self.ejected.remove(server)
        self._context.load.within_target_at_ejected -= server.in_flight_within_target

    def half_open_candidate(self, request: Request) -> Server | None:
        """Find an ejected server that may receive this request as its half-open attempt.

        Only first attempts of safe requests are used, as these can be retried elsewhere if the attempt fails.

        Args:
            request: The request to be sent.

        Returns:
            The server; None if no server is half-open or the request is not suitable.
        """
        if request.service_class.idempotency is not Idempotency.SAFE or request.attempts:
            return None
        for server in self.ejected:
            if self._is_half_open(server) and self._slow_start.has_capacity(server, request.relative_cost):
                return server
        return None

    def _is_half_open(self, server: Server) -> bool:
        """Whether the backoff of an ejected server is over and it has no half-open attempt in progress."""
        has_waited = server.ejected_until is not None and self._context.now >= server.ejected_until
        return has_waited and server.state is ServerState.READY and server.half_open_attempt is None

    def _may_eject_another(self, max_share: float) -> bool:
        servers_in_use = min(len(self._context.registry.ready), subset_size(self._context.load))
        return len(self.ejected) + 1 <= max_share * servers_in_use

    def _succeeded(self, request: Request, attempt: Attempt) -> None:
        server = attempt.server
        server.consecutive_failures = 0
        server.consecutive_connect_failures = 0
        server.last_success_at = self._context.now
        server.last_success_sent_at = max(server.last_success_sent_at, attempt.sent_at)
        self.successes += 1
        self._slow_start.count_success(server, request.relative_cost)
        if server.ejected_until is not None:
            self.readmit(server)

    def _failed(self, attempt: Attempt, outcome: Outcome, is_half_open: bool) -> None:
        if self._is_inconclusive(attempt, outcome, is_half_open):
            return
        server = attempt.server
        server.consecutive_failures += 1
        if outcome is Outcome.CONNECT_FAILED:
            server.consecutive_connect_failures += 1
        else:
            server.consecutive_connect_failures = 0
        has_failed_enough = server.consecutive_failures >= FAILURES_TO_EJECT and server.ejected_until is None
        if not is_half_open and not has_failed_enough:
            return
        self.eject(server, outcome.value)
        required_connect_failures = 1 if is_half_open else FAILURES_TO_EJECT
        if server.consecutive_connect_failures >= required_connect_failures:
            # The server may have restarted, which the registry may report later.  Resets are no sign of that.
            self._slow_start.start(server, self._context.now)

    def _is_inconclusive(self, attempt: Attempt, outcome: Outcome, is_half_open: bool) -> bool:
        """Whether a failure says nothing about the server's health."""
        if outcome is Outcome.TIMED_OUT and attempt.server.last_success_at > attempt.sent_at:
            return True  # the server is slow, but it has responded to another attempt since
        # After a stall of this process, the elapsed time includes its own delay.
        return outcome in TIMEOUT_OUTCOMES and self._context.stalls.is_catching_up() and not is_half_open
