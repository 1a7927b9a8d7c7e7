"""SIGTERM arrives while connections wait to be accepted."""

from __future__ import annotations

import asyncio

import pytest
from proxy_harness import (
    never_respond,
    read_response,
    request,
    respond_ok,
    run_scenario,
    running_proxy,
    wait_until,
)

from sidecar.proxy import shutdown


def test_drain_stops_listening_while_a_connection_waits_for_capacity(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(shutdown, "_ACCEPT_DURATION_S", 0.0)
    monkeypatch.setattr(shutdown, "_MAX_DEADLINE_S", 600.0)

    async def scenario() -> None:
        async with running_proxy(never_respond, sockets=66) as proxy:  # capacity for one client
            held, held_writer = await proxy.connect()
            held_writer.write(request("pay", body=b"held", budget="500"))
            await wait_until(proxy.server_requests)
            await wait_until(lambda: proxy.sidecar.frontend._accepting)
            waiting, waiting_writer = await proxy.connect()
            waiting_writer.write(request("pay", body=b"waits", budget="500", X_Call_Id="waits"))
            await wait_until(lambda: not proxy.sidecar.frontend._accepting)  # there is no capacity for it
            drain = asyncio.create_task(proxy.sidecar.drain())
            await wait_until(lambda: proxy.sidecar.frontend.draining)
            proxy.servers[0].script = respond_ok
            proxy.servers[0].writers[0].write(respond_ok())
            for reader in (held, waiting):
                status, headers, body = await read_response(reader)
                assert (status, headers["connection"], body) == (200, "close", b"served")
            for each in (held_writer, waiting_writer):
                each.close()
            await drain
            assert proxy.sidecar.frontend._sock.fileno() < 0

    run_scenario(scenario())
