"""Records the decisions of a balancer over seeded random event sequences and digests them.

Two trees that decide alike print the same digests.  To compare a tree with another one, run this file with
PYTHONPATH naming each of them in turn:

    PYTHONPATH=<tree> python tests/decision_digest.py [events per setting]

An action enters the digest by its kind and its values, a log line by its kind alone: the names of types and
fields and the wording of logs do not matter.
"""

from __future__ import annotations

import hashlib
import heapq
import random
import sys
import time
from collections import Counter
from dataclasses import astuple, dataclass, field
from typing import get_args

from decision_scenarios import MILLISECOND_US, SCENARIOS, SECOND_US, Scenario

from sidecar import Balancer, Settings
from sidecar.balancer.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailRequest,
    Log,
    RejectRequest,
    SendAttempt,
    SetTimer,
    WatchRegistry,
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
    ResponseStarted,
    ServerState,
    TimerFired,
)

START = 50 * SECOND_US
# By position, as names may change.
ACTION_KINDS = {kind: number for number, kind in enumerate(get_args(Action))}
ZONES = ("east", "west", "north")
FAILURES = (Outcome.ERROR, Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.NOT_SENT)


@dataclass
class SentAttempt:
    """An attempt in flight; `until` is negative once it has ended."""

    server: str
    sent_at: int
    until: int


@dataclass
class SimulatedRequest:
    """A request as its client sees it."""

    answered: bool = False
    attempts: list[SentAttempt] = field(default_factory=list)


# Scheduled items of the simulated world: events, and items that depend on what happened until they are due.
@dataclass
class AttemptEnding:
    """An attempt ends when this is due."""

    request: int
    attempt: int
    outcome: Outcome


@dataclass
class ResponseStarting:
    """The response of an attempt starts when this is due."""

    request: int
    attempt: int


@dataclass
class WorldStep:
    """The next random step of the world: arrivals, changes of servers and stalls."""


