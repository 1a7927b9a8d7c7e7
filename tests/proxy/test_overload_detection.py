"""New connections are rejected while the event loop lags and many connections carry requests."""

from __future__ import annotations

import asyncio
import time

import pytest
from proxy_harness import (
    LIMITS,
    read_response,
    request,
    respond_ok,
    run_scenario,
    running_proxy,
    wait_for_eof,
    wait_until,
)

from sidecar.proxy.connection_state import STATE_TIME_LIMITS_S, ConnectionState


def test_new_connections_are_rejected_while_overloaded_and_served_afterwards(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Each of them gets a response: a request whose connection is closed without one counts as lost.
    # The limit does not recover, so the sidecar stays overloaded until the clients have disconnected.
    monkeypatch.setattr("sidecar.proxy.overload._LIMIT_INCREASE", 1.0)
    limits = LIMITS | {"retry_after": True, "max_retry_after_us": 750_000}

    async def scenario() -> None:
        async with running_proxy(lambda *_: None, limits=limits) as proxy:
            address = proxy.sidecar.frontend.address
            held_connections = [await asyncio.open_connection(*address) for _ in range(40)]
            for number, (_, writer) in enumerate(held_connections):
                writer.write(request(X_Call_Id=f"held-{number}", budget="500"))
            await wait_until(lambda: len(proxy.server_requests()) == len(held_connections))

            def is_limited_after_lag() -> bool:
                time.sleep(0.15)  # longer than the sweep interval
                return proxy.sidecar.frontend.table._overload.active_limit < 33

            await wait_until(is_limited_after_lag)
            reader, writer = await asyncio.open_connection(*address)
            writer.write(request("pay", body=b"x", X_Call_Id="new"))
            status, headers, _ = await read_response(reader)
            assert (status, headers["retry-after"], headers["connection"]) == (503, "0.750", "close")
            assert await wait_for_eof(reader)
            writer.close()
            assert len(proxy.server_requests()) == len(held_connections)
            for _, writer in held_connections:
                writer.close()
            await wait_until(lambda: not proxy.sidecar.frontend.table.is_overloaded())
            proxy.servers[0].script = respond_ok
            assert (await proxy.send_request(X_Call_Id="after"))[0] == 200

    run_scenario(scenario())


def test_silent_clients_do_not_count_as_load_after_a_lag(monkeypatch: pytest.MonkeyPatch) -> None:
    # A table full of silent connections does not mean that the CPU cannot keep up with the requests.
    # The limit does not recover after a late sweep.
    monkeypatch.setattr("sidecar.proxy.overload._LIMIT_INCREASE", 1.0)
    monkeypatch.setitem(STATE_TIME_LIMITS_S, ConnectionState.READING, 600.0)

    async def scenario() -> None:
        async with running_proxy(respond_ok, sockets=144) as proxy:
            frontend = proxy.sidecar.frontend
            capacity = frontend.table.capacity
            assert capacity == 40
            clients = [await asyncio.open_connection(*frontend.address) for _ in range(capacity)]
            await wait_until(lambda: len(frontend.connections) == capacity)

            def is_limited_after_lag() -> bool:
                time.sleep(0.15)  # longer than the sweep interval
                return frontend.table._overload.active_limit == 32

            await wait_until(is_limited_after_lag)
            sweep_due_before = frontend.table._sweep_due
            # A sweep has run since the last client connected.
            await wait_until(lambda: frontend.table._sweep_due > sweep_due_before)
            status, _, body = await proxy.send_request(kind="pay", body=b"x")
            assert (status, body) == (200, b"served")
            # Connections with a partial request do count.
            for _, writer in clients:
                writer.write(request()[:20])
            reading = frontend.table._by_state[ConnectionState.READING]
            await wait_until(lambda: len([each for each in reading if each.has_partial_request()]) >= 32)
            await wait_until(lambda: not frontend.table._silent)
            assert frontend.table.is_overloaded()
            for _, writer in clients:
                writer.close()

    run_scenario(scenario())
