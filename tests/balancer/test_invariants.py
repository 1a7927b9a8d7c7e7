"""Invariants of all decisions, checked by the actions alone over random valid sequences of events."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from balancer_harness import KEYED, MILLISECOND_US, SAFE, SECOND_US, START_US, UNSAFE, server_names, settings
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from sidecar import Balancer
from sidecar.balancer.actions import (
    CancelAttempt,
    CheckHealth,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SetTimer,
)
from sidecar.balancer.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    Event,
    HealthCheckEnded,
    Outcome,
    RegistryUpdated,
    RegistryUpdateKind,
    RequestArrived,
    ServerState,
    SettingsChanged,
    TimerFired,
)
from sidecar.settings import Idempotency, ServiceClass

SERVERS = server_names(7)
ZONES = ("east", "west")
TICK_US = 5 * MILLISECOND_US
KEY_COOLDOWN_US = 100 * MILLISECOND_US
KEYS = (None, 1, 2)
MAY_STILL_RUN = (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)
CLASSES = [
    SAFE,
    UNSAFE,
    *({**KEYED, "name": f"amend-{group}", "dedup_scope": group} for group in ("all", "zone", "cell")),
]


@dataclass(frozen=True)
class Permissions:
    """The settings that vary; all others are constant."""

    allow_hedging: bool
    max_attempts: int
    late_shedding: bool
    ordered_classes: set[str]
    allow_probes: bool


@dataclass
class AttemptRecord:
    """An attempt as its server sees it."""

    endpoint: Endpoint
    sent_at: int
    pending: bool = True
    outcome: Outcome | None = None
    ended_at: int = 0
    never_ran: bool = False

    @property
    def may_have_run(self) -> bool:
        return self.pending or not self.never_ran


@dataclass
class RequestRecord:
    """A request as its client sees it, and the strictest settings since it arrived."""

    service_class: ServiceClass
    deadline: int
    may_be_answered_late: bool  # as it arrived too close to its deadline
    max_attempts: int
    allow_hedging: bool
    never_ran_outcomes: set[Outcome]
    ordered_key: int | None
    attempts: list[AttemptRecord] = field(default_factory=list)
    completed: bool = False


class InvariantChecker:
    """Tracks the state of clients, servers and the registry, and checks every action against it."""

    def __init__(self, permissions: Permissions, rng_seed: int) -> None:
        self.apply_permissions(permissions)
        self.balancer = Balancer(self.settings, rng_seed)
        self.now = START_US
        self.timers: list[tuple[int, str]] = []
        self.requests: dict[int, RequestRecord] = {}
        self.health_checks: list[tuple[str, int]] = []
        self.listed: dict[str, Endpoint] = {}
        self.next_number = 1

    def apply_permissions(self, permissions: Permissions) -> None:
        ordered, late_shedding = permissions.ordered_classes, permissions.late_shedding
        self.settings = settings(
            classes=[{**each, "ordered_by_key": each["name"] in ordered} for each in CLASSES],
            limits={
                "allow_hedging": permissions.allow_hedging,
                "max_attempts": permissions.max_attempts,
                "allow_probes": permissions.allow_probes,
            },
            report={"source": "probes", "columns": ["inflight", "queue"]},
            prices={"cross_zone": 0.1},
            rules={"late_shedding": late_shedding, "key_cooldown_us": KEY_COOLDOWN_US},
        )
        self.never_ran_outcomes = {Outcome.CONNECT_FAILED, Outcome.NOT_SENT}
        if not late_shedding:
            self.never_ran_outcomes.add(Outcome.REJECTED)
        self.service_classes = {each.name: each for each in self.settings.classes}

    def change_permissions(self, permissions: Permissions) -> None:
        """Change the settings; requests in progress keep the strictest settings since they arrived."""
        self.apply_permissions(permissions)
        for request in self.requests.values():
            request.max_attempts = min(request.max_attempts, permissions.max_attempts)
            request.allow_hedging = request.allow_hedging and permissions.allow_hedging
            request.never_ran_outcomes = request.never_ran_outcomes & self.never_ran_outcomes
        self.play(SettingsChanged(self.settings))

    def play(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, event):
            match action:
                case SendAttempt():
                    self.check_send(action)
                case RejectRequest() | FailRequest():
                    self.check_final_response(action)
                case CancelAttempt():
                    assert action.attempt < len(self.requests[action.request].attempts)
                case SetTimer():
                    self.timers.append((self.now + action.delay_us, action.token))
                case CheckHealth():
                    assert self.settings.limits.allow_probes
                    assert action.server in self.listed
                    self.health_checks.append((action.server, self.now))
                case _:
                    pass
        self.check_counts()

    def check_send(self, action: SendAttempt) -> None:
        request = self.requests[action.request]
        endpoint = self.listed[action.server]
        assert not request.completed, "sent after the final response"
        assert self.now < request.deadline, "sent after the deadline"
        assert endpoint.state is ServerState.READY, "sent to a draining or removed server"
        if request.ordered_key is not None and not request.attempts:
            self.check_key_order(action.request)
        assert len(request.attempts) < request.max_attempts, "more attempts than allowed"
        if not request.allow_hedging:
            assert not any(each.pending for each in request.attempts), "hedged although hedging is disabled"
        self.check_retry(request, endpoint)
        request.attempts.append(AttemptRecord(endpoint, self.now))

    def check_retry(self, request: RequestRecord, endpoint: Endpoint) -> None:
        earlier = [each for each in request.attempts if each.may_have_run]
        if not earlier:
            return
        service_class = request.service_class
        assert service_class.idempotency is not Idempotency.UNSAFE, "a non-idempotent request was retried"
        if service_class.idempotency is Idempotency.KEYED:
            window_end = earlier[0].sent_at + service_class.dedup_window_us
            assert self.now < window_end, "sent after the deduplication window"
            scope = service_class.dedup_scope.value
            for each in earlier:
                assert scope != "zone" or each.endpoint.zone == endpoint.zone, "retried in another zone"
                assert scope != "cell" or each.endpoint.cell == endpoint.cell, "retried in another cell"

    def check_key_order(self, number: int) -> None:
        key = self.requests[number].ordered_key
        for other_number, other in self.requests.items():
            if other_number < number and other.ordered_key == key:
                assert other.completed, "sent before an earlier request with its key was completed"
                for each in other.attempts:
                    assert not each.pending, "sent while an attempt with its key was pending"
                    if each.outcome in MAY_STILL_RUN:
                        assert self.now >= each.ended_at + KEY_COOLDOWN_US, (
                            "sent during the cooldown of its key"
                        )

    def check_final_response(self, action: RejectRequest | FailRequest) -> None:
        request = self.requests[action.request]
        assert not request.completed, "two final responses"
        assert self.now < request.deadline or request.may_be_answered_late, "answered after the deadline"
        service_class = request.service_class
        if isinstance(action, RejectRequest) and service_class.idempotency is not Idempotency.SAFE:
            may_have_run = any(each.may_have_run for each in request.attempts)
            deduplicated_everywhere = (
                service_class.idempotency is Idempotency.KEYED and service_class.dedup_scope.value == "all"
            )
            assert not may_have_run or deduplicated_everywhere, "rejected a request that may have run"
        request.completed = True

    def check_counts(self) -> None:
        in_flight: dict[str, int] = dict.fromkeys(SERVERS, 0)
        for request in self.requests.values():
            for each in request.attempts:
                in_flight[each.endpoint.name] += each.pending
        for name, server in self.balancer._context.registry.servers.items():
            assert server.in_flight == in_flight[name], "wrong count of attempts in flight"

    def arrive(self, name: str, remaining_us: int, key: int | None) -> None:
        number, self.next_number = self.next_number, self.next_number + 1
        service_class = self.service_classes[name]
        self.requests[number] = RequestRecord(
            service_class=service_class,
            deadline=self.now + remaining_us,
            may_be_answered_late=remaining_us <= 2 * TICK_US,
            max_attempts=self.settings.limits.max_attempts,
            allow_hedging=self.settings.limits.allow_hedging,
            never_ran_outcomes=self.never_ran_outcomes,
            ordered_key=key if service_class.ordered_by_key else None,
        )
        self.play(RequestArrived(number, name, None, key, remaining_us))

    def end_attempt(self, choice: int, outcome: Outcome) -> None:
        pending = [
            (number, index)
            for number, request in self.requests.items()
            for index, each in enumerate(request.attempts)
            if each.pending
        ]
        if pending:
            self.end_pending_attempt(*pending[choice % len(pending)], outcome)

    def end_pending_attempt(self, number: int, index: int, outcome: Outcome) -> None:
        request = self.requests[number]
        attempt = request.attempts[index]
        attempt.pending, attempt.outcome, attempt.ended_at = False, outcome, self.now
        attempt.never_ran = outcome in request.never_ran_outcomes
        if outcome is Outcome.SUCCEEDED:
            request.completed = True
        elapsed_us = self.now - attempt.sent_at
        server = attempt.endpoint.name
        self.play(AttemptEnded(number, index, server, outcome, elapsed_us, request.completed))

    def end_health_check(self, outcome: Outcome, load: float | None) -> None:
        if self.health_checks:
            server, sent_at = self.health_checks.pop(0)
            report = None if load is None else {"inflight": load}
            self.play(HealthCheckEnded(server, outcome, self.now - sent_at, report))

    def disconnect_client(self, choice: int) -> None:
        waiting = [number for number, request in self.requests.items() if not request.completed]
        if waiting:
            number = waiting[choice % len(waiting)]
            self.requests[number].completed = True
            self.play(ClientDisconnected(number))

    def update_registry(self, kind: RegistryUpdateKind, endpoints: list[Endpoint]) -> None:
        if kind is not RegistryUpdateKind.DELTA:
            for endpoint in self.listed.values():
                endpoint.state = ServerState.REMOVED
        for endpoint in endpoints:
            self.listed[endpoint.name] = endpoint
        self.play(RegistryUpdated(kind, endpoints, 1))

    def wait(self, duration_us: int) -> None:
        until = self.now + duration_us
        while self.timers and min(self.timers)[0] <= until:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.play(TimerFired(due[1]))
            self.check_deadlines()
        self.now = until
        self.check_deadlines()

    def check_deadlines(self) -> None:
        for request in self.requests.values():
            assert request.completed or self.now < request.deadline, "no final response before the deadline"


endpoints = st.builds(
    Endpoint,
    name=st.sampled_from(SERVERS),
    zone=st.sampled_from(ZONES),
    kind=st.just("box"),
    cell=st.integers(0, 2),
    state=st.sampled_from([ServerState.READY, ServerState.READY, ServerState.DRAINING, ServerState.REMOVED]),
    capacity_weight=st.sampled_from([0.0, 1.0, 3.0]),
    started_at=st.sampled_from([None, START_US - 5 * SECOND_US, START_US, START_US + 2 * SECOND_US]),
)
arrivals = st.tuples(
    st.just("arrive"),
    st.sampled_from([str(each["name"]) for each in CLASSES]),
    st.integers(1, 2_500).map(lambda ms: ms * MILLISECOND_US),
    st.sampled_from(KEYS),
)
permissions = st.builds(
    Permissions,
    allow_hedging=st.booleans(),
    max_attempts=st.integers(0, 4),
    late_shedding=st.booleans(),
    ordered_classes=st.sets(st.sampled_from([str(each["name"]) for each in CLASSES])),
    allow_probes=st.booleans(),
)
steps = st.one_of(
    arrivals,
    arrivals,
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(list(Outcome))),
    st.tuples(st.just("end"), st.integers(0, 50), st.just(Outcome.SUCCEEDED)),
    st.tuples(
        st.just("health check"),
        st.sampled_from([Outcome.SUCCEEDED, Outcome.SUCCEEDED, Outcome.TIMED_OUT, Outcome.CONNECT_FAILED]),
        st.sampled_from([None, 0.0, 3.0, 50.0]),
    ),
    st.tuples(st.just("disconnect"), st.integers(0, 50)),
    st.tuples(st.just("change"), permissions),
    st.tuples(st.just("wait"), st.integers(1, 1_500).map(lambda ms: ms * MILLISECOND_US)),
    st.tuples(
        st.just("registry"),
        st.sampled_from([RegistryUpdateKind.DELTA, RegistryUpdateKind.SNAPSHOT, RegistryUpdateKind.FAILED]),
        st.lists(endpoints, max_size=5, unique_by=lambda each: each.name),
    ),
)


@hypothesis_settings(
    max_examples=250, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)
@given(permissions, st.integers(0, 1_000), st.lists(steps, min_size=5, max_size=60))
def test_no_event_sequence_breaks_an_invariant(
    initial: Permissions, rng_seed: int, script: list[Any]
) -> None:
    checker = InvariantChecker(initial, rng_seed)
    ready = [Endpoint(name, "east", "box", index % 3) for index, name in enumerate(SERVERS)]
    checker.update_registry(RegistryUpdateKind.CACHED, ready)
    for step in script:
        match step:
            case ("arrive", name, remaining, key):
                checker.arrive(name, remaining, key)
            case ("end", choice, outcome):
                checker.end_attempt(choice, outcome)
            case ("health check", outcome, load):
                checker.end_health_check(outcome, load)
            case ("change", changed):
                checker.change_permissions(changed)
            case ("disconnect", choice):
                checker.disconnect_client(choice)
            case ("wait", span):
                checker.wait(span)
            case ("registry", kind, changed):
                if kind is RegistryUpdateKind.FAILED:
                    checker.play(RegistryUpdated(kind))
                else:
                    checker.update_registry(kind, changed)
    checker.wait(4 * SECOND_US)
