"""The time that a request waits to be read counts against its budget.  Tests advance the clock."""

from __future__ import annotations

import asyncio
import contextlib
import selectors
import socket
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

import pytest
from proxy_harness import (
    ProxyHarness,
    encode_response,
    never_respond,
    read_response,
    request,
    respond_ok,
    running_proxy,
    wait_until,
)

from sidecar.proxy.addresses import Address
from sidecar.proxy.clock import Clock as SidecarClock
from sidecar.proxy.event_loop import EventLoop, PollTimingSelector

STALL_S = 0.4
BUDGET_S = 1.0
DEADLINE_TOLERANCE_S = 0.15  # how far a deadline may be later than the client's


class AdvanceableClock:
    """The machine's clock, which tests advance by the time for which a process counts as stopped."""

    def __init__(self) -> None:
        self._skipped_s = 0.0

    def __call__(self) -> float:
        return time.monotonic() + self._skipped_s

    def skip(self, seconds: float) -> None:
        self._skipped_s += seconds


def run_with_stalls(scenario: Callable[[AdvanceableClock], Coroutine[Any, Any, None]]) -> None:
    """Run a test on an event loop whose clock it can advance; the sidecar reads that clock, too."""
    clock = AdvanceableClock()

    async def bounded() -> None:
        async with asyncio.timeout(60.0):
            await scenario(clock)

    def now(sidecar_clock: SidecarClock) -> int:
        return int(clock() * 1e6) + sidecar_clock._offset_us

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(SidecarClock, "now", now)
        with asyncio.Runner(loop_factory=lambda: EventLoop(clock)) as runner:
            runner.run(bounded())


def forwarded_budget_s(head: dict[str, str]) -> float:
    return float(head["x-budget"])


class Client:
    """A client whose bytes are in the sidecar's kernel once sent, without an event loop iteration."""

    def __init__(self, address: Address) -> None:
        self.sock = socket.create_connection(address)

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    async def read_status(self) -> int:
        self.sock.setblocking(False)
        reader, _ = await asyncio.open_connection(sock=self.sock)
        return (await read_response(reader))[0]


@contextlib.asynccontextmanager
async def connected_client(proxy: ProxyHarness) -> AsyncIterator[Client]:
    """Connect a client; the sidecar has accepted the connection and polled it without finding data."""
    client = Client(proxy.sidecar.frontend.address)
    await wait_until(lambda: proxy.sidecar.frontend.connections)
    await asyncio.sleep(0.01)
    try:
        yield client
    finally:
        client.sock.close()


def test_forwarded_budget_excludes_the_wait_for_a_busy_event_loop() -> None:
    async def scenario(clock: AdvanceableClock) -> None:
        async with running_proxy(respond_ok) as proxy, connected_client(proxy) as client:
            client.send(request(budget=f"{BUDGET_S}"))
            clock.skip(STALL_S)
            assert await client.read_status() == 200
            assert forwarded_budget_s(proxy.server_requests()[0][1]) <= BUDGET_S - STALL_S

    run_with_stalls(scenario)


def test_forwarded_budget_excludes_the_wait_to_be_accepted() -> None:
    async def scenario(clock: AdvanceableClock) -> None:
        async with running_proxy(respond_ok) as proxy:
            await wait_until(lambda: proxy.sidecar.frontend._accepting)
            proxy.sidecar.frontend._pause_accepting()
            client = Client(proxy.sidecar.frontend.address)
            client.send(request(budget=f"{BUDGET_S}"))
            clock.skip(STALL_S)
            await asyncio.sleep(0.01)  # the event loop polls meanwhile, but not for new connections
            proxy.sidecar.frontend._resume_accepting()
            assert await client.read_status() == 200
            assert forwarded_budget_s(proxy.server_requests()[0][1]) <= BUDGET_S - STALL_S

    run_with_stalls(scenario)


def test_forwarded_budget_excludes_the_wait_of_a_new_connection_for_a_busy_event_loop() -> None:
    async def scenario(clock: AdvanceableClock) -> None:
        async with running_proxy(respond_ok) as proxy:
            await wait_until(lambda: proxy.sidecar.frontend._accepting)
            await asyncio.sleep(0.01)
            client = Client(proxy.sidecar.frontend.address)
            client.send(request(budget=f"{BUDGET_S}"))
            clock.skip(STALL_S)
            assert await client.read_status() == 200
            assert forwarded_budget_s(proxy.server_requests()[0][1]) <= BUDGET_S - STALL_S

    run_with_stalls(scenario)


