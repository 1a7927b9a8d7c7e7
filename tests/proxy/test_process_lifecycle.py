"""The program in a separate process, started and stopped as the platform does it."""

from __future__ import annotations

import asyncio
import json
import logging
import signal
from functools import partial
from pathlib import Path

import pytest
from program_harness import config, launch, running_program
from proxy_harness import (
    TIMEOUT_S,
    FakeDiscovery,
    FakeServer,
    encode_response,
    read_response,
    request,
    run_scenario,
    running_proxy,
    send_request,
    wait_for_eof,
    wait_until,
)

from sidecar.logs import RateLimitFilter
from sidecar.proxy import shutdown


@pytest.mark.parametrize(
    "given",
    [
        "not json",
        "[]",
        config(listen="nowhere"),
        config(listen=None),
        config(discovery=7),
        config(seed="xyz"),
        config(known={"index": "x"}),
        config(settings=None),
        config(settings={"lanes": []}),
        config(limits={"sockets": "many"}),
    ],
)
def test_invalid_configuration_ends_the_process_with_one_error_line(given: object, tmp_path: Path) -> None:
    async def scenario() -> None:
        process = await launch(tmp_path / "config.json", given)
        _, err = await asyncio.wait_for(process.communicate(), TIMEOUT_S)
        assert process.returncode == 2
        assert len(err.decode().strip().splitlines()) == 1
        assert err.startswith(b"bad configuration: ")

    run_scenario(scenario())


def test_log_lines_are_rate_limited() -> None:
    rate_limit = RateLimitFilter(3)
    lines = [logging.makeLogRecord({"created": at}) for at in (7.0, 7.1, 7.2, 7.3, 7.9, 8.0)]
    assert [rate_limit.filter(each) for each in lines] == [True, True, True, False, False, True]


def test_sigterm_answers_requests_in_flight_and_ends_the_process(tmp_path: Path) -> None:
    async def scenario() -> None:
        server = FakeServer(
            "s-0", lambda first, *_: None if "held" in first else encode_response(200, b"served")
        )
        async with running_program(tmp_path, server) as (process, listen):
            idle_reader, idle_writer = await asyncio.open_connection(*listen)
            idle_writer.write(request())
            status, headers, _ = await read_response(idle_reader)
            assert status == 200
            assert "connection" not in headers
            reader, writer = await asyncio.open_connection(*listen)
            writer.write(request("pay", path="/api/held", body=b"x"))
            await wait_until(lambda: len(server.requests) == 2)

            process.send_signal(signal.SIGTERM)
            assert await wait_for_eof(idle_reader)
            for each in server.writers:
                if not each.is_closing():
                    each.write(encode_response(200, b"held"))
            status, headers, body = await read_response(reader)
            assert (status, headers["connection"], body) == (200, "close", b"held")
            assert await asyncio.wait_for(process.wait(), TIMEOUT_S) == 0
            for each in (idle_writer, writer):
                each.close()

    run_scenario(scenario())


def test_request_without_a_response_is_failed_in_time_after_sigterm(tmp_path: Path) -> None:
    async def scenario() -> None:
        server = FakeServer("s-0", lambda *_: None)
        async with running_program(tmp_path, server) as (process, listen):
            reader, writer = await asyncio.open_connection(*listen)
            writer.write(request("pay", body=b"x", budget="500"))
            await wait_until(lambda: server.requests)
            process.send_signal(signal.SIGTERM)
            assert (await read_response(reader))[0] == 500
            assert await asyncio.wait_for(process.wait(), TIMEOUT_S) == 0
            writer.close()

    run_scenario(scenario())


def test_drain_still_accepts_connections_and_serves_those_just_opened(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against refusing connections, which still arrive for 0.4 s after SIGTERM.  The time for which
    # connections are accepted is made longer, so that a slow machine does not miss it.
    monkeypatch.setattr(shutdown, "_ACCEPT_DURATION_S", 600.0)

    async def scenario() -> None:
        async with running_proxy(lambda *_: encode_response(200, b"served")) as proxy:
            listen = proxy.sidecar.frontend.address
            used_reader, used_writer = await asyncio.open_connection(*listen)
            used_writer.write(request())
            assert (await read_response(used_reader))[0] == 200
            new_reader, new_writer = await asyncio.open_connection(*listen)
            await wait_until(lambda: len(proxy.sidecar.frontend.connections) == 2)
            proxy.stop.set()
            # Idle connections are closed early: a request that crosses the close can still be sent again.
            assert await wait_for_eof(used_reader)
            assert (await send_request(listen, request(path="/health/ready")))[0] == 503
            # Requests are served on a connection opened just before the drain, and on one opened during it.
            late_reader, late_writer = await asyncio.open_connection(*listen)
            for reader, writer in ((new_reader, new_writer), (late_reader, late_writer)):
                writer.write(request())
                status, headers, body = await read_response(reader)
                assert (status, headers["connection"], body) == (200, "close", b"served")
                assert await wait_for_eof(reader)
                writer.close()
            used_writer.close()

    run_scenario(scenario())


async def next_log_line(log: asyncio.StreamReader) -> bytes:
    """Return the next line of the program's log, except warnings about a late event loop."""
    while True:
        line = await asyncio.wait_for(log.readline(), TIMEOUT_S)
        if b"the event loop was" not in line:
            return line


def test_sighup_migrates_discovery_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        old, first, second = FakeDiscovery(), FakeDiscovery(), FakeDiscovery()
        await first.start()
        await second.start()
        server = FakeServer("s-0", lambda *_: encode_response(200, b"served"))
        path = tmp_path / "config.json"

        def config_text(discovery: FakeDiscovery) -> str:
            return json.dumps(config(discovery="{}:{}".format(*discovery.address)))

        async with running_program(tmp_path, server, old) as (process, listen):
            await wait_until(lambda: old.targets)
            for invalid in ("not json", json.dumps(config(discovery="nowhere"))):
                path.write_text(invalid, encoding="utf-8")
                process.send_signal(signal.SIGHUP)
                assert b"reload rejected; keeping the active configuration" in await next_log_line(
                    process.stderr
                )
            for version, current in enumerate((first, second), start=1):
                path.write_text(config_text(current), encoding="utf-8")
                process.send_signal(signal.SIGHUP)
                # The complete list is fetched: the list from another registry may be older or newer.
                await wait_until(partial(current.has_calls, 1))
                assert current.targets == ["/registry/instances"]
                current.push_update(version, [server.entry()], snapshot=True)
                await wait_until(partial(current.has_calls, 2))
                assert current.targets[1].startswith(f"/registry/instances?after={version}&wait_ms=")
            assert (await send_request(listen, request()))[0] == 200
            assert len(old.targets) == 1
            assert len(first.targets) == 2
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGHUP)
            assert await asyncio.wait_for(process.wait(), TIMEOUT_S) == 0
        first.stop()
        second.stop()

    run_scenario(scenario())
