"""A harness that passes scripted events to a balancer and records its actions."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, TypeVar

from sidecar import Balancer, Settings
from sidecar.balancer.actions import Action, SendAttempt, SetTimer
from sidecar.balancer.events import (
    AttemptEnded,
    Endpoint,
    Event,
    Outcome,
    RegistryUpdated,
    RegistryUpdateKind,
    RequestArrived,
    ServerState,
    TimerFired,
)

MILLISECOND_US = 1_000
SECOND_US = 1_000_000
START_US = 50 * SECOND_US

SAFE = {
    "name": "look",
    "deadline_us": 2 * SECOND_US,
    "latency_target_us": 500 * MILLISECOND_US,
    "priority_weight": 1,
    "idempotency": "safe",
}
UNSAFE = {
    "name": "pay",
    "deadline_us": 2 * SECOND_US,
    "latency_target_us": 500 * MILLISECOND_US,
    "priority_weight": 10,
    "idempotency": "unsafe",
}
KEYED = {
    "name": "amend",
    "deadline_us": 4 * SECOND_US,
    "latency_target_us": 500 * MILLISECOND_US,
    "priority_weight": 3,
    "idempotency": "keyed",
    "dedup_scope": "cell",
    "dedup_window_us": 2 * SECOND_US,
}

_ActionType = TypeVar("_ActionType")


def settings(**changes: Any) -> Settings:
    """Permissive settings with changes: `limits` and `rules` are merged, other settings are replaced."""
    mapping: dict[str, Any] = {
        "classes": [SAFE, UNSAFE, KEYED],
        "zone": "east",
        "tick_us": 5 * MILLISECOND_US,
        "limits": {"max_attempts": 5, "allow_hedging": True, "allow_cancel": True},
        "rules": {
            "slow_start_from": 0.2,
            "slow_start_us": 10 * SECOND_US,
            "drain_grace_us": 500 * MILLISECOND_US,
            "overload_multiple": 3,
            "overload_window_us": 2 * SECOND_US,
            "max_poll_interval_us": 10 * SECOND_US,
        },
    }
    for key, value in changes.items():
        mapping[key] = {**mapping[key], **value} if isinstance(mapping.get(key), dict) else value
    return Settings.from_mapping(mapping)


def server_names(count: int) -> list[str]:
    return [f"10.0.0.{number}:80" for number in range(1, count + 1)]


class BalancerHarness:
    """Passes events to one balancer and records its actions; due timers fire as the time advances."""

    def __init__(self, initial_settings: Settings | None = None, seed: int = 7, now: int = START_US) -> None:
        self.now = now
        self.balancer = Balancer(initial_settings or settings(), seed)
        self.action_log: list[tuple[int, Action]] = []
        self._timers: list[tuple[int, str]] = []
        self._next_request_id = 1

    def handle(self, event: Event) -> list[Action]:
        """Pass an event to the balancer and return its actions."""
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self.action_log.append((self.now, action))
            if isinstance(action, SetTimer):
                self._timers.append((self.now + action.delay_us, action.token))
        return actions

    def update_servers(
        self, endpoints: Iterable[str | Endpoint], kind: RegistryUpdateKind = RegistryUpdateKind.SNAPSHOT
    ) -> list[Action]:
        """Apply a registry update; endpoints given by name alone are ready servers in the local zone."""
        updated = [Endpoint(each, zone="east") if isinstance(each, str) else each for each in endpoints]
        return self.handle(RegistryUpdated(kind, updated, 1))

    def drain(self, server: str, state: ServerState = ServerState.DRAINING) -> list[Action]:
        """List one server as draining, or as removed, in a delta of the registry."""
        return self.update_servers([Endpoint(server, zone="east", state=state)], RegistryUpdateKind.DELTA)

    def send_request(
        self,
        name: str = "look",
        remaining_us: int = 2 * SECOND_US,
        cost_us: int | None = None,
        key: int | None = None,
        tenant: str | None = None,
    ) -> int:
        """Let a request of the named class arrive and return its number."""
        request_id = self._next_request_id
        self._next_request_id += 1
        self.handle(RequestArrived(request_id, name, tenant, key, remaining_us, cost_us))
        return request_id

    def end_attempt(
        self,
        request: int,
        outcome: Outcome = Outcome.SUCCEEDED,
        attempt: int | None = None,
        answered: bool | None = None,
        report: dict[str, float] | None = None,
    ) -> list[Action]:
        """End an attempt of a request, by default its last one; a success also answers the client."""
        attempts = self.attempts(request)
        index = len(attempts) - 1 if attempt is None else attempt
        sent_at, sent = attempts[index]
        is_answered = outcome is Outcome.SUCCEEDED if answered is None else answered
        elapsed_us = self.now - sent_at
        return self.handle(
            AttemptEnded(request, index, sent.server, outcome, elapsed_us, is_answered, report)
        )

    def advance(self, duration_us: int) -> None:
        """Advance the time; timers fire when they are due."""
        end = self.now + duration_us
        while True:
            due = sorted(each for each in self._timers if each[0] <= end)
            if not due:
                break
            self._timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            self.handle(TimerFired(due[0][1]))
        self.now = end

    def attempts(self, request: int | None = None) -> list[tuple[int, SendAttempt]]:
        """The attempts of one request, or of all, each with the time at which it was sent."""
        return [
            (at, each)
            for at, each in self.action_log
            if isinstance(each, SendAttempt) and (request is None or each.request == request)
        ]

    def server_of(self, request: int) -> str:
        """The server of the last attempt of a request."""
        return self.attempts(request)[-1][1].server

    def actions_of(self, action_type: type[_ActionType]) -> list[_ActionType]:
        """The recorded actions of one type."""
        return [each for _, each in self.action_log if isinstance(each, action_type)]

    def serve_requests(
        self,
        count: int,
        interval_us: int = 20 * MILLISECOND_US,
        service_time_us: int = 50 * MILLISECOND_US,
        name: str = "look",
    ) -> None:
        """Send requests at a fixed interval, each of which succeeds after the same service time."""
        pending: list[tuple[int, int]] = []
        for _ in range(count):
            self.advance(interval_us)
            pending.append((self.now + service_time_us, self.send_request(name)))
            while pending and pending[0][0] <= self.now:
                ended = pending.pop(0)[1]
                if self.attempts(ended):
                    self.end_attempt(ended)
        for _, ended in pending:
            self.advance(interval_us)
            if self.attempts(ended):
                self.end_attempt(ended)
