"""Simulated servers: a bounded queue, limited concurrency, and downstream calls."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

import numpy as np

from scale.callgraph.experiment import Servers
from scale.callgraph.loop import VirtualEventLoop
from scale.callgraph.network import Location
from sidecar.balancer.events import Outcome

_ERROR_TIME_US = 1_000  # response time of a call with an injected error; the call isn't queued
_SERVICE_TIME_BATCH = 256  # number of service times drawn at once


@unique
class CallResult(Enum):
    """The result of a call, as the calling application sees it."""

    SERVED = "served"
    SHED = "shed"
    FAILED = "failed"


class Sidecar(Protocol):
    """The part of a sidecar that its application uses."""

    def call(self, remaining_us: int, on_result: Callable[[CallResult], None]) -> None:
        """Make a call with the time until its deadline; `on_result` is called once with its result."""


@dataclass(slots=True, eq=False)
class ServerCall:
    """A call that a server has received.

    Attributes:
        respond: Sends the response to the caller.
        deadline: When the caller gives up, in microseconds since the start of the run.
        cancelled: Whether the caller has cancelled the call.
        pending_results: Number of downstream calls without a result.
        failed: Whether a downstream call was shed or failed.
    """

    respond: Callable[[Outcome], None]
    deadline: int
    cancelled: bool = False
    pending_results: int = 0
    failed: bool = False


class SimulatedServer:
    """One process of a service.

    A queued call whose deadline has passed is dropped without a response. A queued call that its caller
    has cancelled is never served; a call in service runs to its end, as in servers that follow
    the sidecar's protocol.
    """

    def __init__(
        self,
        loop: VirtualEventLoop,
        name: str,
        location: Location,
        capacity: Servers,
        seed: np.random.SeedSequence,
    ) -> None:
        self.name = name
        self.location = location
        self.downstream: list[Sidecar] = []  # one entry for each downstream call that a call makes
        self.is_up = True
        self.started_at: int | None = None
        self.incarnation = 0
        self.error_share = 0.0
        self.calls_received = 0
        self._loop = loop
        self._capacity = capacity
        self._random = np.random.default_rng(seed)
        self._service_times: list[int] = []
        self._queue: deque[ServerCall] = deque()
        self._in_service = 0

    def receive(self, call: ServerCall) -> None:
        """Serve or queue a call; reject it if the queue is full."""
        self.calls_received += 1
        if self.error_share > 0.0 and self._random.random() < self.error_share:
            self._loop.call_later(_ERROR_TIME_US, call.respond, Outcome.ERROR)
        elif self._in_service < self._capacity.concurrency:
            self._serve(call)
        elif len(self._queue) < self._capacity.queue_limit:
            self._queue.append(call)
        else:
            call.respond(Outcome.REJECTED)

    def stop(self) -> None:
        """Simulate a killed process: all calls in service or queued are lost."""
        self.is_up = False
        self.incarnation += 1
        self._queue.clear()
        self._in_service = 0

    def start(self) -> None:
        """Simulate the start of a new process."""
        self.is_up = True
        self.started_at = self._loop.now

    def _serve(self, call: ServerCall) -> None:
        self._in_service += 1
        self._loop.call_later(self._next_service_time(), self._service_ended, call, self.incarnation)

    def _next_service_time(self) -> int:
        if not self._service_times:
            mean_us = self._capacity.service_time_ms * 1_000
            self._service_times = self._random.exponential(mean_us, _SERVICE_TIME_BATCH).astype(int).tolist()
        return self._service_times.pop()

    def _service_ended(self, call: ServerCall, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return  # the process was stopped meanwhile
        self._in_service -= 1
        while self._queue and self._in_service < self._capacity.concurrency:
            queued = self._queue.popleft()
            if not queued.cancelled and queued.deadline > self._loop.now:
                self._serve(queued)
        self._call_downstream(call)

    def _call_downstream(self, call: ServerCall) -> None:
        """Make all downstream calls at the same time, with the time that remains until the deadline.

        Without remaining time, the server sends no response.
        """
        remaining_us = call.deadline - self._loop.now
        if not self.downstream:
            call.respond(Outcome.SUCCEEDED)
        elif remaining_us > 0:
            call.pending_results = len(self.downstream)
            for sidecar in self.downstream:
                sidecar.call(remaining_us, lambda result: self._downstream_ended(call, result))

    def _downstream_ended(self, call: ServerCall, result: CallResult) -> None:
        """Respond once all downstream calls have ended: 200, or 500 if one was shed or failed.

        A 503 without `X-Rejected` would have the same effect: the caller's sidecar assumes that the call
        may have run.
        """
        call.pending_results -= 1
        call.failed = call.failed or result is not CallResult.SERVED
        if not call.pending_results:
            call.respond(Outcome.ERROR if call.failed else Outcome.SUCCEEDED)
