"""Records of servers, requests in progress and their attempts, with properties derived from their data.

All times are readings of the balancer's clock in microseconds.
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
    """A period during which a server gets no requests, or none of some class and tenant.

    Attributes:
        until: When it ends.
        repeats: The number of consecutive backoffs, including this one.
    """

    until: int
    repeats: int


@dataclass(slots=True, eq=False)
class Server:
    """What this balancer knows about one server.

    Attributes:
        name: Its name in the registry, which identifies it.
        rank: A random sort key, drawn once, so that each balancer has its own order of the servers.
        zone: The name of its zone.
        is_local: Whether it is in this balancer's own zone.
        cell: The group of servers that share their records of idempotency keys.
        declared_capacity: Its capacity relative to that of other servers, as the registry states it.
        relative_latency: The moving average of its latency divided by the usual one; 0 if it is unknown.
        state: Whether it may get requests.
        started_at: When its process started, if known.
        slow_start_since: When its last slow start began, if it had one.
        slow_start_budget: While it is warming up, what may be sent to it now, in requests of mean cost.
        slow_start_budget_updated_at: When the budget was last refilled.
        in_flight: The number of this balancer's attempts that have not ended.
        in_flight_within_target: The number of attempts in flight whose latency target has not passed.
        abandoned_until: For each abandoned attempt, when it stops counting as load.
        idle_connections: The estimated number of idle connections from this balancer.
        idle_since: When a connection last became idle.
        idle_close_due: When the idle connections should be closed.
        reported_load: The requests in flight there by its last health check; None if that failed.
        health_check_sent_at: When the pending health check was sent; None if none is pending.
        last_success_at: When an attempt last succeeded; -1 if none did.
        last_success_sent_at: When the most recently sent of the successful attempts was sent; -1 if none was.
        consecutive_failures: The number of failures since the last success.
        consecutive_connect_failures: The number of consecutive failed connects.
        consecutive_ejections: The number of ejections since the last success.
        ejected_until: When it may get a half-open attempt; None if it is not ejected.
        half_open_attempt: The one pending attempt that may readmit it.
        rejection_backoffs: The backoffs after rejections at capacity, by class and tenant.
    """

    name: str
    rank: float
    zone: str = ""
    is_local: bool = False
    cell: int = 0
    declared_capacity: float = 1.0
    relative_latency: float = 1.0
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
        """Whether the server is in slow start at clock time `now`, given a duration of `slow_start_us`."""
        return self.slow_start_since is not None and now < self.slow_start_since + slow_start_us


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request; it is pending until it has an outcome.

    Attributes:
        index: Its number among the attempts of the request, from 0.
        server: The server to which it was sent.
        sent_at: When it was sent.
        stalled_before_us: The total duration of stalls of this process before it was sent, in microseconds.
        successes_before: The number of attempts at all servers that had succeeded before it was sent.
        pending: Whether it has no outcome yet.
        within_target: False once its latency target has passed while it was pending.
        may_have_run: Whether the server may have executed it; False once its outcome proves that it did not.
        has_response_started: Whether its response is being forwarded to the client.
        reported_load: The load that its server reported immediately before it was sent, if it did.
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
    """A request in progress; it is kept until it is answered and all of its attempts have ended.

    Attributes:
        id: Its number.
        service_class: Its class.
        deadline: The time by which its final response must be sent.
        relative_cost: Its cost relative to the mean of its class.
        traffic_key: Its class and tenant.
        may_cross_zones: Whether servers of all zones are candidates.
        cost_class: The binary exponent of its relative cost, within bounds.
        limits: The strictest limits that were in force since it arrived.
        non_execution_outcomes: The outcomes that, by all settings since it arrived, prove that an attempt did
            not run.
        ordering_key: Its ordering key, if its class is ordered by key.
        attempts: Its attempts, in the order in which they were sent.
        failed_servers: The servers of its attempts that failed or were rejected.
        rejections: The number of its attempts that were rejected at capacity.
        answered: Whether it needs no further response: it has its final one, or its client has disconnected.
        health_check_candidates: The candidates whose health checks it waits for.
        health_checks_due: When it stops waiting for them.
        priority: From 0 (shed first) to 1 (shed last); set only if health checks predict overload.
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

    def tighten_limits(self, limits: Limits, non_execution_outcomes: frozenset[Outcome]) -> None:
        """Apply the limits of new settings where they are stricter; what they newly allow stays forbidden.

        Args:
            limits: The limits of the new settings.
            non_execution_outcomes: The outcomes that prove that an attempt did not run, by the new settings.
        """
        self.limits = replace(
            limits,
            max_attempts=min(self.limits.max_attempts, limits.max_attempts),
            allow_hedging=self.limits.allow_hedging and limits.allow_hedging,
            allow_cancel=self.limits.allow_cancel and limits.allow_cancel,
        )
        self.non_execution_outcomes &= non_execution_outcomes

    def has_pending_attempt(self) -> bool:
        """Whether any attempt has not ended yet."""
        return any(attempt.pending for attempt in self.attempts)

    def is_complete(self) -> bool:
        """Whether it is answered and all of its attempts have ended."""
        return self.answered and not self.has_pending_attempt()

    def pending_attempt(self, index: int) -> Attempt | None:
        """The attempt with this index, if it was sent and has not ended."""
        if index >= len(self.attempts):
            return None
        attempt = self.attempts[index]
        return attempt if attempt.pending else None

    def mark_response_started(self, index: int) -> None:
        """Record that the response of an attempt is being forwarded to the client."""
        if index < len(self.attempts):
            self.attempts[index].has_response_started = True

    def may_have_run(self) -> bool:
        """Whether a server may have executed any of the attempts."""
        return any(attempt.may_have_run for attempt in self.attempts)


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The requests with one ordering key, which run one at a time; kept while in use or in cooldown.

    Attributes:
        key: The ordering key.
        requests: The requests that are not complete, in order of arrival.
        cooldown_until: The time before which no request may be sent.
    """

    key: int
    requests: deque[Request] = field(default_factory=deque)
    cooldown_until: int = 0

    def head(self) -> Request | None:
        """The first request that is not complete; those before it are removed."""
        while self.requests and self.requests[0].is_complete():
            self.requests.popleft()
        return self.requests[0] if self.requests else None


@dataclass(slots=True, eq=False)
class Traffic:
    """The traffic of one service class and tenant.

    Attributes:
        service_class: The class, as in the settings in force.
        tenant: The name of the tenant, if there is one.
        rate: The arrival rate of requests.
    """

    service_class: ServiceClass
    tenant: str | None
    rate: DecayingRate
