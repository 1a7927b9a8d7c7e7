"""A shutdown under a virtual clock: what was taken has its answer before SIGKILL may come."""

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
OWED_S = 0.7  # what comes later after SIGTERM may stay without an answer
NEW_CONNECTIONS_S = 0.4
HOLD_UP_S = 0.15
SEND_EVERY_S = 0.013
CLIENTS = 60  # that have a connection before SIGTERM


def hold_up() -> None:
    """Let time pass with nothing done."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualTimeLoop)
    loop.time_selector.elapsed_s += HOLD_UP_S


def kill_after_s(deadline_s: float) -> float:
    return min(deadline_s, 3.0) + KILL_AFTER_DEADLINE_S


@dataclass(slots=True)
class Sent:
    """A request, and what its client saw of it."""

    sent_at: float
    status: int | None = None
    ended_at: float | None = None  # answered whole, or its connection ended without an answer


@dataclass(slots=True)
class Clients:
    """Clients that send again on every connection that stays open."""

    proxy: ProxyHarness
    deadline_s: float
    sent: list[Sent] = field(default_factory=list)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    numbers: Iterator[int] = field(default_factory=itertools.count)

    def open(self, wait_s: float = 0.0) -> None:
        """Open a connection, and send on it after a while."""
        self.tasks.append(asyncio.create_task(self._use(wait_s)))

    async def _use(self, wait_s: float) -> None:
        try:
            reader, writer = await self.proxy.connect()
        except ConnectionError:
            return
        if wait_s:
            await advance(wait_s)
        try:
            while await self._send(reader, writer):
                await asyncio.sleep(SEND_EVERY_S)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _send(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        ident = f"call-{next(self.numbers)}"
        writer.write(request("pay", body=b"x", budget=f"{self.deadline_s}", X_Call_Id=ident))
        sent = Sent(now_s())
        self.sent.append(sent)
        try:
            first, headers, _ = await read_message(reader)
            sent.status = int(first.split(" ")[1])
        finally:
            sent.ended_at = now_s()
        return headers.get("connection") != "close"

    async def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@asynccontextmanager
async def scene_of(
    deadline_s: float, *scripts: Callable[..., bytes | None], sockets: int = 1024
) -> AsyncIterator[tuple[ProxyHarness, Clients]]:
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


def hold_up_at_an_answer(monkeypatch: pytest.MonkeyPatch, from_s: float) -> None:
    """Hold the sidecar up once, as it is about to write its first answer at or after this time."""
    held: list[float] = []
    answer = RequestLifecycle.answer

    def late(
        requests: RequestLifecycle, active: ActiveRequest, status: int, headers: Headers, body: bytes
    ) -> None:
        if not held and now_s() >= from_s:
            held.append(now_s())
            hold_up()
        answer(requests, active, status, headers, body)

    monkeypatch.setattr(RequestLifecycle, "answer", late)


def lost(clients: Clients, began: float) -> list[Sent]:
    """What was taken, and neither answered nor crossed by a close of its connection by SIGKILL."""
    kill = began + kill_after_s(clients.deadline_s)
    owed = [each for each in clients.sent if each.sent_at <= min(began + OWED_S, kill)]
    return [each for each in owed if each.ended_at is None or each.ended_at > kill]


@pytest.mark.parametrize("held_before_kill_s", [0.4, 0.25, 0.15, 0.1])
@pytest.mark.parametrize(
    ("deadline_s", "noticed_late"),
    [(0.05, False), (0.1, False), (0.1, True), (1.0, False), (1.0, True), (30.0, False), (30.0, True)],
)
def test_requests_at_hung_servers_are_answered_before_sigkill(
    deadline_s: float, held_before_kill_s: float, noticed_late: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with scene_of(deadline_s, never_respond, never_respond) as (proxy, clients):
            kill_s = kill_after_s(deadline_s)
            waits_s = [kill_s * number / CLIENTS for number in range(CLIENTS)]
            for wait_s in waits_s:
                clients.open(wait_s)  # some clients use their connection for the first time near the end
            await wait_until(lambda: len(proxy.sidecar.frontend.connections) == len(waits_s))
            began = now_s()
            if noticed_late:
                hold_up()
            proxy.stop.set()
            hold_up_at_an_answer(monkeypatch, began + kill_s - held_before_kill_s)
            while now_s() < began + NEW_CONNECTIONS_S:
                clients.open()
                await advance(SEND_EVERY_S)
            while now_s() < began + kill_s:
                await asyncio.sleep(0.005)
            assert lost(clients, began) == []
            new = [each for each in clients.sent if began < each.sent_at < began + NEW_CONNECTIONS_S]
            assert len(new) > 10
            assert all(each.status is not None for each in new)

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("noticed_late", [False, True])
@pytest.mark.parametrize("deadline_s", [0.1, 1.0])
def test_request_completed_at_any_moment_of_a_shutdown_gets_a_response(
    deadline_s: float, noticed_late: bool
) -> None:
    async def scenario() -> None:
        async with scene_of(deadline_s, never_respond) as (proxy, _):
            kill_s = kill_after_s(deadline_s)
            opened = [await proxy.connect() for _ in range(CLIENTS)]
            data = [
                request("pay", body=b"x", budget=f"{deadline_s}", X_Call_Id=f"{n}") for n in range(CLIENTS)
            ]
            for (_, writer), each in zip(opened, data, strict=True):
                writer.write(each[:-1])

            frontend = proxy.sidecar.frontend
            await wait_until(
                lambda: sum(each.has_partial_request() for each in frontend.connections) == CLIENTS
            )
            began = now_s()
            if noticed_late:
                hold_up()
            proxy.stop.set()
            reads = [asyncio.create_task(read_message(reader)) for reader, _ in opened]
            for number, (_, writer) in enumerate(opened):
                await advance(max(began + kill_s * number / CLIENTS - now_s(), 0.0))
                if not reads[number].done():
                    writer.write(data[number][-1:])
            await advance(began + kill_s - now_s())
            assert all(each.done() and each.exception() is None for each in reads)
            for _, writer in opened:
                writer.close()

    run_in_virtual_time(scenario())
