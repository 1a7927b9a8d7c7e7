"""Tracks the requests that are in progress and the request ids that are in use."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

from sidecar.proxy.client_request import ClientRequest
from sidecar.proxy.exchange import Exchange
from sidecar.proxy.request_ids import RequestIds
from sidecar.settings import Idempotency


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """A request in progress: it has not been answered, or has attempts in flight.

    Attributes:
        number: Identifies the request to the balancer.
        client_request: The request as the client sent it.
        deadline_us: Clock time by which the request has to be answered, in microseconds.
        answered: Whether the client has been answered or has disconnected.
        attempts_sent: Number of attempts so far; attempts are numbered from 0.
        in_flight: The exchange of each attempt that has not ended, by the number of the attempt; None while
            the attempt is being started.
        started_attempts: Numbers of the attempts for which writing the request has begun.
        deadline_timer: Fails the request at the deadline.
    """

    number: int
    client_request: ClientRequest
    deadline_us: int
    answered: bool = False
    attempts_sent: int = 0
    in_flight: dict[int, Exchange | None] = field(default_factory=dict)
    started_attempts: set[int] = field(default_factory=set)
    deadline_timer: asyncio.TimerHandle | None = None

    def exchanges_in_flight(self) -> list[Exchange]:
        """Return a new list of the exchanges of the attempts in flight."""
        return [exchange for exchange in self.in_flight.values() if exchange is not None]

    def has_other_attempt_started(self, attempt: int) -> bool:
        """Return whether writing the request has begun for an attempt other than the given one."""
        return bool(self.started_attempts - {attempt})


class ActiveRequests:
    """The requests in progress, indexed by the balancer's number and by the client's request."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._by_number: dict[int, ActiveRequest] = {}
        self._unanswered: dict[ClientRequest, ActiveRequest] = {}
        self._ids = RequestIds()

    def __len__(self) -> int:
        return len(self._by_number)

    def __iter__(self) -> Iterator[ActiveRequest]:
        return iter(self._by_number.values())

    def add(self, client_request: ClientRequest, deadline_us: int) -> ActiveRequest:
        """Add a request under a new number, and mark its id as in use."""
        request = ActiveRequest(next(self._numbers), client_request, deadline_us)
        self._by_number[request.number] = request
        self._unanswered[client_request] = request
        self._ids.add(client_request.request_id)
        return request

    def get(self, number: int | None) -> ActiveRequest | None:
        """Return the request with this number, or None if it is not in progress."""
        return self._by_number.get(number) if number is not None else None

    def unanswered(self) -> list[ActiveRequest]:
        """Return the requests whose clients are waiting for an answer."""
        return list(self._unanswered.values())

    def is_id_in_use(self, request_id: str) -> bool:
        """Return whether a request with this id is in progress, or may have been executed recently."""
        return request_id in self._ids

    def pop_unanswered(self, client_request: ClientRequest) -> ActiveRequest | None:
        """Remove a request from the unanswered ones; return it, or None if it was not among them."""
        return self._unanswered.pop(client_request, None)

    def remove_if_finished(self, request: ActiveRequest) -> None:
        """Remove a request if it has been answered and has no attempt in flight."""
        if request.answered and not request.in_flight:
            self._by_number.pop(request.number, None)
            self._release_id(request)

    def _release_id(self, request: ActiveRequest) -> None:
        """Allow the id of a request to be reused, unless it may have been executed and is not safe to repeat.

        A client whose connection broke before the response arrived may send the same request again, which
        must not be executed a second time.
        """
        service_class = request.client_request.service_class
        request_id = request.client_request.request_id
        if request.started_attempts and service_class.idempotency is not Idempotency.SAFE:
            client_timeout_s = service_class.deadline_us / 1e6
            self._ids.release_executed(request_id, client_timeout_s)
        else:
            self._ids.release(request_id)
