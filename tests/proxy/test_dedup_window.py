"""Servers begin to forget a keyed request as a further attempt of it is written."""

from __future__ import annotations

import asyncio
import socket

import pytest
from helpers import S
from loopback import FakeServer, World, broken, play, served, shrink_send_buffers, unread, until, world

from sidecar.balancer.events import ServerState
from sidecar.proxy import connection_dialer, server_connection
from sidecar.proxy.addresses import Address
from sidecar.proxy.server_connection import Connection


def other_than(w: World, first: FakeServer) -> str:
    (name,) = [each.name for each in w.servers if each is not first]
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
    ) -> Connection:
        dials.append(address)
        connection = await connect(address, max_body_bytes, response_timeout_s, sock)
        if len(dials) == 2:
            dialled.set()
            await go_on.wait()
        return connection

    monkeypatch.setattr(connection_dialer, "connect", second_held_up)

    async def scene() -> None:
        async with world(broken, broken) as w:
            asked = asyncio.create_task(w.ask(kind="amend", body=b"x", budget="500"))
            await dialled.wait()
            ((_, head, _),) = w.sent()
            (first,) = [each for each in w.servers if each.requests]
            for each in w.servers:
                each.script = served
            if late:
                w.sidecar._clock._offset_us += 2 * S  # the window of the class
            go_on.set()
            status, _, body = await asked
            if late:
                assert (status, body) == (500, b"")
                assert len(w.sent()) == 1
                (kept,) = w.sidecar._pool.servers[other_than(w, first)].idle
                assert kept.connection.is_idle()  # the connection serves others
            else:
                assert (status, body) == (200, b"served")
                assert [each["x-call-id"] for _, each, _ in w.sent()] == [head["x-call-id"]] * 2

    play(scene())


def test_dedup_window_ends_while_the_retry_is_partly_written(monkeypatch: pytest.MonkeyPatch) -> None:
    shrink_send_buffers(monkeypatch)

    async def scene() -> None:
        with unread() as listener:
            async with world(broken, broken) as w:

                def breaks_and_leaves_the_other(*_: object) -> bytes:
                    (first,) = [each for each in w.servers if each.requests]
                    w.sidecar._pool.update(
                        other_than(w, first), listener.getsockname()[:2], None, ServerState.READY
                    )
                    return b""

                for each in w.servers:
                    each.script = breaks_and_leaves_the_other
                asked = asyncio.create_task(w.ask(kind="amend", body=bytes(60_000), budget="500"))
                await until(lambda: any(each.started == {0, 1} for each in w.sidecar._active))
                (live,) = w.sidecar._active
                exchange = live.in_flight[1]
                assert exchange is not None
                assert not exchange.is_written()
                # asyncio's types leave out the callback of a timer.
                bound = w.sidecar._attempts._end_unwritten
                (timer,) = [each for each in exchange.timers if each._callback == bound]  # type: ignore[attr-defined]
                due = w.sidecar._clock.to_loop_time(w.sidecar._clock.now() + 2 * S)
                assert timer.when() < due  # counted from the attempt before
                timer._run()
                assert (await asked)[0] == 500
                assert exchange.connection is not None
                assert not exchange.connection.request_written
                accepted, _ = listener.accept()
                with accepted:
                    got = sum(map(len, iter(lambda: accepted.recv(65536), b"")))
                assert 0 < got < 60_000

    play(scene())
