"""SIGTERM arrives while connections wait to be accepted."""

from __future__ import annotations

import asyncio

import pytest
from loopback import (
    hung,
    play,
    read_answer,
    request,
    served,
    until,
    world,
)

from sidecar.proxy import shutdown


def test_drain_stops_listening_while_a_connection_waits_for_capacity(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(shutdown, "_ACCEPT_S", 0.0)
    monkeypatch.setattr(shutdown, "_MAX_DEADLINE_S", 600.0)

    async def scene() -> None:
        async with world(hung, sockets=66) as w:  # room for one client
            held, held_writer = await w.connect()
            held_writer.write(request("pay", body=b"held", budget="500"))
            await until(w.sent)
            await until(lambda: w.sidecar.frontend._accepting)
            waiting, waiting_writer = await w.connect()
            waiting_writer.write(request("pay", body=b"waits", budget="500", X_Call_Id="waits"))
            await until(lambda: not w.sidecar.frontend._accepting)  # there was no room for it
            drained = asyncio.create_task(w.sidecar.drain())
            await until(lambda: w.sidecar.frontend.draining)
            w.servers[0].script = served
            w.servers[0].writers[0].write(served())
            for reader in (held, waiting):
                status, headers, body = await read_answer(reader)
                assert (status, headers["connection"], body) == (200, "close", b"served")
            for each in (held_writer, waiting_writer):
                each.close()
            await drained
            assert w.sidecar.frontend._sock.fileno() < 0

    play(scene())
