"""Recovery of a fleet of balancers, each with little traffic, from a fault that makes all servers hang.

Guards against balancers that reject so many requests that they notice the end of the fault late.  With
latency targets and deadlines of any length:

- During the fault, a balancer with enough traffic to be governed by its concurrency limit sends an attempt
  within two latency targets of its previous one.
- From four latency targets after the fault, at least nine in ten requests are answered within their target.
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
CORES_PER_SERVER = 4
UTILIZATION = 0.6  # share of the servers' capacity that the traffic needs
SERVICE_TIME_TARGETS = 0.04  # mean service time, in latency targets
WARM_UP_TARGETS = 6.0
FAULT_TARGETS = 6.0
LONG_FAULT_TARGETS = 12.0
MAX_SEND_GAP_TARGETS = 2.0  # between two attempts of a balancer, also during the fault
RECOVERY_TARGETS = 4.0  # from the end of the fault until the full capacity is used again
MEASURED_TARGETS = 3.0  # duration of the measurement after recovery
SERVICE_TIME_FACTOR = 50.0  # increase of service times during the fault
MIN_TIMELY_FRACTION = 0.9  # of the requests, before the fault and after recovery


@dataclass(slots=True)
class Job:
    """An attempt at a server."""

    request: int
    balancer: int
    sent_at: int
    deadline: int


@dataclass(slots=True)
class JobDone:
    """A server has finished the work of an attempt."""

    server: str
    job: Job


@dataclass(slots=True)
class QueueServer:
    """Serves jobs in order of arrival, one per core, and drops those past their deadline."""

    free_cores: int = CORES_PER_SERVER
    waiting: deque[Job] = field(default_factory=deque)


class Fleet:
    """Simulates balancers and servers; the servers are slow from `fault_at` to `fault_end_at`."""

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
        self.sequence = itertools.count()
        self.event_queue: list[tuple[int, int, int, Event | JobDone]] = []
        self.arrival_times: dict[int, int] = {}
        self.final_responses: dict[int, tuple[int, Outcome | None]] = {}  # None: rejected or failed
        self.in_flight: set[int] = set()
        self.send_times: list[list[int]] = [[] for _ in range(balancers)]

    def schedule(self, at: int, balancer: int, event: Event | JobDone) -> None:
        heapq.heappush(self.event_queue, (at, next(self.sequence), balancer, event))

    def run(self) -> None:
        listed = [Endpoint(name, zone="east") for name in self.servers]
        for index in range(len(self.balancers)):
            self.schedule(START_US, index, RegistryUpdated(RegistryUpdateKind.SNAPSHOT, listed, 1))
        mean_gap_us = SERVICE_TIME_TARGETS * self.target_us / (UTILIZATION * SERVERS * CORES_PER_SERVER)
        arrival_time, request_id = float(START_US), 0
        while (arrival_time := arrival_time + self.random.expovariate(1.0 / mean_gap_us)) < self.end_at:
            request_id += 1
            self.arrival_times[request_id] = int(arrival_time)
            arrival = RequestArrived(request_id, "look", None, None, self.deadline_us)
            self.schedule(int(arrival_time), self.random.randrange(len(self.balancers)), arrival)
        while self.event_queue:
            now, _, balancer, event = heapq.heappop(self.event_queue)
            if isinstance(event, JobDone):
                self.finish_job(now, event)
                continue
            if isinstance(event, AttemptEnded):
                if event.request not in self.in_flight:
                    continue
                self.in_flight.discard(event.request)
                self.final_responses[event.request] = (now, event.outcome)
            for action in self.balancers[balancer].handle(now, event):
                self.execute(now, balancer, action)

    def execute(self, now: int, balancer: int, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.schedule(now + action.delay_us, balancer, TimerFired(action.token))
        elif isinstance(action, (RejectRequest, FailRequest)):
            self.final_responses.setdefault(action.request, (now, None))
        elif isinstance(action, SendAttempt):
            job = Job(action.request, balancer, now, action.deadline)
            self.in_flight.add(job.request)
            self.send_times[balancer].append(now)
            remaining_us = job.deadline - now
            timeout = AttemptEnded(
                job.request, 0, action.server, Outcome.TIMED_OUT, remaining_us, answered=True
            )
            self.schedule(job.deadline, balancer, timeout)
            server = self.servers[action.server]
            server.waiting.append(job)
            self.start_work(now, action.server)

    def start_work(self, now: int, name: str) -> None:
        server = self.servers[name]
        while server.free_cores and server.waiting:
            job = server.waiting.popleft()
            if job.deadline <= now:
                continue
            server.free_cores -= 1
            service_time_us = self.random.expovariate(1.0 / (SERVICE_TIME_TARGETS * self.target_us))
            if self.fault_at <= now < self.fault_end_at:
                service_time_us = min(
                    service_time_us * SERVICE_TIME_FACTOR, self.fault_end_at - now + service_time_us
                )
            self.schedule(now + int(service_time_us), job.balancer, JobDone(name, job))

    def finish_job(self, now: int, done: JobDone) -> None:
        self.servers[done.server].free_cores += 1
        job = done.job
        if now < job.deadline:
            elapsed_us = now - job.sent_at
            answer = AttemptEnded(job.request, 0, done.server, Outcome.SUCCEEDED, elapsed_us, answered=True)
            self.schedule(now, job.balancer, answer)
        self.start_work(now, done.server)

    def longest_send_gap_us(self, balancer: int) -> int:
        """The longest time during the fault in which a balancer sent no attempt."""
        before = [at for at in self.send_times[balancer] if at < self.fault_at]
        during = [at for at in self.send_times[balancer] if self.fault_at <= at < self.fault_end_at]
        moments = [before[-1], *during, self.fault_end_at]
        return max(later - earlier for earlier, later in itertools.pairwise(moments))

    def timely_fraction(self, since: int, until: int) -> float:
        """The fraction of the requests that arrived in this period and were answered within the target."""
        arrived = [request_id for request_id, at in self.arrival_times.items() if since <= at < until]
        timely_count = 0
        for request_id in arrived:
            at, outcome = self.final_responses[request_id]
            timely_count += (
                outcome is Outcome.SUCCEEDED and at - self.arrival_times[request_id] <= self.target_us
            )
        return timely_count / len(arrived)


def settings(target_us: int, deadline_us: int, sidecar_count: int) -> Settings:
    request_class = {
        "name": "look",
        "deadline_us": deadline_us,
        "latency_target_us": target_us,
        "priority_weight": 1,
        "idempotency": "safe",
    }
    limits = {"max_attempts": 1}
    rules = {"overload_window_us": target_us}  # arrivals are averaged over twice this time
    return Settings.from_mapping(
        {
            "classes": [request_class],
            "zone": "east",
            "sidecar_count": sidecar_count,
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
    fleet.run()
    settled_at = fleet.fault_at - int(WARM_UP_TARGETS / 2 * target_us)
    recovered_at = fleet.fault_end_at + int(RECOVERY_TARGETS * target_us)
    assert fleet.timely_fraction(settled_at, fleet.fault_at) >= MIN_TIMELY_FRACTION
    assert fleet.timely_fraction(recovered_at, fleet.end_at) >= MIN_TIMELY_FRACTION


@pytest.mark.parametrize("target_us", [100 * MILLISECOND_US, 2_500 * MILLISECOND_US])
@pytest.mark.parametrize("balancers", [20, 60])
def test_a_balancer_at_its_concurrency_limit_still_samples_the_servers(
    balancers: int, target_us: int
) -> None:
    fleet = Fleet(balancers, target_us, 4, LONG_FAULT_TARGETS)
    fleet.run()
    longest_us = max(fleet.longest_send_gap_us(each) for each in range(balancers))
    assert longest_us <= MAX_SEND_GAP_TARGETS * target_us