class Recorder:
    """Simulates one scenario with one seed; `run` returns the digest of all actions."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._random = random.Random(f"{scenario.name} {seed}")
        self._balancer = Balancer(Settings.from_mapping(scenario.settings), seed)
        self._classes = [str(each["name"]) for each in scenario.settings["classes"]]
        self._target_us = int(scenario.settings["classes"][0]["latency_target_us"])
        self._digest = hashlib.sha256()
        self._now = START
        self._due: list[tuple[int, int, Event | AttemptEnding | ResponseStarting | WorldStep]] = []
        self._order = 0
        self._requests: dict[int, SimulatedRequest] = {}
        self._endpoints: dict[str, Endpoint] = {}
        self._speed: dict[str, float] = {}
        self._hung: set[str] = set()
        self._failing: set[str] = set()
        self._in_flight: Counter[str] = Counter()
        self._surge_until = 0
        self.events = 0
        self.handle_seconds = 0.0
        self.actions: Counter[str] = Counter()

    def run(self, events: int) -> str:
        """Simulate so many events and return the digest of the actions."""
        for number in range(self._scenario.servers):
            self._add_server(f"s{number}")
        names = list(self._endpoints)
        self._hung.update(names[: self._scenario.hung])
        self._failing.update(names[: self._scenario.failing])
        self._play(RegistryUpdated(RegistryUpdateKind.CACHED, list(self._endpoints.values()), 0))
        self._schedule(0, WorldStep())
        while self.events < events:
            due, _, what = heapq.heappop(self._due)
            self._now = max(self._now, due)
            match what:
                case AttemptEnding():
                    self._end(what)
                case ResponseStarting():
                    self._start(what)
                case WorldStep():
                    self._step()
                case RegistryUpdated():
                    self._refresh(what)
                case _:
                    self._play(what)
        return self._digest.hexdigest()

    def _schedule(self, wait_us: float, what: Event | AttemptEnding | ResponseStarting | WorldStep) -> None:
        self._order += 1
        heapq.heappush(self._due, (self._now + int(wait_us), self._order, what))

    def _play(self, event: Event) -> None:
        began = time.process_time()
        actions = self._balancer.handle(self._now, event)
        self.handle_seconds += time.process_time() - began
        self.events += 1
        for action in actions:
            self.actions[type(action).__name__] += 1
            values = () if isinstance(action, Log) else astuple(action)
            self._digest.update(f"{self._now} {ACTION_KINDS[type(action)]} {values!r}\n".encode())
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        match action:
            case SendAttempt():
                self._send(action)
            case RejectRequest() | FailRequest():
                self._requests[action.request].answered = True
            case CancelAttempt():
                self._schedule(
                    self._random.randrange(3 * MILLISECOND_US),
                    AttemptEnding(*_key(action), Outcome.CANCELLED),
                )
            case SetTimer():
                self._schedule(action.delay_us, TimerFired(action.token))
            case CheckHealth():
                self._probe(action.server)
            case WatchRegistry():
                failed = self._random.random() < 0.4
                kind = RegistryUpdateKind.FAILED if failed else RegistryUpdateKind.SNAPSHOT
                if self._random.random() < 0.8:
                    self._schedule(self._random.randrange(300 * MILLISECOND_US), RegistryUpdated(kind))
            case _:
                pass

    def _send(self, send: SendAttempt) -> None:
        request = self._requests[send.request]
        index = len(request.attempts)
        request.attempts.append(SentAttempt(send.server, self._now, send.deadline))
        self._in_flight[send.server] += 1
        chance = self._random.random()
        congestion = 1.0 + 0.15 * self._in_flight[send.server]
        took = (
            self._scenario.service_us
            * self._speed[send.server]
            * congestion
            * (0.4 + self._random.expovariate(1.0))
        )
        if send.server in self._hung or chance < 0.004:
            outcome, took = Outcome.TIMED_OUT, float(send.deadline - self._now)
        elif send.server in self._failing or chance < 0.03:
            outcome = self._random.choice(FAILURES)
            took *= 0.1
        elif took > send.deadline - self._now:
            outcome, took = Outcome.TIMED_OUT, float(send.deadline - self._now)
        else:
            outcome = Outcome.SUCCEEDED
            if chance > 0.9:
                self._schedule(0.7 * took, ResponseStarting(send.request, index))
        self._schedule(took, AttemptEnding(send.request, index, outcome))

    def _end(self, ending: AttemptEnding) -> None:
        request = self._requests[ending.request]
        attempt = request.attempts[ending.attempt]
        if attempt.until < 0:
            return
        attempt.until = -1
        self._in_flight[attempt.server] -= 1
        if ending.outcome is Outcome.SUCCEEDED:
            request.answered = True
        elapsed = self._now - attempt.sent_at
        report = None
        if self._scenario.reports and self._random.random() < 0.9:
            report = {"util": round(0.2 + 0.1 * self._in_flight[attempt.server] * self._random.random(), 3)}
        self._play(
            AttemptEnded(
                ending.request,
                ending.attempt,
                attempt.server,
                ending.outcome,
                elapsed,
                request.answered,
                report,
            )
        )

    def _start(self, starting: ResponseStarting) -> None:
        request = self._requests[starting.request]
        attempt = request.attempts[starting.attempt]
        if attempt.until >= 0 and not request.answered:
            elapsed = self._now - attempt.sent_at
            self._play(ResponseStarted(starting.request, starting.attempt, attempt.server, elapsed))

    def _probe(self, server: str) -> None:
        took = self._random.randrange(1, 6 * MILLISECOND_US)
        if server in self._hung or self._random.random() < 0.03:
            self._schedule(
                took + 300 * MILLISECOND_US,
                HealthCheckEnded(server, Outcome.TIMED_OUT, took + 300 * MILLISECOND_US),
            )
            return
        load = float(self._in_flight[server] + self._random.randrange(6))
        report = None if self._random.random() < 0.05 else {"inflight": load}
        self._schedule(took, HealthCheckEnded(server, Outcome.SUCCEEDED, took, report))

    def _refresh(self, update: RegistryUpdated) -> None:
        if update.kind is RegistryUpdateKind.SNAPSHOT:
            update.endpoints = [each for each in self._endpoints.values() if self._random.random() < 0.98]
        self._play(update)

    def _step(self) -> None:
        """Take one random step and schedule the next."""
        chance = self._random.random()
        surging = self._now < self._surge_until
        if chance < 0.015:
            self._change_servers()
        elif chance < 0.019:
            self._now += int(self._target_us * self._random.choice((0.2, 0.6, 2.0)))  # the balancer stalls
            for _ in range(self._random.randrange(6)):
                self._arrive()
        elif chance < 0.024:
            self._surge_until = self._now + 6 * self._target_us
        elif chance < 0.034:
            for _ in range(self._random.randrange(2, 25)):
                self._arrive()
        elif chance < 0.05:
            self._disconnect_client()
        else:
            self._arrive()
        self._schedule(
            self._random.expovariate((4.0 if surging else 1.0) / self._scenario.every_us), WorldStep()
        )

    def _arrive(self) -> None:
        number = len(self._requests) + 1
        self._requests[number] = SimulatedRequest()
        name = self._random.choice(self._classes) if self._random.random() < 0.99 else "unheard-of"
        cost = self._random.choice(
            (None, 2 * MILLISECOND_US, 10 * MILLISECOND_US, 10 * MILLISECOND_US, 80 * MILLISECOND_US)
        )
        key = self._random.choice((None, 1, 2, 3, self._random.randrange(1_000)))
        remaining = int(self._target_us * self._random.choice((0.02, 0.6, 1.5, 3.0, 4.0, 4.0)))
        tenant = self._random.choice(self._scenario.tenants)
        self._play(RequestArrived(number, name, tenant, key, remaining, cost))

    def _disconnect_client(self) -> None:
        number = self._random.randrange(max(len(self._requests) - 40, 0), len(self._requests) + 1)
        request = self._requests.get(number)
        if request is not None and not request.answered:
            request.answered = True
            self._play(ClientDisconnected(number))

    def _change_servers(self) -> None:
        name = self._random.choice(list(self._endpoints))
        endpoint = self._endpoints[name]
        match self._random.randrange(9):
            case 0:
                self._hung ^= {name}
            case 1:
                self._failing ^= {name}
            case 2:
                self._speed[name] = self._random.choice((0.3, 1.0, 1.0, 5.0))
            case 3 | 4:
                state = self._random.choice((ServerState.READY, ServerState.DRAINING, ServerState.REMOVED))
                self._endpoints[name] = self._listed(name, state, endpoint.started_at)
            case 5 | 6:
                self._endpoints[name] = self._listed(name, ServerState.READY, self._now - 2 * MILLISECOND_US)
                self._hung.discard(name)
                self._failing.discard(name)
            case 7:
                self._add_server(f"n{self._now}")
            case _:
                self._hung.clear()
                self._failing.clear()
        changed = [self._endpoints[name], self._endpoints[self._random.choice(list(self._endpoints))]]
        if self._random.random() < 0.3:
            self._refresh(RegistryUpdated(RegistryUpdateKind.SNAPSHOT, (), self.events))
        elif self._random.random() < 0.15:
            self._play(RegistryUpdated(RegistryUpdateKind.FAILED))
        else:
            self._play(RegistryUpdated(RegistryUpdateKind.DELTA, changed, self.events))

    def _add_server(self, name: str) -> None:
        self._endpoints[name] = self._listed(name, ServerState.READY, None)
        self._speed[name] = self._random.choice((0.7, 1.0, 1.0, 1.3, 3.0))

    def _listed(self, name: str, state: ServerState, started_at: int | None) -> Endpoint:
        number = sum(name.encode())
        nominal = (1.0, 1.0, 2.0, 0.0)[number % 4]
        return Endpoint(name, ZONES[number % 3], "box", number % 2, state, nominal, started_at)


def _key(action: CancelAttempt) -> tuple[int, int]:
    return action.request, action.attempt


def main() -> None:
    """Print, for each setting, the digest and the counts of actions; then the events per CPU second."""
    events = int(sys.argv[1]) if len(sys.argv) > 1 else 4_000
    total, seconds = 0, 0.0
    for scenario in SCENARIOS:
        recorder = Recorder(scenario, seed=11)
        digest = recorder.run(events)
        total += recorder.events
        seconds += recorder.handle_seconds
        print(scenario.name, digest, dict(sorted(recorder.actions.items())))
    print(f"{total} events, {total / seconds:.0f} a second of CPU time", file=sys.stderr)


if __name__ == "__main__":
    main()
