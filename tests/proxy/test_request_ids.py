"""The id of a request in flight is not accepted for another request."""

from __future__ import annotations

import pytest
from balancer_harness import SECOND_US
from proxy_harness import (
    CLASSES,
    encode_response,
    read_response,
    request,
    respond_ok,
    run_scenario,
    running_proxy,
    wait_until,
)

from sidecar.balancer.events import ServerState
from sidecar.proxy.connection_table import ConnectionTable


def test_request_id_in_flight_is_rejected() -> None:
    async def scenario() -> None:
        async with running_proxy(lambda *_: None) as proxy:
            reader, writer = await proxy.connect()
            writer.write(request("pay", body=b"first", X_Call_Id="one"))
            await wait_until(proxy.server_requests)
            assert (await proxy.send_request(kind="pay", body=b"second", X_Call_Id="one"))[0] == 409
            proxy.servers[0].writers[0].write(encode_response(200, b"the first's"))
            assert (await read_response(reader))[2] == b"the first's"
            assert [body for _, _, body in proxy.server_requests()] == [b"first"]
            proxy.servers[0].script = respond_ok
            # The unsafe request was forwarded, and its client may not have received the response: its id is
            # rejected even after it has ended.
            assert (await proxy.send_request(kind="pay", body=b"third", X_Call_Id="one"))[0] == 409
            assert [body for _, _, body in proxy.server_requests()] == [b"first"]
            for kind, request_id in (("pay", "other"), ("look", "safe"), ("look", "safe")):
                assert (await proxy.send_request(kind=kind, X_Call_Id=request_id))[0] == 200
            writer.close()

    run_scenario(scenario())


def test_request_id_that_was_never_forwarded_is_free_at_once() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            proxy.servers[0].stop()
            assert (await proxy.send_request(kind="pay", X_Call_Id="one"))[0] == 503
            await proxy.servers[0].start()
            proxy.sidecar._pool.update("s-0", proxy.servers[0].address, None, ServerState.READY)
            assert (await proxy.send_request(kind="pay", X_Call_Id="one"))[0] == 200

    run_scenario(scenario())


def test_request_id_is_remembered_no_longer_than_its_deadline() -> None:
    async def scenario() -> None:
        classes = [each | {"deadline_us": 1 * SECOND_US} for each in CLASSES]
        async with running_proxy(respond_ok, classes=classes) as proxy:
            assert (await proxy.send_request(kind="pay", budget="1.0"))[0] == 200
            assert proxy.sidecar._active._ids_in_use
            await wait_until(lambda: not proxy.sidecar._active._ids_in_use)

    run_scenario(scenario())


def test_request_id_in_flight_is_rejected_under_overload_too(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against executing an unsafe request twice: a 503 says that a retry is safe, but the request in
    # flight with this id may have been executed.
    async def scenario() -> None:
        async with running_proxy(lambda *_: None) as proxy:
            _, writer = await proxy.connect()
            writer.write(request("pay", body=b"first", X_Call_Id="one"))
            await wait_until(proxy.server_requests)
            monkeypatch.setattr(ConnectionTable, "is_overloaded", lambda _: True)
            assert (await proxy.send_request(kind="pay", X_Call_Id="other"))[0] == 503
            assert (await proxy.send_request(kind="pay", X_Call_Id="one"))[0] == 409
            writer.close()

    run_scenario(scenario())
