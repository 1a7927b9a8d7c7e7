"""A client sends far ahead, or disconnects, while its request is in flight."""

from __future__ import annotations

import asyncio

import pytest
from loopback import (
    World,
    hung,
    is_closed,
    play,
    read_answer,
    request,
    served,
    until,
    world,
)


async def flood(w: World, held: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a request that is held at its server, and then more than is kept."""
    reader, writer = await w.connect()
    writer.write(held)
    await until(w.sent)
    ahead = request("pay", body=bytes(60_000), X_Call_Id="ahead")
    writer.write(ahead * 50)  # more than the kernel holds
    return reader, writer


def test_client_that_pipelines_too_much_disconnects_while_its_request_is_in_flight() -> None:
    async def scene() -> None:
        async with world(hung) as w:
            _, writer = await flood(w, request("pay", body=b"held", budget="500"))
            writer.close()  # its end comes behind all that
            await until(lambda: w.servers[0].closed == 1)
            assert not w.sidecar._active
            assert len(w.sent()) == 1

    play(scene())


def test_client_that_pipelines_too_much_gets_its_response_and_a_close() -> None:
    async def scene() -> None:
        async with world(hung) as w:
            reader, writer = await flood(w, request("pay", body=b"held", budget="500"))
            (connection,) = w.sidecar.frontend.connections
            await until(lambda: connection._discarded_bytes)
            w.servers[0].writers[0].write(served())
            status, headers, body = await read_answer(reader)
            assert (status, headers["connection"], body) == (200, "close", b"served")
            assert await is_closed(reader)
            assert len(w.sent()) == 1
            writer.close()

    play(scene())


def test_client_that_never_stops_sending_gets_its_response_and_a_close(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("sidecar.proxy.client_connection._MAX_DISCARDED_BYTES", 1024 * 1024)

    async def scene() -> None:
        async with world(hung) as w:
            reader, writer = await flood(w, request("pay", body=b"held", budget="500"))
            status, headers, _ = await read_answer(reader)
            assert (status, headers["connection"]) == (500, "close")
            assert await is_closed(reader)
            await until(lambda: w.servers[0].closed == 1)
            writer.close()

    play(scene())
