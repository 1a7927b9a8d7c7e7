"""One client that sends requests faster than they are answered neither delays others nor uses up memory."""

from __future__ import annotations

import asyncio

from proxy_harness import (
    ProxyHarness,
    read_response,
    request,
    respond_ok,
    run_scenario,
    running_proxy,
    wait_until,
)

from sidecar.proxy.request_reader import MAX_BODY_BYTES

READINESS_CHECK = b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n"
FLOOD_COUNT = 8_000  # several reads
# A connection reads on below this, and one read may add as much.
MAX_UNREAD_BYTES = 2 * MAX_BODY_BYTES


async def answer_others(proxy: ProxyHarness, flood: asyncio.Task[None]) -> int:
    """Send requests until the flood is over; return the largest size of unread data that was seen."""
    largest = 0
    while not flood.done():
        largest = max([largest, *(len(each._reader.unread) for each in proxy.sidecar.frontend.connections)])
        assert (await proxy.send_request())[2] == b"served"
    return largest


async def send_flood(proxy: ProxyHarness, data: bytes) -> None:
    """Send many requests at once, and read as many responses."""
    reader, writer = await proxy.connect()
    writer.write(data * FLOOD_COUNT)
    for _ in range(FLOOD_COUNT):
        assert (await read_response(reader))[0] in (200, 503)
    writer.close()


# Guards against reading on while the requests that were read wait for their turn.
def test_flood_of_requests_that_need_no_server_is_read_no_faster_than_it_is_answered() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            flood = asyncio.create_task(send_flood(proxy, READINESS_CHECK))
            largest = await answer_others(proxy, flood)
            await flood
            assert 0 < largest <= MAX_UNREAD_BYTES

    run_scenario(scenario())


def test_flood_of_requests_without_time_left_is_read_no_faster_than_it_is_answered() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            flood = asyncio.create_task(send_flood(proxy, request(budget="0.000", X_Call_Id="none")))
            largest = await answer_others(proxy, flood)
            await flood
            assert largest <= MAX_UNREAD_BYTES

    run_scenario(scenario())


def test_request_behind_a_flood_is_not_sent_on_after_its_client_has_left() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            _, writer = await proxy.connect()
            writer.write(READINESS_CHECK * FLOOD_COUNT + request("pay", body=b"late"))
            await wait_until(lambda: any(each._pause_reasons for each in proxy.sidecar.frontend.connections))
            writer.transport.abort()
            await wait_until(proxy.sidecar.frontend.has_no_connections)
            assert not proxy.server_requests()

    run_scenario(scenario())
