"""Graceful shutdown in virtual time: accepted requests get a response before SIGKILL may follow."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest
from balancer_harness import MILLISECOND_US, SECOND_US
from proxy_harness import (
    CLASSES,
    ProxyHarness,
    never_respond,
    read_message,
    request,
    running_proxy,
    wait_until,
)
from virtual_time import VirtualTimeLoop, advance, now_s, run_in_virtual_time

from sidecar.proxy.active_requests import ActiveRequest
from sidecar.proxy.http_messages import Headers
from sidecar.proxy.request_lifecycle import RequestLifecycle

KILL_AFTER_DEADLINE_S = 0.7
RESPONSE_REQUIRED_S = 0.7  # requests that are sent later after SIGTERM may stay without a response
NEW_CONNECTIONS_DURATION_S = 0.4  # clients open connections for so long after SIGTERM
EVENT_LOOP_DELAY_S = 0.15  # the handling of SIGTERM and of a response may each be delayed by this
SEND_INTERVAL_S = 0.013
CLIENT_COUNT = 60  # clients that have a connection before SIGTERM


def delay_event_loop() -> None:
    """Let virtual time pass while the event loop does nothing."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualTimeLoop)
    loop.time_selector.elapsed_s += EVENT_LOOP_DELAY_S


def kill_delay_for(deadline_s: float) -> float:
    """Return the time from SIGTERM to SIGKILL, in seconds, for the longest deadline of a request."""
    return min(deadline_s, 3.0) + KILL_AFTER_DEADLINE_S


@dataclass(slots=True)
class SentRequest:
    """A request, and how it ended for its client."""

    sent_at: float
    status: int | None = None
    ended_at: float | None = None  # when its response was complete, or its connection was closed without one


