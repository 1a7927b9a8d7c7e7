"""The id of a request in flight is not accepted for another one."""

from __future__ import annotations

import pytest
from balancer_harness import SECOND_US
from loopback import (
    CLASSES,
    answer,
    play,
    read_answer,
    request,
    served,
    until,
    world,
)

from sidecar.balancer.events import ServerState
from sidecar.proxy.connection_table import ConnectionTable


def test_request_id_in_flight_is_rejected() -> None:
    async def scene() -> None:
        async with world(lambda *_: None) as w:
            reader, writer = await w.connect()
            writer.write(request("pay", body=b"first", X_Call_Id="one"))
            await until(w.sent)
            assert (await w.ask(kind="pay", body=b"second", X_Call_Id="one"))[0] == 409
            w.servers[0].writers[0].write(answer(200, b"the first's"))
            assert (await read_answer(reader))[2] == b"the first's"
            assert [body for _, _, body in w.sent()] == [b"first"]
            w.servers[0].script = served
            # An unsafe request was forwarded, and its client may not have the response: rejected even then.
            assert (await w.ask(kind="pay", body=b"third", X_Call_Id="one"))[0] == 409
            assert [body for _, _, body in w.sent()] == [b"first"]
            for kind, ident in (("pay", "other"), ("look", "safe"), ("look", "safe")):
                assert (await w.ask(kind=kind, X_Call_Id=ident))[0] == 200
            writer.close()

    play(scene())


def test_request_id_that_was_never_forwarded_is_free_at_once() -> None:
    async def scene() -> None:
        async with world(served) as w:
            w.servers[0].stop()
            assert (await w.ask(kind="pay", X_Call_Id="one"))[0] == 503
            await w.servers[0].start()
            w.sidecar._pool.update("s-0", w.servers[0].address, None, ServerState.READY)
            assert (await w.ask(kind="pay", X_Call_Id="one"))[0] == 200

    play(scene())


def test_request_id_is_remembered_no_longer_than_its_deadline() -> None:
    async def scene() -> None:
        classes = [each | {"deadline_us": 1 * SECOND_US} for each in CLASSES]
        async with world(served, classes=classes) as w:
            assert (await w.ask(kind="pay", budget="1.0"))[0] == 200
            assert w.sidecar._active._ids_in_use
            await until(lambda: not w.sidecar._active._ids_in_use)

    play(scene())


def test_request_id_in_flight_is_rejected_under_overload_too(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards rule 2: a 503 says that a retry is safe, and the other request may have been executed.
    async def scene() -> None:
        async with world(lambda *_: None) as w:
            _, writer = await w.connect()
            writer.write(request("pay", body=b"first", X_Call_Id="one"))
            await until(w.sent)
            monkeypatch.setattr(ConnectionTable, "is_overloaded", lambda _: True)
            assert (await w.ask(kind="pay", X_Call_Id="other"))[0] == 503
            assert (await w.ask(kind="pay", X_Call_Id="one"))[0] == 409
            writer.close()

    play(scene())
