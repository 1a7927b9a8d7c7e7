"""Records of servers, of requests in progress and of their attempts: data, and what follows from it alone.

All times are in microseconds of the balancer's clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from sidecar.balancer.events import Outcome, ServerState
from sidecar.balancer.state.statistics import DecayingRate
from sidecar.settings import Limits, ServiceClass


class TrafficKey(NamedTuple):
    """The class and tenant of a request.

    Attributes:
        service_class: The name of the class.
        tenant: The name of the tenant, if there is one.
    """

    service_class: str
    tenant: str | None


class Backoff(NamedTuple):
    """A time during which a server is avoided.

    Attributes:
        until: When it ends.
        repeats: How many there were in a row, this one included.
    """

    until: int
    repeats: int


@dataclass(slots=True, eq=False)
class Server:
    """What this balancer knows of one server.

    Attributes:
        name: Its address, which identifies it.
        rank: A random number drawn once; the order of servers by it differs from balancer to balancer.
        zone: The name of its zone.
        is_local: Whether it is in this balancer's own zone.
        cell: The group of servers that deduplicate by idempotency key together.
        declared_capacity: Its capacity relative to that of others, as the registry states it.
        latency_weight: The moving average of its latency relative to the usual one.
        state: Whether it may get requests.
        started_at: When its process started, if known.
        slow_start_since: When its last slow start began, if it had one.
        slow_start_budget: While it is warming up: what may be sent to it now, in requests of mean cost.
        slow_start_budget_updated_at: When the budget was last refilled.
        in_flight: The number of this balancer's attempts that have not ended.
        in_flight_within_target: Of these, the ones whose latency target has not passed.
        abandoned_until: For each abandoned attempt, when it stops counting as load.
        idle_connections: The number of idle connections, as this balancer estimates it.
        idle_since: When a connection last became idle.
        idle_close_due: When the idle connections should be closed.
        reported_load: Requests in flight there by its last health check; None if that failed.
        health_check_sent_at: When the health check under way was sent, if there is one.
        last_success_at: When an attempt last succeeded; -1 if none did.
        last_success_sent_at: When the latest sent of the successful attempts was sent; -1 if none was.
        consecutive_failures: The number of failures since the last success.
        consecutive_connect_failures: The number of failed connects in a row.
        consecutive_ejections: The number of ejections since the last success.
        ejected_until: When it may get a half-open attempt; None if it is not ejected.
        half_open_attempt: The single attempt under way that may readmit it.
        rejection_backoffs: Backoffs after rejections at capacity, by class and tenant.
    """

    name: str
    rank: float
    zone: str = ""
    is_local: bool = False
    cell: int = 0
    declared_capacity: float = 1.0
    latency_weight: float = 1.0
    state: ServerState = ServerState.REMOVED
    started_at: int | None = None
    slow_start_since: int | None = None
    slow_start_budget: float = 0.0
    slow_start_budget_updated_at: int = 0
    in_flight: int = 0
    in_flight_within_target: int = 0
    abandoned_until: list[int] = field(default_factory=list)
    idle_connections: int = 0
    idle_since: int = 0
    idle_close_due: int = 0
    reported_load: float | None = None
    health_check_sent_at: int | None = None
    last_success_at: int = -1
    last_success_sent_at: int = -1
    consecutive_failures: int = 0
    consecutive_connect_failures: int = 0
    consecutive_ejections: int = 0
    ejected_until: int | None = None
    half_open_attempt: Attempt | None = None
    rejection_backoffs: dict[TrafficKey, Backoff] = field(default_factory=dict)

    def is_warming_up(self, now: int, slow_start_us: int) -> bool:
        """Whether the server is in slow start at clock time `now`, where that lasts `slow_start_us`."""
        return self.slow_start_since is not None and now < self.slow_start_since + slow_start_us


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request; it is pending until it has an outcome.

    Attributes:
        index: Its number among the attempts of the request, from 0.
        server: Where it was sent.
        sent_at: When it was sent.
        stalled_before_us: How long the balancer's process had stalled by then, in all.
        successes_before: How many attempts had succeeded by then, at all servers.
        pending: Whether it has no outcome yet.
        within_target: Whether its latency target had not passed while it was pending.
        may_have_run: Whether no outcome proves that the server did not execute it.
        has_response_started: Whether its response is being forwarded to the client.
        reported_load: The load its server reported right before it was sent, if it did.
        counted_as_late: Whether it was counted as late before it ended.
    """

    index: int
    server: Server
    sent_at: int
    stalled_before_us: int
    successes_before: int
    pending: bool = True
    within_target: bool = True
    may_have_run: bool = True
    has_response_started: bool = False
    reported_load: float | None = None
    counted_as_late: bool = False


