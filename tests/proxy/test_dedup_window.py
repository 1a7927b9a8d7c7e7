"""Servers begin to forget a keyed request as a further attempt of it is written."""

from __future__ import annotations

import asyncio
import socket

import pytest
from balancer_harness import SECOND_US
from proxy_harness import (
    FakeServer,
    ProxyHarness,
    reset_connection,
    respond_ok,
    run_scenario,
    running_proxy,
    shrink_send_buffers,
    unread_listener,
    wait_until,
)

from sidecar.balancer.events import ServerState
from sidecar.proxy import connection_dialer, server_connection
from sidecar.proxy.addresses import Address
from sidecar.proxy.server_connection import ServerConnection


def other_than(proxy: ProxyHarness, first: FakeServer) -> str:
    (name,) = [each.name for each in proxy.servers if each is not first]
    return name


@pytest.mark.parametrize("late", [True, False])
def test_connection_comes_up_at_the_end_of_the_dedup_window(
    late: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    dialled, go_on = asyncio.Event(), asyncio.Event()
    dials: list[object] = []
    connect = server_connection.connect

    async def second_held_up(
        address: Address,
        max_body_bytes: int,
        response_timeout_s: float | None = None,
        sock: socket.socket | None = None,
    ) -> ServerConnection:
        dials.append(address)
        connection = await connect(address, max_body_bytes, response_timeout_s, sock)
        if len(dials) == 2:
            dialled.set()
            await go_on.wait()
        return connection

    monkeypatch.setattr(connection_dialer, "connect", second_held_up)

    async def scenario() -> None:
        async with running_proxy(reset_connection, reset_connection) as proxy:
            asked = asyncio.create_task(proxy.send_request(kind="amend", body=b"x", budget="500"))
            await dialled.wait()
            ((_, head, _),) = proxy.server_requests()
            (first,) = [each for each in proxy.servers if each.requests]
            for each in proxy.servers:
                each.script = respond_ok
            if late:
                proxy.sidecar._clock._offset_us += 2 * SECOND_US  # the window of the class
            go_on.set()
            status, _, body = await asked
            if late:
                assert (status, body) == (500, b"")
                assert len(proxy.server_requests()) == 1
                (kept,) = proxy.sidecar._pool.servers[other_than(proxy, first)].idle_connections
                assert kept.connection.is_idle()  # the connection serves others
            else:
                assert (status, body) == (200, b"served")
                assert [each["x-call-id"] for _, each, _ in proxy.server_requests()] == [
                    head["x-call-id"]
                ] * 2

    run_scenario(scenario())


def test_dedup_window_ends_while_the_retry_is_partly_written(monkeypatch: pytest.MonkeyPatch) -> None:
    shrink_send_buffers(monkeypatch)

    async def scenario() -> None:
        with unread_listener() as listener:
            async with running_proxy(reset_connection, reset_connection) as proxy:

                def breaks_and_leaves_the_other(*_: object) -> bytes:
                    (first,) = [each for each in proxy.servers if each.requests]
                    proxy.sidecar._pool.update(
                        other_than(proxy, first), listener.getsockname()[:2], None, ServerState.READY
                    )
                    return b""

                for each in proxy.servers:
                    each.script = breaks_and_leaves_the_other
                asked = asyncio.create_task(
                    proxy.send_request(kind="amend", body=bytes(60_000), budget="500")
                )
                await wait_until(
                    lambda: any(each.started_attempts == {0, 1} for each in proxy.sidecar._active)
                )
                (live,) = proxy.sidecar._active
                exchange = live.in_flight[1]
                assert exchange is not None
                assert not exchange.is_request_written()
                # asyncio's types leave out the callback of a timer.
                bound = proxy.sidecar._attempts._end_unwritten
                # Only the private attribute of a handle tells its callback.
                (timer,) = [each for each in exchange.timers if each._callback == bound]  # type: ignore[attr-defined]
                due = proxy.sidecar._clock.to_loop_time(proxy.sidecar._clock.now() + 2 * SECOND_US)
                assert timer.when() < due  # counted from the attempt before
                timer._run()
                assert (await asked)[0] == 500
                assert exchange.connection is not None
                assert not exchange.connection.request_written
                accepted, _ = listener.accept()
                with accepted:
                    got = sum(map(len, iter(lambda: accepted.recv(65536), b"")))
                assert 0 < got < 60_000

    run_scenario(scenario())
