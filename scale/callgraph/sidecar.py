"""A simulated sidecar: turns calls and ended attempts into events of a policy, and performs its actions."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from scale.callgraph.loop import VirtualEventLoop
from scale.callgraph.network import Location, Network
from scale.callgraph.policies import Policy
from scale.callgraph.server import CallResult, ServerCall, SimulatedServer
from sidecar.balancer.actions import Action, CancelAttempt, FailRequest, RejectRequest, SendAttempt, SetTimer
from sidecar.balancer.events import (
    AttemptEnded,
    Endpoint,
    Outcome,
    RegistryUpdated,
    RegistryUpdateKind,
    RequestArrived,
    TimerFired,
)


@dataclass(slots=True, eq=False)
class _Attempt:
    """An attempt that has not ended, as seen by its sidecar.

    Attributes:
        index: Number of the attempt within its request, from 0.
        server: The server that the attempt is sent to.
        sent_at: When the attempt was sent, in microseconds since the start of the run.
        incarnation: Incarnation of the server's process, as known when the attempt was sent or delivered.
        call: The call that the server has received, or None before the attempt reaches the server.
    """

    index: int
    server: SimulatedServer
    sent_at: int
    incarnation: int
    call: ServerCall | None = None


@dataclass(slots=True, eq=False)
class _Request:
    """A call of the application that has attempts in flight, or no response yet."""

    on_result: Callable[[CallResult], None]
    attempts_sent: int = 0
    in_flight: dict[int, _Attempt] = field(default_factory=dict)  # by index
    responded: bool = False


@dataclass(slots=True)
class _IdleConnections:
    """Idle connections to one server."""

    count: int = 0
    incarnation: int = 0  # incarnation of the server's process that the connections are open to


@dataclass(frozen=True, slots=True)
class UpstreamService:
    """The service that a sidecar calls."""

    servers: Mapping[str, SimulatedServer]  # by name
    service_class: str  # service class of all calls
    dial_timeout_us: int


class SimulatedSidecar:
    """One sidecar that calls one service."""

    def __init__(
        self,
        loop: VirtualEventLoop,
        network: Network,
        location: Location,
        policy: Policy,
        upstream: UpstreamService,
    ) -> None:
        self.location = location
        self._loop = loop
        self._network = network
        self._policy = policy
        self._upstream = upstream
        self._requests: dict[int, _Request] = {}
        self._next_request = 1
        self._idle: dict[str, _IdleConnections] = {}

    def update_registry(self, kind: RegistryUpdateKind, endpoints: Sequence[Endpoint]) -> None:
        """Pass a registry update to the policy."""
        self._handle(RegistryUpdated(kind, endpoints, 1))

    def call(self, remaining_us: int, on_result: Callable[[CallResult], None]) -> None:
        """Make a call with the time until its deadline; `on_result` is called once with its result."""
        request_number, self._next_request = self._next_request, self._next_request + 1
        self._requests[request_number] = _Request(on_result)
        self._handle(RequestArrived(request_number, self._upstream.service_class, None, None, remaining_us))

    def _handle(self, event: RegistryUpdated | RequestArrived | AttemptEnded | TimerFired) -> None:
        for action in self._policy.handle(self._loop.now, event):
            self._perform(action)

    def _perform(self, action: Action) -> None:
        match action:
            case SendAttempt():
                self._send(action)
            case RejectRequest():
                self._respond_to_caller(action.request, CallResult.SHED)
            case FailRequest():
                self._respond_to_caller(action.request, CallResult.FAILED)
            case CancelAttempt():
                # Deferred, so that the remaining actions of the policy are performed before the attempt ends.
                self._loop.call_later(
                    0, self._abort_attempt, action.request, action.attempt, Outcome.CANCELLED
                )
            case SetTimer():
                self._loop.call_later(action.delay_us, self._handle, TimerFired(action.token))

    def _respond_to_caller(self, request_number: int, result: CallResult) -> None:
        request = self._requests.get(request_number)
        if request is None or request.responded:
            return
        request.responded = True
        if not request.in_flight:
            del self._requests[request_number]
        request.on_result(result)

    # -- Attempts -------------------------------------------------------------------------------------

    def _send(self, action: SendAttempt) -> None:
        request = self._requests[action.request]
        server = self._upstream.servers[action.server]
        attempt = _Attempt(request.attempts_sent, server, self._loop.now, server.incarnation)
        request.in_flight[attempt.index] = attempt
        request.attempts_sent += 1
        deadline = max(action.deadline, self._loop.now)
        self._loop.call_at(deadline, self._abort_attempt, action.request, attempt.index, Outcome.TIMED_OUT)
        one_way_us = self._network.delay_us(self.location, server.location)
        if self._acquire_connection(server):
            self._loop.call_later(one_way_us, self._deliver, action.request, attempt, deadline)
        else:
            self._dial(action.request, attempt, deadline, one_way_us)

    def _acquire_connection(self, server: SimulatedServer) -> bool:
        """Take an idle connection, if there is one to the server's current incarnation."""
        idle = self._idle.setdefault(server.name, _IdleConnections())
        if idle.incarnation != server.incarnation:
            idle.incarnation, idle.count = server.incarnation, 0
        if not idle.count:
            return False
        idle.count -= 1
        return True

    def _dial(self, request_number: int, attempt: _Attempt, deadline: int, one_way_us: int) -> None:
        """Open a connection for an attempt, then deliver the attempt.

        Connecting takes one round trip, or the dial timeout if the server is in another partition.
        """
        if not self._network.reaches(self.location, attempt.server.location):
            timeout_us = self._upstream.dial_timeout_us
            self._loop.call_later(
                timeout_us, self._end_attempt, request_number, attempt, Outcome.CONNECT_FAILED
            )
        elif not attempt.server.is_up:
            self._loop.call_later(
                2 * one_way_us, self._end_attempt, request_number, attempt, Outcome.CONNECT_FAILED
            )
        else:
            self._loop.call_later(3 * one_way_us, self._deliver, request_number, attempt, deadline)

    def _deliver(self, request_number: int, attempt: _Attempt, deadline: int) -> None:
        """Deliver an attempt to its server, unless it was cancelled or the network lost it."""
        server = attempt.server
        if not self._is_in_flight(request_number, attempt) or not self._network.reaches(
            self.location, server.location
        ):
            return
        if not server.is_up:
            self._send_response(request_number, attempt, Outcome.RESET)
            return
        attempt.incarnation = server.incarnation
        attempt.call = ServerCall(
            lambda outcome: self._send_response(request_number, attempt, outcome), deadline
        )
        server.receive(attempt.call)

    def _send_response(self, request_number: int, attempt: _Attempt, outcome: Outcome) -> None:
        """Send the server's response to the sidecar; only resets arrive from a stopped process."""
        process_stopped = attempt.incarnation != attempt.server.incarnation and outcome is not Outcome.RESET
        if process_stopped or not self._network.reaches(attempt.server.location, self.location):
            return
        one_way_us = self._network.delay_us(attempt.server.location, self.location)
        self._loop.call_later(one_way_us, self._end_attempt, request_number, attempt, outcome)

    def reset_connections(self, server: SimulatedServer) -> None:
        """Reset the attempts in flight at a server whose process was stopped."""
        for request_number, request in list(self._requests.items()):
            for attempt in list(request.in_flight.values()):
                if attempt.server is server and attempt.call is not None:
                    self._send_response(request_number, attempt, Outcome.RESET)

    def _abort_attempt(self, request_number: int, index: int, outcome: Outcome) -> None:
        request = self._requests.get(request_number)
        attempt = None if request is None else request.in_flight.get(index)
        if attempt is None:
            return
        if attempt.call is not None:
            attempt.call.cancelled = True
        self._end_attempt(request_number, attempt, outcome)

    def _is_in_flight(self, request_number: int, attempt: _Attempt) -> bool:
        request = self._requests.get(request_number)
        return request is not None and request.in_flight.get(attempt.index) is attempt

    def _end_attempt(self, request_number: int, attempt: _Attempt, outcome: Outcome) -> None:
        if not self._is_in_flight(request_number, attempt):
            return
        request = self._requests[request_number]
        del request.in_flight[attempt.index]
        if outcome in (Outcome.SUCCEEDED, Outcome.ERROR, Outcome.REJECTED):
            self._release_connection(attempt)
        if outcome is Outcome.SUCCEEDED:
            self._respond_to_caller(request_number, CallResult.SERVED)
        elapsed_us = self._loop.now - attempt.sent_at
        event = AttemptEnded(
            request_number, attempt.index, attempt.server.name, outcome, elapsed_us, request.responded
        )
        self._handle(event)
        if request.responded and not request.in_flight:
            self._requests.pop(request_number, None)

    def _release_connection(self, attempt: _Attempt) -> None:
        idle = self._idle[attempt.server.name]
        if idle.incarnation == attempt.incarnation:
            idle.count += 1