@dataclass(slots=True, eq=False)
class Request:
    """A request in progress; it is kept until it is answered and its last attempt has ended.

    Attributes:
        id: Its number.
        service_class: Its class.
        deadline: By when the final response has to leave.
        relative_cost: Its cost relative to the mean of its class.
        traffic_key: Its class and tenant.
        may_cross_zones: Whether servers of all zones are candidates.
        cost_class: Its relative cost by powers of two.
        limits: The strictest limits that held since it arrived.
        non_execution_outcomes: Outcomes that proved in all that time that an attempt did not run.
        ordering_key: The key by which it is ordered, if its class is.
        attempts: Its attempts, in the order they were sent.
        failed_servers: Servers where an attempt failed or was rejected.
        rejections: The number of attempts rejected at capacity.
        answered: Whether the final response was given.
        health_check_candidates: The candidates whose health checks it waits for.
        health_checks_due: When it stops waiting for them.
        priority: The share of the traffic of lower priority, from 0 to 1.
    """

    id: int
    service_class: ServiceClass
    deadline: int
    relative_cost: float
    traffic_key: TrafficKey
    may_cross_zones: bool
    cost_class: int
    limits: Limits = field(default_factory=Limits)
    non_execution_outcomes: frozenset[Outcome] = frozenset()
    ordering_key: int | None = None
    attempts: list[Attempt] = field(default_factory=list)
    failed_servers: list[Server] = field(default_factory=list)
    rejections: int = 0
    answered: bool = False
    health_check_candidates: list[Server] = field(default_factory=list)
    health_checks_due: int = 0
    priority: float = 0.5

    def restrict(self, limits: Limits, non_execution_outcomes: frozenset[Outcome]) -> None:
        """Apply changed settings: what they forbid is forbidden from now on, what they newly allow is not.

        Args:
            limits: The limits of the new settings.
            non_execution_outcomes: Outcomes that prove by the new settings that an attempt did not run.
        """
        self.limits = replace(
            limits,
            max_attempts=min(self.limits.max_attempts, limits.max_attempts),
            allow_hedging=self.limits.allow_hedging and limits.allow_hedging,
            allow_cancel=self.limits.allow_cancel and limits.allow_cancel,
        )
        self.non_execution_outcomes &= non_execution_outcomes

    def is_active(self) -> bool:
        """Whether an attempt has not ended yet."""
        return any(attempt.pending for attempt in self.attempts)

    def is_complete(self) -> bool:
        """Whether it is answered and all of its attempts have ended."""
        return self.answered and not self.is_active()

    def pending_attempt(self, index: int) -> Attempt | None:
        """The attempt of this index, if it was sent and has not ended."""
        if index >= len(self.attempts):
            return None
        attempt = self.attempts[index]
        return attempt if attempt.pending else None

    def mark_response_started(self, index: int) -> None:
        """Note that the response of an attempt is being forwarded to the client."""
        if index < len(self.attempts):
            self.attempts[index].has_response_started = True

    def may_have_run(self) -> bool:
        """Whether a server may have executed any of the attempts."""
        return any(attempt.may_have_run for attempt in self.attempts)


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The requests of one ordering key, which run one at a time; kept while in use or in cooldown.

    Attributes:
        key: The ordering key.
        requests: The requests that are not complete, in order of arrival.
        cooldown_until: No request may be sent before this time.
    """

    key: int
    requests: deque[Request] = field(default_factory=deque)
    cooldown_until: int = 0

    def head(self) -> Request | None:
        """The first request that is not complete; those before it are dropped."""
        while self.requests and self.requests[0].is_complete():
            self.requests.popleft()
        return self.requests[0] if self.requests else None


@dataclass(slots=True, eq=False)
class Traffic:
    """One tenant's traffic of one class.

    Attributes:
        service_class: The class, by the current settings.
        tenant: The name of the tenant, if there is one.
        rate: The rate of requests that arrive.
    """

    service_class: ServiceClass
    tenant: str | None
    rate: DecayingRate
