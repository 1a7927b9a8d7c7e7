"""The requests that are in progress, and the request ids that are in use."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

from sidecar.proxy.client_request import ClientRequest
from sidecar.proxy.exchange import Exchange
from sidecar.settings import Idempotency


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """A request that is in progress: unanswered, or with attempts in flight.

    Attributes:
        number: What the balancer knows it by.
        client_request: The request as its client sent it.
        deadline_us: Clock time by which it has to be answered.
        answered: Whether its client has its answer or has disconnected.
        attempts_sent: Count of its attempts so far, which are numbered from 0.
        in_flight: The attempts that have not ended, by number; None while one is being started.
        started_attempts: Numbers of the attempts of which a first byte was written.
        deadline_timer: Fails the request at its deadline.
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
        """Return the exchanges of its attempts in flight, as a copy."""
        return [exchange for exchange in self.in_flight.values() if exchange is not None]

    def has_other_attempt_started(self, attempt: int) -> bool:
        """Return whether a first byte of another attempt than this one was written."""
        return bool(self.started_attempts - {attempt})


class ActiveRequests:
    """The table of requests in progress, by the balancer's number and by the client's request."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._by_number: dict[int, ActiveRequest] = {}
        self._unanswered: dict[ClientRequest, ActiveRequest] = {}
        self._ids_in_use: set[str] = set()

    def __len__(self) -> int:
        return len(self._by_number)

    def __iter__(self) -> Iterator[ActiveRequest]:
        return iter(self._by_number.values())

    def add(self, client_request: ClientRequest, deadline_us: int) -> ActiveRequest:
        """Add a request with a number of its own; its id is in use from now on."""
        request = ActiveRequest(next(self._numbers), client_request, deadline_us)
        self._by_number[request.number] = request
        self._unanswered[client_request] = request
        self._ids_in_use.add(client_request.request_id)
        return request

    def get(self, number: int | None) -> ActiveRequest | None:
        """Return the request with this number, if it is in progress."""
        return self._by_number.get(number) if number is not None else None

    def unanswered(self) -> list[ActiveRequest]:
        """Return the requests whose clients wait for an answer."""
        return list(self._unanswered.values())

    def is_id_in_use(self, request_id: str) -> bool:
        """Return whether a request with this id is in progress, or may have run just now."""
        return request_id in self._ids_in_use

    def pop_unanswered(self, client_request: ClientRequest) -> ActiveRequest | None:
        """Remove a request from those that wait for an answer; return it if it did wait."""
        return self._unanswered.pop(client_request, None)

    def remove_if_finished(self, request: ActiveRequest) -> None:
        """Remove a request that is answered and has no attempt in flight."""
        if request.answered and not request.in_flight:
            self._by_number.pop(request.number, None)
            self._release_id(request)

    def _release_id(self, request: ActiveRequest) -> None:
        """Let a request's id be used again; where it may run but once, not before its client gives up.

        Guards against a client whose connection broke under the answer: it may send the same request again.
        """
        service_class = request.client_request.service_class
        request_id = request.client_request.request_id
        if request.started_attempts and service_class.idempotency is not Idempotency.SAFE:
            client_timeout_s = service_class.deadline_us / 1e6
            asyncio.get_running_loop().call_later(client_timeout_s, self._ids_in_use.discard, request_id)
        else:
            self._ids_in_use.discard(request_id)
