"""Health checks: where they are cheap, candidates report their load before a request is sent."""

from collections.abc import Iterator

from sidecar.balancer.actions import CheckHealth
from sidecar.balancer.events import HealthCheckEnded, Outcome
from sidecar.balancer.policy.selection import CANDIDATE_COUNT
from sidecar.balancer.state import Context, Request, Server
from sidecar.balancer.state.timers import HealthChecksDue
from sidecar.settings import ReportSource, Settings

LOAD_FIELD = "inflight"  # name in load reports: the requests in flight at the server
MAX_CHECK_COST_SHARE = 0.01  # share of the value of a request that its health checks may cost
MIN_PRICE = 1e-9  # avoids a division by zero where health checks are free
# A request waits for its health checks up to the shorter of these times.
MAX_WAIT_CHECK_DURATIONS = 3.0  # in usual durations of a health check
MAX_WAIT_TARGETS = 0.05  # in latency targets of the request
CHECK_DURATION_SMOOTHING_FACTOR = 0.1  # weight of each health check; about the last ten count


def health_checks_per_request(settings: Settings) -> int:
    """The number of candidates to check before a request is sent; 1 or less disables the checks."""
    if settings.report_source is not ReportSource.PROBES or not settings.limits.allow_probes:
        return 0
    if LOAD_FIELD not in settings.report_columns:
        return 0
    affordable = MAX_CHECK_COST_SHARE / max(settings.prices.probe, MIN_PRICE)
    return int(min(affordable, CANDIDATE_COUNT))


class HealthChecks:
    """Checks candidates, and holds each request until its candidates have reported their load."""

    def __init__(self, context: Context) -> None:
        """Create the policy with no request waiting.

        Args:
            context: The shared state of the balancer.
        """
        self._context = context
        self._waiting_requests: dict[int, Request] = {}  # by request id
        self._usual_duration_us: float | None = None  # of a health check

    def start(self, request: Request, candidates: list[Server]) -> None:
        """Check candidates and hold the request, which does not wait for those that respond too slowly.

        Args:
            request: The request to be sent.
            candidates: The servers to check.  One check serves all requests that wait for it.
        """
        request.health_check_candidates = candidates
        request.health_checks_due = self._context.now + self._max_wait_us(request)
        self._waiting_requests[request.id] = request
        for server in candidates:
            if server.health_check_sent_at is None:
                server.health_check_sent_at = self._context.now
                self._context.actions.append(CheckHealth(server.name))
        self._context.timers.add(request.health_checks_due, HealthChecksDue(request.id))

    def check_ended(self, event: HealthCheckEnded) -> Iterator[Request]:
        """Record the result of a health check.

        Args:
            event: The end of the health check.

        Yields:
            The waiting requests whose health checks have all ended.
        """
        server = self._context.registry.servers.get(event.server)
        if server is None:
            return
        server.health_check_sent_at = None
        server.reported_load = None
        if event.outcome is Outcome.SUCCEEDED:
            self._observe_duration(event.elapsed_us)
            if event.report is not None:
                server.reported_load = event.report.get(LOAD_FIELD)
        for request in list(self._waiting_requests.values()):
            if all(candidate.health_check_sent_at is None for candidate in request.health_check_candidates):
                yield request

    def end_wait(self, request: Request) -> list[Server]:
        """End the wait of a request and return the candidates that were checked for it."""
        self._waiting_requests.pop(request.id, None)
        candidates = request.health_check_candidates
        request.health_check_candidates = []
        return candidates

    def _max_wait_us(self, request: Request) -> int:
        max_wait_us = MAX_WAIT_TARGETS * request.service_class.latency_target_us
        if self._usual_duration_us is None:
            return int(max_wait_us)
        return int(min(max_wait_us, MAX_WAIT_CHECK_DURATIONS * self._usual_duration_us))

    def _observe_duration(self, elapsed_us: int) -> None:
        usual_us = self._usual_duration_us if self._usual_duration_us is not None else float(elapsed_us)
        self._usual_duration_us = usual_us + CHECK_DURATION_SMOOTHING_FACTOR * (elapsed_us - usual_us)
