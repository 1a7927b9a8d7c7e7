"""Probes: where they cost next to nothing they settle ties between candidates with equal counts."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from sidecar.balancer.actions import CheckHealth
from sidecar.balancer.events import HealthCheckEnded, Outcome
from sidecar.balancer.policy.connections import IdleConnections
from sidecar.balancer.policy.latency_ratio import UNANSWERED_LATENCY_RATIO
from sidecar.balancer.policy.selection import CANDIDATES, Selector
from sidecar.balancer.policy.slow_start import SlowStart
from sidecar.balancer.state import Attempt, Context, LinearFit, Request, Server
from sidecar.balancer.state.timers import HealthChecksDue
from sidecar.settings import ReportSource, Settings

MAX_COST_SHARE = 0.01  # probes for a request may cost this part of its worth
WAIT_PROBE_TIMES = 3.0  # a tie waits this many usual probe times for its probes
MAX_WAIT_TARGETS = 0.05  # and never longer than this part of the target: the usual is not known at first
PROBE_TIME_STEP = 0.1  # the usual probe time follows the last ten or so
COST_GAIN = 2.0  # a crossing or a new connection must spare this many times its price, in latency targets
MIN_CROSS_ZONE_COST = 0.1  # cheaper crossings than this go by weights
FIT_DECAY = 0.03  # what a held request costs in time is fitted over the last thirty answers or so
FIT_MIN_SAMPLES = 5.0  # fewer tell nothing
CLIP = 3.0  # one answer counts for at most this many times the latency expected: congestion is no rule
CLIP_FLOOR = 0.2  # but for this part of the target at any rate
BEARABLE_RATIO = 0.7  # a server may be expected to take this part of the target, for the highest priority
BEARABLE_SPREAD = 0.5  # and this much less of it for the lowest
TRICKLE = 0.01  # part admitted where probes tell of overload: what they foretell must stay checked


def health_checks_per_request(settings: Settings) -> int:
    """How many tied candidates are probed; 1 or less: ties are not probed."""
    probed = settings.report_source is ReportSource.PROBES and settings.limits.allow_probes
    if not probed or "inflight" not in settings.report_columns:
        return 0
    return int(min(MAX_COST_SHARE / max(settings.prices.probe, 1e-9), CANDIDATES))


def cross_zone_cost(settings: Settings) -> float:
    """What a crossing must spare, in parts of the latency target."""
    return COST_GAIN * settings.prices.cross_zone


@dataclass(slots=True, eq=False)
class HealthChecks:
    """Holds requests while their candidates are probed, and picks the least loaded."""

    context: Context
    slow_start: SlowStart
    selector: Selector
    connections: IdleConnections
    latency_by_load: LinearFit  # latency ratio by what the server held
    _waiting: dict[int, Request] = field(default_factory=dict)  # requests that wait for probes
    _probe_time_us: float | None = None  # the usual time of a probe

    def start(self, request: Request, tied: list[Server]) -> None:
        """Probe tied candidates and hold the request; those slower than usual to answer are passed over."""
        wait_us = MAX_WAIT_TARGETS * request.service_class.latency_target_us
        if self._probe_time_us is not None:
            wait_us = min(wait_us, WAIT_PROBE_TIMES * self._probe_time_us)
        request.health_checked = tied
        request.health_checks_due = self.context.now + int(wait_us)
        self._waiting[request.id] = request
        for server in tied:
            if server.health_check_sent_at is None:
                server.health_check_sent_at = self.context.now
                self.context.actions.append(CheckHealth(server.name))
        self.context.timers.add(request.health_checks_due, HealthChecksDue(request.id))

    def check_ended(self, event: HealthCheckEnded) -> Iterator[Request]:
        """Take in a probe; give the requests that then wait for no further one."""
        server = self.context.registry.servers.get(event.server)
        if server is None:
            return
        server.health_check_sent_at = server.reported_load = None
        if event.outcome is Outcome.SUCCEEDED:
            usual = self._probe_time_us if self._probe_time_us is not None else float(event.elapsed_us)
            self._probe_time_us = usual + PROBE_TIME_STEP * (event.elapsed_us - usual)
            if event.report is not None:
                server.reported_load = event.report.get("inflight")
        for request in list(self._waiting.values()):
            if all(each.health_check_sent_at is None for each in request.health_checked):
                yield request

    def release(self, request: Request) -> list[Server]:
        """End the wait of a request; give its tied candidates."""
        self._waiting.pop(request.id, None)
        tied, request.health_checked = request.health_checked, []
        return tied

    def least_loaded(self, request: Request, tied: list[Server]) -> Server | None:
        """The best of the candidates that answered their probes."""
        reported = [
            each for each in tied if each.health_check_sent_at is None and each.reported_load is not None
        ]
        eligible = [each for each in reported if self.selector.is_eligible(each, request)]
        return min(eligible, key=self._rank, default=None)

    def _rank(self, server: Server) -> tuple[int, float, float]:
        """Own attempts first, then the latency expected with the price of getting there, then load."""
        extra = cross_zone_cost(self.context.settings) if not server.is_local else 0.0
        if not self.connections.is_open(server):
            extra += COST_GAIN * self.context.settings.prices.handshake
        load = ((server.reported_load or 0.0) + 1.0) * server.latency_weight
        load /= self.slow_start.capacity_share(server)  # cold ones look idle
        return self.context.load.at(server), (self.latency_by_load.predict(load) or 0.0) + extra, load

    def should_cross_zones(self, best: Server | None) -> bool:
        """Whether the local zone is crowded enough to pay for a crossing."""
        if best is None or best.reported_load is None:
            return True
        here, idle = self.latency_by_load.predict(best.reported_load), self.latency_by_load.predict(0.0)
        return here is not None and idle is not None and here - idle > cross_zone_cost(self.context.settings)

    def predicts_overload(self, request: Request, best: Server) -> bool:
        """Whether to refuse a new request, as even the best server is expected to take too long."""
        if best.reported_load is None or request.attempts:
            return False
        expected = self.latency_by_load.predict(best.reported_load)
        bearable = BEARABLE_RATIO - BEARABLE_SPREAD * (1.0 - request.priority)
        return expected is not None and expected > bearable and self.context.rng.random() >= TRICKLE

    def observe_success(self, request: Request, attempt: Attempt, elapsed_us: int) -> None:
        """Learn how long an answer takes by what its server held."""
        if attempt.reported_load is not None:
            expected = self.latency_by_load.predict(attempt.reported_load)
            most = UNANSWERED_LATENCY_RATIO if expected is None else max(CLIP * expected, CLIP_FLOOR)
            ratio = elapsed_us / request.service_class.latency_target_us
            self.latency_by_load.add(attempt.reported_load, min(ratio, most))
