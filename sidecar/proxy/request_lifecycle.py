"""Passes client requests to the balancer, and answers each of them exactly once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sidecar.balancer.actions import FailRequest, RejectRequest
from sidecar.balancer.events import ClientDisconnected, Event, RequestArrived
from sidecar.proxy.active_requests import ActiveRequest, ActiveRequests
from sidecar.proxy.client_request import ClientRequest, retry_after_header
from sidecar.proxy.clock import Clock
from sidecar.proxy.connection_pool import ConnectionPool
from sidecar.proxy.http_messages import Headers


class RequestLifecycle:
    """Manages each request from its arrival to its answer, which is due by its deadline.

    Attributes:
        active: The requests in progress.
    """

    def __init__(
        self,
        active: ActiveRequests,
        pool: ConnectionPool,
        clock: Clock,
        handle_event: Callable[[Event], None],
    ) -> None:
        self.active = active
        self._pool = pool
        self._clock = clock
        self._handle_event = handle_event

    def handle_request(self, client_request: ClientRequest) -> None:
        """Process a new request; when this returns, the balancer has decided on it."""
        deadline_us = self._clock.now() + client_request.budget_us
        request = self.active.add(client_request, deadline_us)
        deadline = self._clock.to_loop_time(request.deadline_us)
        request.deadline_timer = asyncio.get_running_loop().call_at(deadline, self.abort, request.number)
        event = RequestArrived(
            request.number,
            client_request.service_class.name,
            client_request.tenant,
            client_request.key,
            client_request.budget_us,
            client_request.cost_us,
            client_request.is_retry,
        )
        self._handle_event(event)

    def handle_disconnect(self, client_request: ClientRequest) -> None:
        """Drop a request whose client has disconnected, or that its connection has failed already."""
        request = self.active.pop_unanswered(client_request)
        if request is not None and not request.answered:
            self._mark_answered(request)
            self._handle_event(ClientDisconnected(request.number))

    def reject_or_fail(self, action: RejectRequest | FailRequest) -> None:
        """Answer a request as rejected (503) or failed (500)."""
        request = self.active.get(action.request)
        if request is None:
            return
        match action:
            case RejectRequest():
                self.answer(request, 503, retry_after_header(action.retry_after_us), b"")
            case FailRequest():
                self.answer(request, 500, [], b"")

    def answer(self, request: ActiveRequest, status: int, headers: Headers, body: bytes) -> None:
        """Answer a request, unless it has been answered already."""
        if request.answered:
            return
        self._mark_answered(request)
        request.client_request.responder.respond(status, headers, body)

    def abort(self, number: int | None) -> None:
        """Fail a request and cancel its attempts.

        Called at the deadline of an unanswered request, and on unexpected errors, so that no defect leaves a
        request unanswered.
        """
        request = self.active.get(number)
        if request is None:
            return
        self.answer(request, 500, [], b"")
        for exchange in request.exchanges_in_flight():
            self._pool.cancel(exchange)

    def fail_all(self) -> int:
        """Answer all unanswered requests as failed (500); return their number."""
        unanswered = self.active.unanswered()
        for request in unanswered:
            self.answer(request, 500, [], b"")
        return len(unanswered)

    def _mark_answered(self, request: ActiveRequest) -> None:
        """Record that a request needs no answer any more, and end its unwritten attempts."""
        request.answered = True
        self.active.pop_unanswered(request.client_request)
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        for exchange in request.exchanges_in_flight():
            self._pool.abandon_if_unwritten(exchange)  # nothing is sent for an answered request
        self.active.remove_if_finished(request)
