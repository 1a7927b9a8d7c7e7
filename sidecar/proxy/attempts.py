"""Attempts: forwards requests to servers, and reports to the balancer how each attempt ended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from sidecar.balancer.actions import CancelAttempt, SendAttempt
from sidecar.balancer.events import AttemptEnded, Event, Outcome
from sidecar.proxy.active_requests import ActiveRequest
from sidecar.proxy.client_request import ClientRequest
from sidecar.proxy.clock import Clock
from sidecar.proxy.connection_pool import ConnectionPool
from sidecar.proxy.exchange import DeferredRequest, Exchange
from sidecar.proxy.http_messages import EncodedMessage, Response
from sidecar.proxy.load_reports import parse_load_report
from sidecar.proxy.request_lifecycle import RequestLifecycle
from sidecar.settings import Settings

# The headers of a server's response that are forwarded to the client.
_FORWARDED_RESPONSE_HEADERS = (b"content-type", b"content-encoding")
_LOAD_REPORT_HEADER = b"x-load-report"


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request.

    Attributes:
        request: The request that it belongs to.
        number: Its number within the request.
        server: Name of the server that it is sent to.
        sent_at_us: Clock time at which it was started.
        write_by_us: Clock time by which the request has to be written completely if another attempt has been
            started, as servers may forget that attempt afterwards; None: it may be written at any time.
    """

    request: ActiveRequest
    number: int
    server: str
    sent_at_us: int
    write_by_us: int | None


class AttemptSender:
    """Sends and cancels attempts as the balancer decides.

    Attributes:
        settings: The settings for attempts that end from now on; may be replaced at any time.
    """

    def __init__(
        self,
        settings: Settings,
        requests: RequestLifecycle,
        pool: ConnectionPool,
        clock: Clock,
        handle_event: Callable[[Event], None],
    ) -> None:
        self.settings = settings
        self._requests = requests
        self._pool = pool
        self._clock = clock
        self._handle_event = handle_event

    def send(self, action: SendAttempt) -> None:
        """Start an attempt of a request that is still unanswered; report any other as not sent."""
        request = self._requests.active.get(action.request)
        number = 0
        if request is not None:
            number = request.attempts_sent
            request.attempts_sent += 1
        if request is None or request.answered:
            self._handle_event(AttemptEnded(action.request, number, action.server, Outcome.NOT_SENT, 0, True))
            return
        request.in_flight[number] = None
        attempt = Attempt(request, number, action.server, self._clock.now(), action.write_by)
        self._start(attempt, min(action.deadline or request.deadline_us, request.deadline_us))

    def cancel(self, action: CancelAttempt) -> None:
        """Cancel an attempt that is in flight."""
        request = self._requests.active.get(action.request)
        exchange = request.in_flight.get(action.attempt) if request is not None else None
        if exchange is not None:
            self._pool.cancel(exchange)

    def _start(self, attempt: Attempt, deadline_us: int) -> None:
        deadline = self._clock.to_loop_time(deadline_us)
        on_outcome = partial(self._on_ended, attempt)
        encoder = DeferredRequest(partial(self._encode_if_wanted, attempt))
        try:
            exchange = self._pool.send(attempt.server, encoder, deadline, on_outcome)
        except Exception:
            on_outcome(Outcome.RESET, None)  # a defect, so it is unknown how much was sent
            raise
        if attempt.number in attempt.request.in_flight:
            attempt.request.in_flight[attempt.number] = exchange
            self._schedule_write_deadline(attempt, exchange)

    def _schedule_write_deadline(self, attempt: Attempt, exchange: Exchange) -> None:
        """Set the timer that ends an attempt if its request has not been written completely in time."""
        if attempt.write_by_us is None or exchange.is_request_written():
            return
        due = self._clock.to_loop_time(attempt.write_by_us)
        timer = asyncio.get_running_loop().call_at(due, self._end_unwritten, attempt)
        exchange.timers.append(timer)

    def _end_unwritten(self, attempt: Attempt) -> None:
        """End an attempt whose request has not been written completely, if another attempt has been started.

        From now on servers may forget the idempotency key of the other attempt, and the request might run
        twice.
        """
        exchange = attempt.request.in_flight.get(attempt.number)
        if exchange is not None and attempt.request.has_other_attempt_started(attempt.number):
            self._pool.abandon_if_unwritten(exchange)

    def _encode_if_wanted(self, attempt: Attempt, remaining_s: float) -> EncodedMessage | None:
        """Return the encoded request of an attempt, or None if it must not be sent any more.

        A client that has closed its connection counts as disconnected even before the event loop has read the
        close, as servers would otherwise process a request that nobody waits for.  A request that must not
        run twice is not sent late either: while the connection was being opened, servers may have forgotten
        another attempt.
        """
        request = attempt.request
        if request.client_request.responder.is_disconnected():
            self._requests.handle_disconnect(request.client_request)
            return None
        if self._is_past_dedup_window(attempt):
            return None
        request.started_attempts.add(attempt.number)
        return encode_request(request.client_request, remaining_s)

    def _is_past_dedup_window(self, attempt: Attempt) -> bool:
        """Return whether servers may have forgotten another attempt, so that the request might run twice."""
        if attempt.write_by_us is None or not attempt.request.has_other_attempt_started(attempt.number):
            return False
        return self._clock.now() >= attempt.write_by_us

    def _on_ended(self, attempt: Attempt, outcome: Outcome, response: Response | None) -> None:
        request, number = attempt.request, attempt.number
        if number not in request.in_flight:
            return
        del request.in_flight[number]
        if outcome is Outcome.SUCCEEDED and response is not None:
            headers = [header for header in response.headers if header[0] in _FORWARDED_RESPONSE_HEADERS]
            self._requests.answer(request, 200, headers, response.body)
        elapsed_us = self._clock.now() - attempt.sent_at_us
        report = self._load_report(response)
        self._requests.active.remove_if_finished(request)
        answered = request.answered
        self._handle_event(
            AttemptEnded(request.number, number, attempt.server, outcome, elapsed_us, answered, report)
        )

    def _load_report(self, response: Response | None) -> dict[str, float] | None:
        if response is None:
            return None
        text = response.header(_LOAD_REPORT_HEADER)
        return parse_load_report(text, self.settings.report_columns)


def encode_request(request: ClientRequest, remaining_s: float) -> EncodedMessage:
    """Return the encoded request of an attempt: the client's, with the remaining seconds in X-Budget."""
    lines = [
        b"%b %b HTTP/1.1\r\n" % (request.method, request.target),
        request.forwarded_headers,
        b"X-Budget: %.6f\r\n" % remaining_s,
    ]
    if not request.has_host:
        lines.append(b"Host: sidecar\r\n")  # optional in HTTP/1.0, required in HTTP/1.1
    if request.body or request.method not in (b"GET", b"HEAD"):
        lines.append(b"Content-Length: %d\r\n" % len(request.body))
    lines.append(b"\r\n")
    return EncodedMessage(b"".join(lines), request.body)
