"""Records the decisions of a balancer over seeded random event sequences and digests them.

Source trees whose balancers make the same decisions print the same digests.  To compare two trees, run this
file once with each of them as PYTHONPATH:

    PYTHONPATH=<tree> python tests/decision_digest.py [events per scenario]

The digest covers the kind and the values of each action, and only the kind of a log line.  The names of types
and fields and the wording of logs have no effect on it.
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

START_US = 50 * SECOND_US
# Numbered by position, as the names of types may change.
ACTION_KINDS = {kind: number for number, kind in enumerate(get_args(Action))}
ZONES = ("east", "west", "north")
FAILURES = (Outcome.ERROR, Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.NOT_SENT)


@dataclass
class SentAttempt:
    """An attempt; `deadline` is negative once it has ended."""

    server: str
    sent_at: int
    deadline: int


@dataclass
class SimulatedRequest:
    """A request as its client sees it."""

    answered: bool = False
    attempts: list[SentAttempt] = field(default_factory=list)


# Scheduled items of the simulation other than events; their effect depends on the state when they are due.
@dataclass
class AttemptEndDue:
    """An attempt ends, unless it has ended before."""

    request: int
    attempt: int
    outcome: Outcome


@dataclass
class ResponseStartDue:
    """The response of an attempt starts, unless the attempt has ended or its request was answered."""

    request: int
    attempt: int


@dataclass
class RandomStep:
    """The next random step: mostly an arrival, sometimes a burst, a stall or a change of servers."""


class Recorder:
    """Simulates one scenario with one seed and digests all actions of the balancer.

    Attributes:
        event_count: The number of events handled so far.
        handle_cpu_s: The CPU time that the balancer took to handle them, in seconds.
        action_counts: The number of actions so far, by type name.
    """

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._rng = random.Random(f"{scenario.name} {seed}")
        self._balancer = Balancer(Settings.from_mapping(scenario.settings), seed)
        self._class_names = [str(each["name"]) for each in scenario.settings["classes"]]
        self._latency_target_us = int(scenario.settings["classes"][0]["latency_target_us"])
        self._digest = hashlib.sha256()
        self._now = START_US
        self._scheduled: list[tuple[int, int, Event | AttemptEndDue | ResponseStartDue | RandomStep]] = []
        self._schedule_count = 0
        self._requests: dict[int, SimulatedRequest] = {}
        self._endpoints: dict[str, Endpoint] = {}
        self._service_time_factors: dict[str, float] = {}
        self._hung_servers: set[str] = set()
        self._failing_servers: set[str] = set()
        self._in_flight: Counter[str] = Counter()
        self._surge_ends_at = 0
        self.event_count = 0
        self.handle_cpu_s = 0.0
        self.action_counts: Counter[str] = Counter()

    def run(self, event_count: int) -> str:
        """Simulate at least this number of events and return the digest of the actions."""
        for number in range(self._scenario.server_count):
            self._add_server(f"s{number}")
        names = list(self._endpoints)
        self._hung_servers.update(names[: self._scenario.hung_servers])
        self._failing_servers.update(names[: self._scenario.failing_servers])
        self._handle(RegistryUpdated(RegistryUpdateKind.CACHED, list(self._endpoints.values()), 0))
        self._schedule(0, RandomStep())
        while self.event_count < event_count:
            due, _, item = heapq.heappop(self._scheduled)
            self._now = max(self._now, due)
            match item:
                case AttemptEndDue():
                    self._end_attempt(item)
                case ResponseStartDue():
                    self._start_response(item)
                case RandomStep():
                    self._take_random_step()
                case RegistryUpdated():
                    self._update_registry(item)
                case _:
                    self._handle(item)
        return self._digest.hexdigest()

    def _schedule(self, delay_us: float, item: Event | AttemptEndDue | ResponseStartDue | RandomStep) -> None:
        self._schedule_count += 1
        heapq.heappush(self._scheduled, (self._now + int(delay_us), self._schedule_count, item))

    def _handle(self, event: Event) -> None:
        started_at = time.process_time()
        actions = self._balancer.handle(self._now, event)
        self.handle_cpu_s += time.process_time() - started_at
        self.event_count += 1
        for action in actions:
            self.action_counts[type(action).__name__] += 1
            values = () if isinstance(action, Log) else astuple(action)
            self._digest.update(f"{self._now} {ACTION_KINDS[type(action)]} {values!r}\n".encode())
            self._execute(action)

    def _execute(self, action: Action) -> None:
        match action:
            case SendAttempt():
                self._start_attempt(action)
            case RejectRequest() | FailRequest():
                self._requests[action.request].answered = True
            case CancelAttempt():
                self._schedule(
                    self._rng.randrange(3 * MILLISECOND_US),
                    AttemptEndDue(*_attempt_key(action), Outcome.CANCELLED),
                )
            case SetTimer():
                self._schedule(action.delay_us, TimerFired(action.token))
            case CheckHealth():
                self._check_health(action.server)
            case WatchRegistry():
                has_failed = self._rng.random() < 0.4
                kind = RegistryUpdateKind.FAILED if has_failed else RegistryUpdateKind.SNAPSHOT
                if self._rng.random() < 0.8:
                    self._schedule(self._rng.randrange(300 * MILLISECOND_US), RegistryUpdated(kind))
            case _:
                pass

    def _start_attempt(self, send: SendAttempt) -> None:
        request = self._requests[send.request]
        index = len(request.attempts)
        request.attempts.append(SentAttempt(send.server, self._now, send.deadline))
        self._in_flight[send.server] += 1
        chance = self._rng.random()
        congestion = 1.0 + 0.15 * self._in_flight[send.server]
        duration_us = (
            self._scenario.service_time_us
            * self._service_time_factors[send.server]
            * congestion
            * (0.4 + self._rng.expovariate(1.0))
        )
        if send.server in self._hung_servers or chance < 0.004:
            outcome, duration_us = Outcome.TIMED_OUT, float(send.deadline - self._now)
        elif send.server in self._failing_servers or chance < 0.03:
            outcome = self._rng.choice(FAILURES)
            duration_us *= 0.1
        elif duration_us > send.deadline - self._now:
            outcome, duration_us = Outcome.TIMED_OUT, float(send.deadline - self._now)
        else:
            outcome = Outcome.SUCCEEDED
            if chance > 0.9:
                self._schedule(0.7 * duration_us, ResponseStartDue(send.request, index))
        self._schedule(duration_us, AttemptEndDue(send.request, index, outcome))

    def _end_attempt(self, ending: AttemptEndDue) -> None:
        request = self._requests[ending.request]
        attempt = request.attempts[ending.attempt]
        if attempt.deadline < 0:
            return
        attempt.deadline = -1
        self._in_flight[attempt.server] -= 1
        if ending.outcome is Outcome.SUCCEEDED:
            request.answered = True
        elapsed_us = self._now - attempt.sent_at
        report = None
        if self._scenario.has_load_reports and self._rng.random() < 0.9:
            report = {"util": round(0.2 + 0.1 * self._in_flight[attempt.server] * self._rng.random(), 3)}
        self._handle(
            AttemptEnded(
                ending.request,
                ending.attempt,
                attempt.server,
                ending.outcome,
                elapsed_us,
                request.answered,
                report,
            )
        )

    def _start_response(self, starting: ResponseStartDue) -> None:
        request = self._requests[starting.request]
        attempt = request.attempts[starting.attempt]
        if attempt.deadline >= 0 and not request.answered:
            elapsed_us = self._now - attempt.sent_at
            self._handle(ResponseStarted(starting.request, starting.attempt, attempt.server, elapsed_us))

    def _check_health(self, server: str) -> None:
        duration_us = self._rng.randrange(1, 6 * MILLISECOND_US)
        if server in self._hung_servers or self._rng.random() < 0.03:
            self._schedule(
                duration_us + 300 * MILLISECOND_US,
                HealthCheckEnded(server, Outcome.TIMED_OUT, duration_us + 300 * MILLISECOND_US),
            )
            return
        load = float(self._in_flight[server] + self._rng.randrange(6))
        report = None if self._rng.random() < 0.05 else {"inflight": load}
        self._schedule(duration_us, HealthCheckEnded(server, Outcome.SUCCEEDED, duration_us, report))

    def _update_registry(self, update: RegistryUpdated) -> None:
        if update.kind is RegistryUpdateKind.SNAPSHOT:
            update.endpoints = [each for each in self._endpoints.values() if self._rng.random() < 0.98]
        self._handle(update)

    def _take_random_step(self) -> None:
        """Take one random step and schedule the next."""
        chance = self._rng.random()
        is_surging = self._now < self._surge_ends_at
        if chance < 0.015:
            self._change_servers()
        elif chance < 0.019:
            self._now += int(
                self._latency_target_us * self._rng.choice((0.2, 0.6, 2.0))
            )  # the balancer stalls
            for _ in range(self._rng.randrange(6)):
                self._send_request()
        elif chance < 0.024:
            self._surge_ends_at = self._now + 6 * self._latency_target_us
        elif chance < 0.034:
            for _ in range(self._rng.randrange(2, 25)):
                self._send_request()
        elif chance < 0.05:
            self._disconnect_client()
        else:
            self._send_request()
        self._schedule(
            self._rng.expovariate((4.0 if is_surging else 1.0) / self._scenario.arrival_interval_us),
            RandomStep(),
        )

    def _send_request(self) -> None:
        number = len(self._requests) + 1
        self._requests[number] = SimulatedRequest()
        name = self._rng.choice(self._class_names) if self._rng.random() < 0.99 else "unheard-of"
        cost_us = self._rng.choice(
            (None, 2 * MILLISECOND_US, 10 * MILLISECOND_US, 10 * MILLISECOND_US, 80 * MILLISECOND_US)
        )
        key = self._rng.choice((None, 1, 2, 3, self._rng.randrange(1_000)))
        remaining_us = int(self._latency_target_us * self._rng.choice((0.02, 0.6, 1.5, 3.0, 4.0, 4.0)))
        tenant = self._rng.choice(self._scenario.tenants)
        self._handle(RequestArrived(number, name, tenant, key, remaining_us, cost_us))

    def _disconnect_client(self) -> None:
        number = self._rng.randrange(max(len(self._requests) - 40, 0), len(self._requests) + 1)
        request = self._requests.get(number)
        if request is not None and not request.answered:
            request.answered = True
            self._handle(ClientDisconnected(number))

    def _change_servers(self) -> None:
        name = self._rng.choice(list(self._endpoints))
        endpoint = self._endpoints[name]
        match self._rng.randrange(9):
            case 0:
                self._hung_servers ^= {name}
            case 1:
                self._failing_servers ^= {name}
            case 2:
                self._service_time_factors[name] = self._rng.choice((0.3, 1.0, 1.0, 5.0))
            case 3 | 4:
                state = self._rng.choice((ServerState.READY, ServerState.DRAINING, ServerState.REMOVED))
                self._endpoints[name] = self._endpoint(name, state, endpoint.started_at)
            case 5 | 6:
                self._endpoints[name] = self._endpoint(
                    name, ServerState.READY, self._now - 2 * MILLISECOND_US
                )
                self._hung_servers.discard(name)
                self._failing_servers.discard(name)
            case 7:
                self._add_server(f"n{self._now}")
            case _:
                self._hung_servers.clear()
                self._failing_servers.clear()
        changed = [self._endpoints[name], self._endpoints[self._rng.choice(list(self._endpoints))]]
        if self._rng.random() < 0.3:
            self._update_registry(RegistryUpdated(RegistryUpdateKind.SNAPSHOT, (), self.event_count))
        elif self._rng.random() < 0.15:
            self._handle(RegistryUpdated(RegistryUpdateKind.FAILED))
        else:
            self._handle(RegistryUpdated(RegistryUpdateKind.DELTA, changed, self.event_count))

    def _add_server(self, name: str) -> None:
        self._endpoints[name] = self._endpoint(name, ServerState.READY, None)
        self._service_time_factors[name] = self._rng.choice((0.7, 1.0, 1.0, 1.3, 3.0))

    def _endpoint(self, name: str, state: ServerState, started_at: int | None) -> Endpoint:
        number = sum(name.encode())
        capacity_weight = (1.0, 1.0, 2.0, 0.0)[number % 4]
        return Endpoint(name, ZONES[number % 3], "box", number % 2, state, capacity_weight, started_at)


def _attempt_key(action: CancelAttempt) -> tuple[int, int]:
    return action.request, action.attempt


def main() -> None:
    """Print the digest and the counts of actions of each scenario, then the events per second of CPU time."""
    events = int(sys.argv[1]) if len(sys.argv) > 1 else 4_000
    total_events, cpu_seconds = 0, 0.0
    for scenario in SCENARIOS:
        recorder = Recorder(scenario, seed=11)
        digest = recorder.run(events)
        total_events += recorder.event_count
        cpu_seconds += recorder.handle_cpu_s
        print(scenario.name, digest, dict(sorted(recorder.action_counts.items())))
    print(f"{total_events} events, {total_events / cpu_seconds:.0f} per second of CPU time", file=sys.stderr)


if __name__ == "__main__":
    main()
