"""Records the decisions of a balancer over seeded random event sequences and digests them.

Two trees that decide alike print the same digests.  To compare a tree with another one, run this file with
PYTHONPATH naming each of them in turn:

    PYTHONPATH=<tree> python tests/decision_digest.py [events per setting]
"""

from __future__ import annotations

import hashlib
import heapq
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

from decision_scenarios import MS, SCENARIOS, S, Scenario

from topazbank import Balancer, Settings
from topazbank.interface import (
    Action,
    AnswerStarted,
    AttemptEnded,
    Cancel,
    Endpoint,
    Event,
    Fail,
    Outcome,
    Probe,
    ProbeEnded,
    Refuse,
    RegistryUpdated,
    RegistryUpdateKind,
    RequestArrived,
    RequestGone,
    Send,
    ServerState,
    SetTimer,
    TimerFired,
    WatchRegistry,
)

START = 50 * S
ZONES = ("east", "west", "north")
FAILURES = (Outcome.ERROR, Outcome.FULL, Outcome.DIAL_FAILED, Outcome.DROPPED, Outcome.UNSENT)


@dataclass
class SentAttempt:
    """An attempt that the world has not ended yet."""

    server: str
    sent_at: int
    until: int


@dataclass
class WorldRequest:
    """A request as its client sees it."""

    answered: bool = False
    attempts: list[SentAttempt] = field(default_factory=list)


# What falls due in the world: an event as it is, or one that depends on what happened until then.
@dataclass
class Ending:
    """An attempt is to end."""

    request: int
    attempt: int
    outcome: Outcome


@dataclass
class Starting:
    """The answer of an attempt is to begin."""

    request: int
    attempt: int


@dataclass
class Step:
    """The next random step of the world: arrivals, changes of servers, stalls."""