@dataclass(slots=True)
class Clients:
    """Clients that send one request after another on each connection until it is closed."""

    proxy: ProxyHarness
    deadline_s: float
    requests: list[SentRequest] = field(default_factory=list)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    request_numbers: Iterator[int] = field(default_factory=itertools.count)

    def open(self, delay_s: float = 0.0) -> None:
        """Open a connection, and send the first request on it after a delay."""
        self.tasks.append(asyncio.create_task(self._use(delay_s)))

    async def _use(self, delay_s: float) -> None:
        try:
            reader, writer = await self.proxy.connect()
        except ConnectionError:
            return
        if delay_s:
            await advance(delay_s)
        try:
            while await self._send(reader, writer):
                await asyncio.sleep(SEND_INTERVAL_S)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _send(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send a request and read its response; return whether the connection stays open."""
        request_id = f"call-{next(self.request_numbers)}"
        writer.write(request("pay", body=b"x", budget=f"{self.deadline_s}", X_Call_Id=request_id))
        sent = SentRequest(now_s())
        self.requests.append(sent)
        try:
            status_line, headers, _ = await read_message(reader)
            sent.status = int(status_line.split(" ")[1])
        finally:
            sent.ended_at = now_s()
        return headers.get("connection") != "close"

    async def end(self) -> None:
        """Stop all clients."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@asynccontextmanager
async def proxy_with_clients(
    deadline_s: float, *scripts: Callable[..., bytes | None], sockets: int = 1024
) -> AsyncIterator[tuple[ProxyHarness, Clients]]:
    """Run a sidecar whose requests have this deadline, and its clients."""
    classes = [
        each | {"deadline_us": int(deadline_s * SECOND_US), "latency_target_us": 20 * MILLISECOND_US}
        for each in CLASSES
    ]
    async with running_proxy(*scripts, classes=classes, sockets=sockets) as proxy:
        clients = Clients(proxy, deadline_s)
        try:
            yield proxy, clients
        finally:
            await clients.end()


def delay_one_response(monkeypatch: pytest.MonkeyPatch, from_s: float) -> None:
    """Delay the event loop once, when the sidecar is about to write its first response at or after a time."""
    delayed_at: list[float] = []
    answer = RequestLifecycle.answer

    def answer_late(
        requests: RequestLifecycle, active: ActiveRequest, status: int, headers: Headers, body: bytes
    ) -> None:
        if not delayed_at and now_s() >= from_s:
            delayed_at.append(now_s())
            delay_event_loop()
        answer(requests, active, status, headers, body)

    monkeypatch.setattr(RequestLifecycle, "answer", answer_late)


def unanswered_requests(clients: Clients, sigterm_at: float) -> list[SentRequest]:
    """Return the requests that had neither a response nor a close of their connection before SIGKILL.

    Requests that were sent too late after SIGTERM are left out.
    """
    sigkill_at = sigterm_at + kill_delay_for(clients.deadline_s)
    response_required = [
        each for each in clients.requests if each.sent_at <= min(sigterm_at + RESPONSE_REQUIRED_S, sigkill_at)
    ]
    return [each for each in response_required if each.ended_at is None or each.ended_at > sigkill_at]


@pytest.mark.parametrize("delay_before_kill_s", [0.4, 0.25, 0.15, 0.1])
@pytest.mark.parametrize(
    ("deadline_s", "is_signal_delayed"),
    [(0.05, False), (0.1, False), (0.1, True), (1.0, False), (1.0, True), (30.0, False), (30.0, True)],
)
def test_requests_at_hung_servers_are_answered_before_sigkill(
    deadline_s: float, delay_before_kill_s: float, is_signal_delayed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with proxy_with_clients(deadline_s, never_respond, never_respond) as (proxy, clients):
            kill_delay_s = kill_delay_for(deadline_s)
            first_request_delays_s = [kill_delay_s * number / CLIENT_COUNT for number in range(CLIENT_COUNT)]
            for delay_s in first_request_delays_s:
                clients.open(delay_s)  # some clients send their first request near the end
            await wait_until(lambda: len(proxy.sidecar.frontend.connections) == len(first_request_delays_s))
            sigterm_at = now_s()
            if is_signal_delayed:
                delay_event_loop()
            proxy.stop.set()
            delay_one_response(monkeypatch, sigterm_at + kill_delay_s - delay_before_kill_s)
            while now_s() < sigterm_at + NEW_CONNECTIONS_DURATION_S:
                clients.open()
                await advance(SEND_INTERVAL_S)
            while now_s() < sigterm_at + kill_delay_s:
                await asyncio.sleep(0.005)
            assert unanswered_requests(clients, sigterm_at) == []
            new_requests = [
                each
                for each in clients.requests
                if sigterm_at < each.sent_at < sigterm_at + NEW_CONNECTIONS_DURATION_S
            ]
            assert len(new_requests) > 10
            assert all(each.status is not None for each in new_requests)

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("is_signal_delayed", [False, True])
@pytest.mark.parametrize("deadline_s", [0.1, 1.0])
def test_request_completed_at_any_moment_of_a_shutdown_gets_a_response(
    deadline_s: float, is_signal_delayed: bool
) -> None:
    async def scenario() -> None:
        async with proxy_with_clients(deadline_s, never_respond) as (proxy, _):
            kill_delay_s = kill_delay_for(deadline_s)
            connections = [await proxy.connect() for _ in range(CLIENT_COUNT)]
            data = [
                request("pay", body=b"x", budget=f"{deadline_s}", X_Call_Id=f"{n}")
                for n in range(CLIENT_COUNT)
            ]
            for (_, writer), each in zip(connections, data, strict=True):
                writer.write(each[:-1])

            frontend = proxy.sidecar.frontend
            await wait_until(
                lambda: sum(each.has_partial_request() for each in frontend.connections) == CLIENT_COUNT
            )
            sigterm_at = now_s()
            if is_signal_delayed:
                delay_event_loop()
            proxy.stop.set()
            responses = [asyncio.create_task(read_message(reader)) for reader, _ in connections]
            for number, (_, writer) in enumerate(connections):
                await advance(max(sigterm_at + kill_delay_s * number / CLIENT_COUNT - now_s(), 0.0))
                if not responses[number].done():
                    writer.write(data[number][-1:])
            await advance(sigterm_at + kill_delay_s - now_s())
            assert all(each.done() and each.exception() is None for each in responses)
            for _, writer in connections:
                writer.close()

    run_in_virtual_time(scenario())