def test_forwarded_budget_excludes_the_wait_behind_another_request() -> None:
    async def scenario(clock: AdvanceableClock) -> None:
        async with running_proxy(never_respond) as proxy, connected_client(proxy) as client:
            client.send(request(X_Call_Id="first"))
            await wait_until(proxy.server_requests)
            client.send(request(X_Call_Id="second", budget=f"{BUDGET_S}"))
            (connection,) = proxy.sidecar.frontend.connections
            await wait_until(connection.has_partial_request)
            clock.skip(STALL_S)
            proxy.servers[0].script = respond_ok
            proxy.servers[0].writers[0].write(encode_response(200, b"late"))
            await wait_until(lambda: len(proxy.server_requests()) == 2)
            assert forwarded_budget_s(proxy.server_requests()[1][1]) <= BUDGET_S - STALL_S

    run_with_stalls(scenario)


@pytest.mark.parametrize("kind", ["look", "pay"])
def test_request_read_after_its_deadline_is_rejected_and_not_forwarded(kind: str) -> None:
    async def scenario(clock: AdvanceableClock) -> None:
        async with running_proxy(respond_ok) as proxy, connected_client(proxy) as client:
            client.send(request(kind, budget=f"{STALL_S / 2}"))
            clock.skip(STALL_S)
            assert await client.read_status() == 503
            assert not proxy.server_requests()

    run_with_stalls(scenario)


def test_deadline_counts_from_when_the_client_sent_the_request() -> None:
    async def scenario(clock: AdvanceableClock) -> None:
        async with running_proxy(never_respond) as proxy, connected_client(proxy) as client:
            sent_at = clock()
            client.send(request(budget=f"{BUDGET_S}"))
            clock.skip(STALL_S)
            await wait_until(proxy.server_requests)
            (active_request,) = proxy.sidecar._active
            deadline = proxy.sidecar._clock.to_loop_time(active_request.deadline_us)
            assert deadline <= sent_at + BUDGET_S + DEADLINE_TOLERANCE_S

    run_with_stalls(scenario)


def test_request_that_arrives_after_a_stall_keeps_its_budget() -> None:
    async def scenario(clock: AdvanceableClock) -> None:
        async with running_proxy(respond_ok) as proxy, connected_client(proxy) as client:
            clock.skip(STALL_S)
            await asyncio.sleep(0.01)
            client.send(request(budget=f"{BUDGET_S}"))
            assert await client.read_status() == 200
            assert forwarded_budget_s(proxy.server_requests()[0][1]) > BUDGET_S - STALL_S / 2
            # The same holds on a connection opened after the stall.
            assert (await proxy.send_request(budget=f"{BUDGET_S}"))[0] == 200
            assert forwarded_budget_s(proxy.server_requests()[1][1]) > BUDGET_S - STALL_S / 2

    run_with_stalls(scenario)


class ManualClock:
    """A clock that the test advances, also in each poll with a timeout."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.mark.parametrize(
    ("busy_s", "polled_s", "timeout_s", "waited_s"),
    [
        (0.0, 0.05, 0.1, 0.0),  # the event ended the poll
        (0.0, 0.1, 0.1, 0.0),
        (0.0, 0.4, 0.1, 0.4),  # stopped during the poll: the event may have occurred at any time of it
        (0.4, 0.0, 0.1, 0.4),  # the event occurred while callbacks ran
        (0.4, 0.0, 0.0, 0.4),
        (0.004, 0.0, 0.1, 0.0),  # no longer than an ordinary iteration
    ],
)
def test_poll_bounds_how_long_its_events_have_waited(
    monkeypatch: pytest.MonkeyPatch, busy_s: float, polled_s: float, timeout_s: float, waited_s: float
) -> None:
    clock = ManualClock()
    with PollTimingSelector(clock) as selector, contextlib.ExitStack() as stack:
        reading, writing = (stack.enter_context(each) for each in socket.socketpair())
        selector.register(reading, selectors.EVENT_READ)
        select = selectors.DefaultSelector.select

        def advance_and_select(self: selectors.DefaultSelector, timeout: float | None = None) -> object:
            if timeout:
                clock.now += polled_s
            return select(self, timeout)

        monkeypatch.setattr(selectors.DefaultSelector, "select", advance_and_select)
        writing.send(b"x")
        clock.now += busy_s
        assert selector.select(timeout_s)
        assert clock.now - selector.earliest_arrival == pytest.approx(waited_s)