class Recorder:
    """Plays one scenario with one seed; `run` gives the digest of all actions."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._random = random.Random(f"{scenario.name} {seed}")
        self._balancer = Balancer(Settings.from_mapping(scenario.settings), seed)
        self._classes = [str(each["name"]) for each in scenario.settings["classes"]]
        self._target_us = int(scenario.settings["classes"][0]["latency_target_us"])
        self._digest = hashlib.sha256()
        self._now = START
        self._due: list[tuple[int, int, Event | Ending | Starting | Step]] = []
        self._order = 0
        self._requests: dict[int, WorldRequest] = {}
        self._endpoints: dict[str, Endpoint] = {}
        self._speed: dict[str, float] = {}
        self._hung: set[str] = set()
        self._failing: set[str] = set()
        self._holds: Counter[str] = Counter()
        self._surge_until = 0
        self.events = 0
        self.handle_seconds = 0.0
        self.actions: Counter[str] = Counter()

    def run(self, events: int) -> str:
        """Play so many events and give the digest of the actions."""
        for number in range(self._scenario.servers):
            self._add_server(f"s{number}")
        names = list(self._endpoints)
        self._hung.update(names[: self._scenario.hung])
        self._failing.update(names[: self._scenario.failing])
        self._play(RegistryUpdated(RegistryUpdateKind.CACHED, list(self._endpoints.values()), 0))
        self._later(0, Step())
        while self.events < events:
            due, _, what = heapq.heappop(self._due)
            self._now = max(self._now, due)
            match what:
                case Ending():
                    self._end(what)
                case Starting():
                    self._start(what)
                case Step():
                    self._step()
                case RegistryUpdated():
                    self._refresh(what)
                case _:
                    self._play(what)
        return self._digest.hexdigest()

    def _later(self, wait_us: float, what: Event | Ending | Starting | Step) -> None:
        self._order += 1
        heapq.heappush(self._due, (self._now + int(wait_us), self._order, what))

    def _play(self, event: Event) -> None:
        began = time.process_time()
        actions = self._balancer.handle(self._now, event)
        self.handle_seconds += time.process_time() - began
        self.events += 1
        for action in actions:
            self.actions[type(action).__name__] += 1
            self._digest.update(f"{self._now} {action!r}\n".encode())
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        match action:
            case Send():
                self._send(action)
            case Refuse() | Fail():
                self._requests[action.request].answered = True
            case Cancel():
                self._later(self._random.randrange(3 * MS), Ending(*_key(action), Outcome.CANCELLED))
            case SetTimer():
                self._later(action.in_us, TimerFired(action.token))
            case Probe():
                self._probe(action.server)
            case WatchRegistry():
                failed = self._random.random() < 0.4
                kind = RegistryUpdateKind.FAILED if failed else RegistryUpdateKind.SNAPSHOT
                if self._random.random() < 0.8:
                    self._later(self._random.randrange(300 * MS), RegistryUpdated(kind))
            case _:
                pass

    def _send(self, send: Send) -> None:
        request = self._requests[send.request]
        index = len(request.attempts)
        request.attempts.append(SentAttempt(send.server, self._now, send.until))
        self._holds[send.server] += 1
        chance = self._random.random()
        crowd = 1.0 + 0.15 * self._holds[send.server]
        took = (
            self._scenario.service_us
            * self._speed[send.server]
            * crowd
            * (0.4 + self._random.expovariate(1.0))
        )
        if send.server in self._hung or chance < 0.004:
            outcome, took = Outcome.EXPIRED, float(send.until - self._now)
        elif send.server in self._failing or chance < 0.03:
            outcome = self._random.choice(FAILURES)
            took *= 0.1
        elif took > send.until - self._now:
            outcome, took = Outcome.EXPIRED, float(send.until - self._now)
        else:
            outcome = Outcome.DELIVERED
            if chance > 0.9:
                self._later(0.7 * took, Starting(send.request, index))
        self._later(took, Ending(send.request, index, outcome))

    def _end(self, ending: Ending) -> None:
        request = self._requests[ending.request]
        attempt = request.attempts[ending.attempt]
        if attempt.until < 0:
            return
        attempt.until = -1
        self._holds[attempt.server] -= 1
        if ending.outcome is Outcome.DELIVERED:
            request.answered = True
        elapsed = self._now - attempt.sent_at
        report = None
        if self._scenario.reports and self._random.random() < 0.9:
            report = {"util": round(0.2 + 0.1 * self._holds[attempt.server] * self._random.random(), 3)}
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

    def _start(self, starting: Starting) -> None:
        request = self._requests[starting.request]
        attempt = request.attempts[starting.attempt]
        if attempt.until >= 0 and not request.answered:
            elapsed = self._now - attempt.sent_at
            self._play(AnswerStarted(starting.request, starting.attempt, attempt.server, elapsed))

    def _probe(self, server: str) -> None:
        took = self._random.randrange(1, 6 * MS)
        if server in self._hung or self._random.random() < 0.03:
            self._later(took + 300 * MS, ProbeEnded(server, Outcome.EXPIRED, took + 300 * MS))
            return
        held = float(self._holds[server] + self._random.randrange(6))
        report = None if self._random.random() < 0.05 else {"inflight": held}
        self._later(took, ProbeEnded(server, Outcome.DELIVERED, took, report))

    def _refresh(self, update: RegistryUpdated) -> None:
        if update.kind is RegistryUpdateKind.SNAPSHOT:
            update.servers = [each for each in self._endpoints.values() if self._random.random() < 0.98]
        self._play(update)

    def _step(self) -> None:
        """One random step, and the time of the next."""
        chance = self._random.random()
        busy = self._now < self._surge_until
        if chance < 0.015:
            self._change_servers()
        elif chance < 0.019:
            self._now += int(self._target_us * self._random.choice((0.2, 0.6, 2.0)))  # all that is due waits
            for _ in range(self._random.randrange(6)):
                self._arrive()
        elif chance < 0.024:
            self._surge_until = self._now + 6 * self._target_us
        elif chance < 0.034:
            for _ in range(self._random.randrange(2, 25)):
                self._arrive()
        elif chance < 0.05:
            self._leave()
        else:
            self._arrive()
        self._later(self._random.expovariate((4.0 if busy else 1.0) / self._scenario.every_us), Step())

    def _arrive(self) -> None:
        number = len(self._requests) + 1
        self._requests[number] = WorldRequest()
        name = self._random.choice(self._classes) if self._random.random() < 0.99 else "unheard-of"
        cost = self._random.choice((None, 2 * MS, 10 * MS, 10 * MS, 80 * MS))
        key = self._random.choice((None, 1, 2, 3, self._random.randrange(1_000)))
        remaining = int(self._target_us * self._random.choice((0.02, 0.6, 1.5, 3.0, 4.0, 4.0)))
        tenant = self._random.choice(self._scenario.tenants)
        self._play(RequestArrived(number, name, tenant, key, remaining, cost))

    def _leave(self) -> None:
        number = self._random.randrange(max(len(self._requests) - 40, 0), len(self._requests) + 1)
        request = self._requests.get(number)
        if request is not None and not request.answered:
            request.answered = True
            self._play(RequestGone(number))

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
                state = self._random.choice((ServerState.READY, ServerState.DRAINING, ServerState.GONE))
                self._endpoints[name] = self._listed(name, state, endpoint.started_at)
            case 5 | 6:
                self._endpoints[name] = self._listed(name, ServerState.READY, self._now - 2 * MS)
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


def _key(action: Cancel) -> tuple[int, int]:
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
