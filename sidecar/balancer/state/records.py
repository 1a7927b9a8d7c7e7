"""Records of servers, of requests in progress and of their attempts: data, and what follows from it alone."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from sidecar.balancer.events import Outcome, ServerState
from sidecar.balancer.state.statistics import DecayingRate
from sidecar.settings import Limits, ServiceClass

TrafficKey = tuple[str, str | None]  # the class and tenant of a request


class Backoff(NamedTuple):
    """Until when a server is left out, and how often in a row it was."""

    until: int
    repeats: int


@dataclass(slots=True, eq=False)
class Server:
    """What this balancer knows of one server."""

    name: str
    rank: float  # chance, drawn once: this balancer's order of the servers
    zone: str = ""
    is_local: bool = False  # whether it is in this balancer's own zone
    cell: int = 0
    declared_capacity: float = 1.0  # its capacity relative to the others', as the registry states it
    latency_weight: float = 1.0  # moving average of its latency relative to the usual
    state: ServerState = ServerState.REMOVED
    started_at: int | None = None
    slow_start_since: int | None = None
    slow_start_budget: float = 0.0  # while cold: what may be sent to it now, in requests of mean cost
    slow_start_budget_updated_at: int = 0
    in_flight: int = 0
    in_flight_within_target: int = 0  # of these, the ones whose latency target has not passed
    abandoned_until: list[int] = field(default_factory=list)  # when each abandoned attempt stops counting
    idle_connections: int = 0  # by this balancer's own reckoning
    idle_since: int = 0
    idle_close_due: int = 0
    reported_load: float | None = None  # requests it holds, by its last probe; None: that was not answered
    health_check_sent_at: int | None = None  # of the probe that is under way
    last_success_at: int = -1
    last_success_sent_at: int = -1  # when the latest sent of its answered attempts was sent
    consecutive_failures: int = 0
    consecutive_connect_failures: int = 0
    ejections: int = 0  # without an answer between
    ejected_until: int | None = None  # None: not ejected
    half_open_attempt: Attempt | None = None  # the single attempt that may readmit it
    rejection_backoffs: dict[TrafficKey, Backoff] = field(default_factory=dict)  # where it was full


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request; it is pending until it has an outcome."""

    index: int
    server: Server
    sent_at: int
    stalled_before_us: int  # how long the balancer had stalled by then, in all
    successes_before: int  # how many answers had come by then, from all servers
    pending: bool = True
    within_target: bool = True  # until its latency target passes while it is pending
    may_have_run: bool = True  # until an outcome proves that it did not
    response_started: bool = False  # its answer goes to the client by now
    reported_load: float | None = None  # of its server when it was sent, by a probe
    counted_as_late: bool = False  # it was counted as late before it ended


@dataclass(slots=True, eq=False)
class Request:
    """A request accepted; it is kept until it is answered and its last attempt has ended."""

    id: int
    service_class: ServiceClass
    deadline: int
    relative_cost: float  # relative to the mean of its class
    traffic_key: TrafficKey
    all_zones: bool  # whether servers of all zones are candidates
    cost_class: int  # class of costs, by powers of two
    limits: Limits = field(default_factory=Limits)  # the strictest that held since it was accepted
    non_execution_outcomes: frozenset[Outcome] = (
        frozenset()
    )  # what proved in all that time that an attempt did not run
    ordering_key: int | None = None  # where its class is ordered by key
    attempts: list[Attempt] = field(default_factory=list)
    failed_servers: list[Server] = field(default_factory=list)  # full ones included
    rejections: int = 0
    answered: bool = False
    health_checked: list[Server] = field(default_factory=list)  # candidates whose probes it waits for
    health_checks_due: int = 0
    priority: float = 0.5  # the part of the traffic that is worth less

    def restrict(self, limits: Limits, never_ran: frozenset[Outcome]) -> None:
        """Other settings hold: what they forbid is forbidden from now on, what they newly allow is not."""
        self.limits = replace(
            limits,
            max_attempts=min(self.limits.max_attempts, limits.max_attempts),
            allow_hedging=self.limits.allow_hedging and limits.allow_hedging,
            allow_cancel=self.limits.allow_cancel and limits.allow_cancel,
        )
        self.non_execution_outcomes &= never_ran

    def is_active(self) -> bool:
        """Whether an attempt has not ended yet."""
        return any(each.pending for each in self.attempts)

    def is_complete(self) -> bool:
        """Whether it is answered and none of its attempts is active."""
        return self.answered and not self.is_active()

    def pending_attempt(self, index: int) -> Attempt | None:
        """The attempt of this number, if it was sent and has not ended."""
        attempt = self.attempts[index] if index < len(self.attempts) else None
        return attempt if attempt is not None and attempt.pending else None

    def response_started(self, index: int) -> None:
        """Note that the answer of an attempt goes to the client by now."""
        if index < len(self.attempts):
            self.attempts[index].response_started = True

    def may_have_run(self) -> bool:
        """Whether any attempt may have taken effect."""
        return any(each.may_have_run for each in self.attempts)


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The requests of one key that run in turn; kept while the key is in use or rests."""

    key: int
    requests: deque[Request] = field(default_factory=deque)
    cooldown_until: int = 0

    def head(self) -> Request | None:
        """The first request that is not over; those before it are dropped."""
        while self.requests and self.requests[0].is_complete():
            self.requests.popleft()
        return self.requests[0] if self.requests else None


@dataclass(slots=True, eq=False)
class Traffic:
    """One tenant's traffic of one class."""

    service_class: ServiceClass
    tenant: str | None
    rate: DecayingRate
