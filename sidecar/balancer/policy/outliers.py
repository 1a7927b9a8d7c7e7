"""Outlier ejection: servers that fail or fall silent are left, and come back by half-open attempts."""

from sidecar.balancer.actions import Log
from sidecar.balancer.events import Outcome, ServerState
from sidecar.balancer.policy.low_traffic import subset_size
from sidecar.balancer.policy.retries import FAILURES, may_retry
from sidecar.balancer.policy.slow_start import SlowStart
from sidecar.balancer.state import Attempt, Backoff, Context, Request, Server
from sidecar.settings import Idempotency

FAILURES_TO_EJECT = 3  # in a row, none answered between: networks break a few by chance
BACKOFF_TARGETS = 2.0  # a first ejection lasts this many of the longest latency target; it doubles each time
MAX_BACKOFF_TARGETS = 16.0  # and never lasts longer: a server that came back is found again
MAX_EJECTED_SHARE = 0.6  # never more than this share of the servers is ejected: the rest would be overloaded
MAX_EJECTED_SHARE_UNRESPONSIVE = 0.34  # nor more than this for silence alone: more is overload, not failure


class OutlierDetector:
    """Ejects servers and readmits them; backs off from those that are full for one class or tenant."""

    def __init__(self, context: Context, slow_start: SlowStart) -> None:
        self.ejected: list[Server] = []
        self.successes = 0  # so far, from all servers
        self._slow_start = slow_start
        self._context = context

    def attempt_ended(self, request: Request, attempt: Attempt, outcome: Outcome) -> None:
        """Learn of a server's health from the end of an attempt."""
        server = attempt.server
        half_open = server.half_open_attempt is attempt
        if half_open:
            server.half_open_attempt = None
        if outcome is Outcome.SUCCEEDED:
            server.consecutive_failures = server.consecutive_connect_failures = 0
            server.last_success_at = self._context.now
            server.last_success_sent_at = max(server.last_success_sent_at, attempt.sent_at)
            self.successes += 1
            self._slow_start.count_success(server, request.relative_cost)
            if server.ejected_until is not None:
                self.readmit(server)
        elif outcome in FAILURES:
            self._failed(attempt, outcome, half_open)
        elif half_open and outcome is not Outcome.NOT_SENT:
            self.eject(server, outcome.value)  # full, or cancelled when overdue: it is no better yet

    def _failed(self, attempt: Attempt, outcome: Outcome, half_open: bool) -> None:
        server = attempt.server
        if outcome is Outcome.TIMED_OUT and server.last_success_at > attempt.sent_at:
            return  # it is slow, not failing: it answered others meanwhile
        timed_out = outcome in (Outcome.TIMED_OUT, Outcome.CONNECT_FAILED)
        if timed_out and self._context.is_catching_up() and not half_open:
            return  # this balancer was slow
        server.consecutive_failures += 1
        dials = server.consecutive_connect_failures + 1 if outcome is Outcome.CONNECT_FAILED else 0
        server.consecutive_connect_failures = dials
        if half_open or (server.consecutive_failures >= FAILURES_TO_EJECT and server.ejected_until is None):
            self.eject(server, outcome.value)
            if dials >= (1 if half_open else FAILURES_TO_EJECT):  # broken connections alone prove nothing
                self._slow_start.start(server, self._context.now)  # the registry may tell of it later

    def eject(self, server: Server, reason: str, max_share: float = MAX_EJECTED_SHARE) -> None:
        """Send nothing to a server for a while, unless too large a share is ejected already."""
        if server.state is ServerState.REMOVED:
            return
        if server.ejected_until is None:
            known = min(len(self._context.registry.ready), subset_size(self._context.load))
            if len(self.ejected) + 1 > max_share * known:
                return
            self.ejected.append(server)
            self._context.load.at_ejected += server.in_flight_within_target
            self._context.actions.append(Log(f"ejected {server.name}: {reason}"))
        server.ejected_until, server.ejections = self._next_backoff(server.ejections)

    def _next_backoff(self, repeats: int, least_targets: float = 0.0) -> Backoff:
        """A wait that doubles each time, with jitter."""
        targets = max(min(BACKOFF_TARGETS * 2**repeats, MAX_BACKOFF_TARGETS), least_targets)
        wait_us = targets * self._context.longest_target_us * (0.75 + 0.5 * self._context.rng.random())
        return Backoff(self._context.now + int(wait_us), min(repeats + 1, 8))

    def back_off(self, request: Request, server: Server) -> None:
        """Keep requests of this class and tenant away from a server that was full for one."""
        repeats = (
            server.rejection_backoffs[request.traffic_key].repeats
            if request.traffic_key in server.rejection_backoffs
            else 0
        )
        repeatable = may_retry(request, self._context.now, self._context.settings.tick_us)
        least_targets = 0.0 if repeatable else MAX_BACKOFF_TARGETS  # each further trial fails a request
        server.rejection_backoffs[request.traffic_key] = self._next_backoff(repeats, least_targets)

    def readmit(self, server: Server) -> None:
        """Take a server back; one that was cold for its failed dials is cold anew."""
        self.end_ejection(server)
        server.ejections = 0
        server.consecutive_failures = 0
        if server.slow_start_since is not None and server.slow_start_since != server.started_at:
            self._slow_start.start(server, self._context.now)
        self._context.actions.append(Log(f"readmitted {server.name}"))

    def end_ejection(self, server: Server) -> None:
        """A server that is back or gone must not keep others from being ejected."""
        if server.ejected_until is not None:
            server.ejected_until = None
            self.ejected.remove(server)
            self._context.load.at_ejected -= server.in_flight_within_target

    def half_open_candidate(self, request: Request) -> Server | None:
        """An ejected server comes back by one attempt at a time, with a request that may be repeated."""
        if request.service_class.idempotency is not Idempotency.SAFE or request.attempts:
            return None
        for server in self.ejected:
            waited = server.ejected_until is not None and self._context.now >= server.ejected_until
            if waited and server.state is ServerState.READY and server.half_open_attempt is None:
                if self._slow_start.has_capacity(server, request.relative_cost):
                    return server
        return None
