"""The id of a request in flight is not accepted for another request."""

from __future__ import annotations

import asyncio
import tracemalloc
from collections.abc import Callable

import pytest
from balancer_harness import SECOND_US
from proxy_harness import (
    CLASSES,
    encode_response,
    never_respond,
    read_response,
    request,
    respond_ok,
    run_scenario,
    running_proxy,
    send_request,
    wait_until,
)
from virtual_time import advance, run_in_virtual_time

from sidecar.balancer.events import ServerState
from sidecar.proxy import request_ids
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


# Guards against ids that use up memory: beyond a number, none is remembered longer than its deadline.
@pytest.mark.parametrize("max_remembered", [0, 2])
def test_request_id_is_remembered_no_longer_than_its_deadline(
    max_remembered: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(request_ids, "MAX_REMEMBERED_IDS", max_remembered)

    async def scenario() -> None:
        classes = [each | {"deadline_us": 1 * SECOND_US} for each in CLASSES]
        async with running_proxy(respond_ok, classes=classes) as proxy:
            for number in range(5):
                status, _, _ = await proxy.send_request(kind="pay", X_Call_Id=f"{number}", budget="1.0")
                assert status == 200
            assert len(proxy.sidecar._active._ids) > max_remembered
            await wait_until(lambda: len(proxy.sidecar._active._ids) == max_remembered)
            # The latest ones are remembered.
            for number in range(5 - max_remembered, 5):
                status, _, _ = await proxy.send_request(kind="pay", X_Call_Id=f"{number}", budget="1.0")
                assert status == 409
            assert (await proxy.send_request(kind="pay", X_Call_Id="0", budget="1.0"))[0] == 200

    run_scenario(scenario())


# Guards against running a request again whose client left, and sends it again after its deadline.
@pytest.mark.parametrize("script", [respond_ok, never_respond])
@pytest.mark.parametrize("after_s", [0.1, 0.9, 1.5, 2.5, 30.0])
def test_request_that_comes_again_after_its_client_has_left_does_not_run_again(
    script: Callable[..., bytes | None], after_s: float
) -> None:
    async def scenario() -> None:
        classes = [each | {"deadline_us": 1 * SECOND_US} for each in CLASSES]
        async with running_proxy(script, respond_ok, classes=classes) as proxy:
            data = request("pay", body=b"once", X_Call_Id="one", budget="1.0")
            _, writer = await proxy.connect()
            writer.write(data)
            await wait_until(proxy.server_requests)
            writer.close()
            await advance(after_s)
            assert (await send_request(proxy.sidecar.frontend.address, data))[0] == 409
            assert len(proxy.server_requests()) == 1

    run_in_virtual_time(scenario())


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


# Guards against megabytes of memory for long ids that have to be remembered (issue 39).
def test_remembered_ids_take_little_memory_however_long_they_are() -> None:
    async def scenario() -> None:
        ids = request_ids.RequestIds()
        tracemalloc.start()
        try:
            for number in range(request_ids.MAX_REMEMBERED_IDS):
                ids.release_executed(f"{number:0256x}", 0.0)
            for _ in range(3):
                await asyncio.sleep(0)  # all timers are due
            kept = tracemalloc.take_snapshot().filter_traces(
                [tracemalloc.Filter(True, __file__), tracemalloc.Filter(True, request_ids.__file__)]
            )
        finally:
            tracemalloc.stop()
        kept_bytes = sum(each.size for each in kept.statistics("filename"))
        assert kept_bytes < request_ids.MAX_REMEMBERED_IDS * request_ids.REMEMBERED_ID_BYTES
        assert f"{7:0256x}" in ids
        assert "7" not in ids

    run_scenario(scenario())
