"""Load balancing policies: the sidecar's Balancer, and baselines with the same interface."""

from __future__ import annotations

import dataclasses
import random
from dataclasses import dataclass, field
from typing import Protocol

from scale.callgraph.experiment import PolicyName
from sidecar.balancer.actions import Action, FailRequest, SendAttempt
from sidecar.balancer.balancer import Balancer
from sidecar.balancer.events import (
    AttemptEnded,
    Event,
    Outcome,
    RegistryUpdated,
    RegistryUpdateKind,
    RequestArrived,
    ServerState,
)
from sidecar.settings import Settings

_DEADLINE_MARGIN_TICKS = 2  # from the deadline of an attempt to the caller's deadline
_BASELINE_RETRIES = 2


class Policy(Protocol):
    """Turns events into actions."""

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle one event at `now`, in microseconds; return the actions in order."""


@dataclass(slots=True)
class _BaselineRequest:
    """A pending request of a baseline policy."""

    deadline: int
    attempted_servers: list[str] = field(default_factory=list)


class BaselinePolicy:
    """Picks the least loaded of a few random servers, and retries failures a fixed number of times."""

    def __init__(self, settings: Settings, seed: int, candidate_count: int, retries: int) -> None:
        self._random = random.Random(seed)
        self._deadline_margin_us = _DEADLINE_MARGIN_TICKS * settings.tick_us
        self._candidate_count = candidate_count
        self._max_attempts = 1 + retries
        self._in_flight: dict[str, int] = {}  # number of attempts in flight, by ready server
        self._requests: dict[int, _BaselineRequest] = {}

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle one event; other kinds of event are ignored."""
        match event:
            case RegistryUpdated():
                self._update_endpoints(event)
            case RequestArrived():
                request = _BaselineRequest(now + event.remaining_us - self._deadline_margin_us)
                self._requests[event.request] = request
                return self._send_or_fail(now, event.request, request)
            case AttemptEnded():
                return self._handle_attempt_ended(now, event)
        return []

    def _update_endpoints(self, event: RegistryUpdated) -> None:
        if event.kind is RegistryUpdateKind.SNAPSHOT:
            self._in_flight.clear()
        for endpoint in event.endpoints:
            if endpoint.state is ServerState.READY:
                self._in_flight.setdefault(endpoint.name, 0)

    def _send_or_fail(self, now: int, request_number: int, request: _BaselineRequest) -> list[Action]:
        untried = [name for name in self._in_flight if name not in request.attempted_servers]
        if not untried or len(request.attempted_servers) >= self._max_attempts or now >= request.deadline:
            del self._requests[request_number]
            return [FailRequest(request_number)]
        candidates = self._random.sample(untried, min(self._candidate_count, len(untried)))
        server = min(candidates, key=lambda name: self._in_flight[name])
        request.attempted_servers.append(server)
        self._in_flight[server] += 1
        return [SendAttempt(request_number, server, request.deadline)]

    def _handle_attempt_ended(self, now: int, event: AttemptEnded) -> list[Action]:
        self._in_flight[event.server] -= 1
        request = self._requests.get(event.request)
        if request is None:
            return []
        if event.outcome is Outcome.SUCCEEDED:
            del self._requests[event.request]
            return []
        return self._send_or_fail(now, event.request, request)


def make_policy(name: PolicyName, settings: Settings, seed: int) -> Policy:
    """Create the policy of one sidecar."""
    match name:
        case PolicyName.BALANCER:
            return Balancer(settings, seed)
        case PolicyName.BALANCER_ONE_ATTEMPT:
            limits = dataclasses.replace(settings.limits, max_attempts=1)
            return Balancer(dataclasses.replace(settings, limits=limits), seed)
        case PolicyName.NO_RETRY:
            return BaselinePolicy(settings, seed, candidate_count=2, retries=0)
        case PolicyName.FIXED_RETRIES:
            return BaselinePolicy(settings, seed, candidate_count=2, retries=_BASELINE_RETRIES)
        case PolicyName.RANDOM_CHOICE:
            return BaselinePolicy(settings, seed, candidate_count=1, retries=0)
