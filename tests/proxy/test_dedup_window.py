"""The deduplication window of a keyed request ends while a retry is being sent."""

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


def name_of_other_server(proxy: ProxyHarness, server: FakeServer) -> str:
    """Return the name of the one of two servers that is not the given one."""
    (name,) = [each.name for each in proxy.servers if each is not server]
    return name


@pytest.mark.parametrize("is_late", [True, False])
def test_connection_opens_at_the_end_of_the_dedup_window(
    is_late: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    connected, proceed = asyncio.Event(), asyncio.Event()
    dialed_addresses: list[object] = []
    connect = server_connection.connect

    async def connect_and_delay_second(
        address: Address,
        max_body_bytes: int,
        response_timeout_s: float | None = None,
        sock: socket.socket | None = None,
    ) -> ServerConnection:
        dialed_addresses.append(address)
        connection = await connect(address, max_body_bytes, response_timeout_s, sock)
        if len(dialed_addresses) == 2:
            connected.set()
            await proceed.wait()
        return connection

    monkeypatch.setattr(connection_dialer, "connect", connect_and_delay_second)

    async def scenario() -> None:
        async with running_proxy(reset_connection, reset_connection) as proxy:
            sending = asyncio.create_task(proxy.send_request(kind="amend", body=b"x", budget="500"))
            await connected.wait()
            ((_, headers, _),) = proxy.server_requests()
            (first,) = [each for each in proxy.servers if each.requests]
            for each in proxy.servers:
                each.script = respond_ok
            if is_late:
                proxy.sidecar._clock._offset_us += 2 * SECOND_US  # the deduplication window of the class
            proceed.set()
            status, _, body = await sending
            if is_late:
                assert (status, body) == (500, b"")
                assert len(proxy.server_requests()) == 1
                (kept,) = proxy.sidecar._pool.servers[name_of_other_server(proxy, first)].idle_connections
                assert kept.connection.is_idle()  # the connection is kept for other requests
            else:
                assert (status, body) == (200, b"served")
                assert [each["x-call-id"] for _, each, _ in proxy.server_requests()] == [
                    headers["x-call-id"]
                ] * 2

    run_scenario(scenario())


def test_dedup_window_ends_while_the_retry_is_partly_written(monkeypatch: pytest.MonkeyPatch) -> None:
    shrink_send_buffers(monkeypatch)

    async def scenario() -> None:
        with unread_listener() as listener:
            async with running_proxy(reset_connection, reset_connection) as proxy:

                def reset_and_redirect_retry(*_: object) -> bytes:
                    (first,) = [each for each in proxy.servers if each.requests]
                    proxy.sidecar._pool.update(
                        name_of_other_server(proxy, first),
                        listener.getsockname()[:2],
                        None,
                        ServerState.READY,
                    )
                    return b""

                for each in proxy.servers:
                    each.script = reset_and_redirect_retry
                sending = asyncio.create_task(
                    proxy.send_request(kind="amend", body=bytes(60_000), budget="500")
                )
                await wait_until(
                    lambda: any(each.started_attempts == {0, 1} for each in proxy.sidecar._active)
                )
                (active,) = proxy.sidecar._active
                exchange = active.in_flight[1]
                assert exchange is not None
                assert not exchange.is_request_written()
                end_unwritten = proxy.sidecar._attempts._end_unwritten
                # The callback of a timer handle is a private attribute, which asyncio's types omit.
                (timer,) = [each for each in exchange.timers if each._callback == end_unwritten]  # type: ignore[attr-defined]
                window_end = proxy.sidecar._clock.to_loop_time(proxy.sidecar._clock.now() + 2 * SECOND_US)
                assert timer.when() < window_end  # the window began with the first attempt
                timer._run()
                assert (await sending)[0] == 500
                assert exchange.connection is not None
                assert not exchange.connection.is_request_written
                accepted, _ = listener.accept()
                with accepted:
                    received = sum(map(len, iter(lambda: accepted.recv(65536), b"")))
                assert 0 < received < 60_000

    run_scenario(scenario())
