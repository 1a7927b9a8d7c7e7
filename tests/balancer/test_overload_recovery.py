"""How soon a fleet of balancers with little traffic each admits the full capacity of its servers again.

The invariants, with latency targets and deadlines of any length: while servers hang, each balancer that gets
enough requests to be governed by its concurrency limit sends an attempt within two targets of the one before;
four targets after the fault ends, at least nine in ten requests are admitted and answered in time.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field

import pytest
from balancer_harness import MILLISECOND_US, START_US, server_names

from sidecar import Balancer, Settings
from sidecar.balancer.actions import Action, FailRequest, RejectRequest, SendAttempt, SetTimer
from sidecar.balancer.events import (
    AttemptEnded,
    Endpoint,
    Event,
    Outcome,
    RegistryUpdated,
    RegistryUpdateKind,
    RequestArrived,
    TimerFired,
)

SERVERS = 12
CORES = 4
LOAD = 0.6  # of the capacity of the servers
WORK_TARGETS = 0.04  # mean service time, in latency targets
WARM_UP_TARGETS = 6.0
FAULT_TARGETS = 6.0
LONG_FAULT_TARGETS = 12.0
MAX_SEND_GAP_TARGETS = 2.0  # by each balancer, also while servers hang
RECOVERY_TARGETS = 4.0  # from the end of the fault until the capacity is used again
MEASURED_TARGETS = 3.0
SLOWDOWN = 50.0  # of the servers during the fault
MIN_ADMITTED = 0.9  # of the requests, once recovered


@dataclass(slots=True)
class Job:
    """An attempt at a server."""

    request: int
    balancer: int
    sent_at: int
    until: int


@dataclass(slots=True)
class JobDone:
    """A server has finished the work of an attempt."""

    server: str
    job: Job


@dataclass(slots=True)
class QueueServer:
    """Serves jobs in order of arrival, one a core, and drops those past their deadline."""

    free_cores: int = CORES
    waiting: deque[Job] = field(default_factory=deque)


class Fleet:
    """Balancers and servers on one clock; the servers are slow from `fault_at` to `fault_end_at`."""

    def __init__(self, balancers: int, target_us: int, deadline_targets: int, fault_targets: float) -> None:
        self.target_us = target_us
        self.deadline_us = deadline_targets * target_us
        self.random = random.Random(1)
        self.balancers = [
            Balancer(settings(target_us, self.deadline_us, balancers), each) for each in range(balancers)
        ]
        self.servers = {name: QueueServer() for name in server_names(SERVERS)}
        self.fault_at = START_US + int(WARM_UP_TARGETS * target_us)
        self.fault_end_at = self.fault_at + int(fault_targets * target_us)
        self.end_at = self.fault_end_at + int((RECOVERY_TARGETS + MEASURED_TARGETS) * target_us)
        self.order = itertools.count()
        self.agenda: list[tuple[int, int, int, Event | JobDone]] = []
        self.arrived: dict[int, int] = {}
        self.answered: dict[int, tuple[int, Outcome | None]] = {}  # None: rejected or failed
        self.in_flight: set[int] = set()
        self.sent: list[list[int]] = [[] for _ in range(balancers)]

    def add(self, at: int, balancer: int, event: Event | JobDone) -> None:
        heapq.heappush(self.agenda, (at, next(self.order), balancer, event))

    def play(self) -> None:
        listed = [Endpoint(name, zone="east") for name in self.servers]
        for index in range(len(self.balancers)):
            self.add(START_US, index, RegistryUpdated(RegistryUpdateKind.SNAPSHOT, listed, 1))
        mean_gap_us = WORK_TARGETS * self.target_us / (LOAD * SERVERS * CORES)
        moment, ident = float(START_US), 0
        while (moment := moment + self.random.expovariate(1.0 / mean_gap_us)) < self.end_at:
            ident += 1
            self.arrived[ident] = int(moment)
            arrival = RequestArrived(ident, "look", None, None, self.deadline_us)
            self.add(int(moment), self.random.randrange(len(self.balancers)), arrival)
        while self.agenda:
            now, _, balancer, event = heapq.heappop(self.agenda)
            if isinstance(event, JobDone):
                self.core_freed(now, event)
                continue
            if isinstance(event, AttemptEnded):
                if event.request not in self.in_flight:
                    continue
                self.in_flight.discard(event.request)
                self.answered[event.request] = (now, event.outcome)
            for action in self.balancers[balancer].handle(now, event):
                self.carry_out(now, balancer, action)

    def carry_out(self, now: int, balancer: int, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.add(now + action.delay_us, balancer, TimerFired(action.token))
        elif isinstance(action, (RejectRequest, FailRequest)):
            self.answered.setdefault(action.request, (now, None))
        elif isinstance(action, SendAttempt):
            job = Job(action.request, balancer, now, action.deadline)
            self.in_flight.add(job.request)
            self.sent[balancer].append(now)
            left_us = job.until - now
            expired = AttemptEnded(job.request, 0, action.server, Outcome.TIMED_OUT, left_us, answered=True)
            self.add(job.until, balancer, expired)
            server = self.servers[action.server]
            server.waiting.append(job)
            self.start_work(now, action.server)

    def start_work(self, now: int, name: str) -> None:
        server = self.servers[name]
        while server.free_cores and server.waiting:
            job = server.waiting.popleft()
            if job.until <= now:
                continue
            server.free_cores -= 1
            work_us = self.random.expovariate(1.0 / (WORK_TARGETS * self.target_us))
            if self.fault_at <= now < self.fault_end_at:
                work_us = min(work_us * SLOWDOWN, self.fault_end_at - now + work_us)
            self.add(now + int(work_us), job.balancer, JobDone(name, job))

    def core_freed(self, now: int, done: JobDone) -> None:
        self.servers[done.server].free_cores += 1
        job = done.job
        if now < job.until:
            elapsed_us = now - job.sent_at
            answer = AttemptEnded(job.request, 0, done.server, Outcome.SUCCEEDED, elapsed_us, answered=True)
            self.add(now, job.balancer, answer)
        self.start_work(now, done.server)

    def longest_send_gap_us(self, balancer: int) -> int:
        """The longest time in the fault for which a balancer sent nothing."""
        before = [at for at in self.sent[balancer] if at < self.fault_at]
        during = [at for at in self.sent[balancer] if self.fault_at <= at < self.fault_end_at]
        moments = [before[-1], *during, self.fault_end_at]
        return max(later - earlier for earlier, later in itertools.pairwise(moments))

    def timely_fraction(self, since: int, until: int) -> float:
        """The part of the requests that came in this span and were answered within the target."""
        came = [ident for ident, at in self.arrived.items() if since <= at < until]
        in_time = 0
        for ident in came:
            at, outcome = self.answered[ident]
            in_time += outcome is Outcome.SUCCEEDED and at - self.arrived[ident] <= self.target_us
        return in_time / len(came)


def settings(target_us: int, deadline_us: int, fleet: int) -> Settings:
    look = {
        "name": "look",
        "deadline_us": deadline_us,
        "latency_target_us": target_us,
        "priority_weight": 1,
        "idempotency": "safe",
    }
    limits = {"max_attempts": 1}
    rules = {"overload_window_us": target_us}  # arrivals are averaged over twice as long
    return Settings.from_mapping(
        {
            "classes": [look],
            "zone": "east",
            "sidecar_count": fleet,
            "limits": limits,
            "rules": rules,
            "discovery": "pushed",
        }
    )


@pytest.mark.parametrize("target_us", [100 * MILLISECOND_US, 2_500 * MILLISECOND_US])
@pytest.mark.parametrize(
    ("balancers", "deadline_targets", "fault_targets"),
    [(60, 4, FAULT_TARGETS), (200, 4, FAULT_TARGETS), (60, 12, LONG_FAULT_TARGETS)],
)
def test_a_fleet_admits_its_full_capacity_soon_after_a_fault_ends(
    balancers: int, deadline_targets: int, fault_targets: float, target_us: int
) -> None:
    fleet = Fleet(balancers, target_us, deadline_targets, fault_targets)
    fleet.play()
    settled_at = fleet.fault_at - int(WARM_UP_TARGETS / 2 * target_us)
    recovered_at = fleet.fault_end_at + int(RECOVERY_TARGETS * target_us)
    assert fleet.timely_fraction(settled_at, fleet.fault_at) >= MIN_ADMITTED
    assert fleet.timely_fraction(recovered_at, fleet.end_at) >= MIN_ADMITTED


@pytest.mark.parametrize("target_us", [100 * MILLISECOND_US, 2_500 * MILLISECOND_US])
@pytest.mark.parametrize("balancers", [20, 60])
def test_a_balancer_at_its_concurrency_limit_still_samples_the_servers(
    balancers: int, target_us: int
) -> None:
    fleet = Fleet(balancers, target_us, 4, LONG_FAULT_TARGETS)
    fleet.play()
    longest_us = max(fleet.longest_send_gap_us(each) for each in range(balancers))
    assert longest_us <= MAX_SEND_GAP_TARGETS * target_us
