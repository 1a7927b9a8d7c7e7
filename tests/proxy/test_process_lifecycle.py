"""The program in a separate process, started and stopped as the platform does it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import resource
import signal
import socket
import sys
from collections.abc import AsyncIterator, Iterator, Sequence
from functools import partial
from pathlib import Path
from typing import Any

import pytest
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

from scale.ports import ReservedAddress
from sidecar.logs import RateLimitFilter
from sidecar.proxy import loop_lag, shutdown
from sidecar.proxy.addresses import Address
from sidecar.proxy.driver import RESERVED_DESCRIPTORS

ROOT = Path(__file__).parent.parent.parent
SETTINGS: dict[str, Any] = {
    "lanes": [
        {"name": "look", "giveUpUs": 600_000_000, "repeat": "read_like"},
        {"name": "pay", "giveUpUs": 600_000_000, "repeat": "non_idempotent"},
    ],
    "bounds": {"sendCap": 3, "mayCancel": True},
    "discovery": "on_request",
    "zone": "east",
}


def config(**changes: Any) -> dict[str, Any]:
    known = {"index": 1, "snapshot": True, "endpoints": []}
    given = {"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "seed": "8c1f"}
    return given | {"known": known, "settings": SETTINGS} | changes


async def launch(path: Path, contents: object, descriptors: int | None = None) -> asyncio.subprocess.Process:
    path.write_text(contents if isinstance(contents, str) else json.dumps(contents), encoding="utf-8")
    environ = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}

    def limit_descriptors() -> None:
        if descriptors is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "sidecar",
        cwd=ROOT,
        env=environ | {"RELAY_CONFIG": str(path)},
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=limit_descriptors,
    )


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


@contextlib.asynccontextmanager
async def running_program(
    tmp_path: Path,
    server: FakeServer,
    discovery: FakeDiscovery | None = None,
    *,
    is_up: bool = True,
    descriptors: int | None = None,
    other_addresses: Sequence[str] = (),
) -> AsyncIterator[tuple[Any, Address]]:
    """Run the program until it is ready, with one server; discovery refuses connections unless `is_up`."""
    discovery = discovery or FakeDiscovery()
    await discovery.start()
    if not is_up:
        discovery.stop()
    await server.start()
    other_entries = [server.entry(name=each, address=each) for each in other_addresses]
    known = {"index": 1, "snapshot": True, "endpoints": [server.entry(), *other_entries]}
    discovery_address = "{}:{}".format(*discovery.address)
    # The configuration needs a port number, and a released port may be taken by another process.
    reserved = ReservedAddress()
    listen = reserved.address
    given = config(listen="{}:{}".format(*listen), discovery=discovery_address, known=known)
    if descriptors is not None:
        given["limits"] = {"sockets": descriptors}
    process = await launch(tmp_path / "config.json", given, descriptors)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError):
                    if (await send_request(listen, request(path="/health/ready")))[0] == 200:
                        break
                await asyncio.sleep(0.02)
        yield process, listen
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.communicate()
        reserved.close()
        server.stop()
        discovery.stop()


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


def test_readiness_waits_for_an_event_loop_on_time(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against late responses to the first clients: a platform may throttle a program for the CPU time
    # that its start took.
    async def scenario() -> None:
        monkeypatch.setattr(loop_lag, "SETTLED_AFTER_S", 600.0)
        monkeypatch.setattr(loop_lag, "_CHECK_INTERVAL_S", 0.01)
        monkeypatch.setattr(loop_lag, "_LAG_WARNING_S", -1.0)  # every check finds the event loop late
        async with running_proxy(settled=False) as proxy:
            await wait_until(lambda: caplog.text.count("late") > 2)
            assert (await proxy.send_request(path="/health/ready"))[0] == 503
            monkeypatch.setattr(loop_lag, "_LAG_WARNING_S", 600.0)
            await wait_until(lambda: proxy.sidecar.is_ready())
            assert (await proxy.send_request(path="/health/ready"))[0] == 200

    run_scenario(scenario())


def test_sidecar_is_ready_in_time_on_a_machine_that_always_lags(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(loop_lag, "SETTLED_AFTER_S", 0.05)
        monkeypatch.setattr(loop_lag, "_LAG_WARNING_S", -1.0)
        async with running_proxy(settled=False) as proxy:
            await wait_until(lambda: proxy.sidecar.is_ready())

    run_scenario(scenario())


@pytest.fixture
def raised_descriptor_limit() -> Iterator[None]:
    """Let this process open more descriptors than the program under test."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def open_idle_sockets(address: Address, count: int) -> list[socket.socket]:
    """Open connections that send nothing, without waiting until they are established."""
    idle = []
    for _ in range(count):
        each = socket.socket()
        each.setblocking(False)
        each.connect_ex(address)
        idle.append(each)
    return idle


@pytest.mark.usefixtures("raised_descriptor_limit")
@pytest.mark.parametrize("descriptors", [256, 1024])
def test_idle_clients_fill_the_descriptors_while_discovery_is_down(descriptors: int, tmp_path: Path) -> None:
    max_clients = (descriptors - RESERVED_DESCRIPTORS) // 2  # as many clients as connections to servers

    async def scenario() -> None:
        server, discovery = FakeServer("s-0", lambda *_: None), FakeDiscovery()
        async with running_program(tmp_path, server, discovery, is_up=False, descriptors=descriptors) as (
            process,
            listen,
        ):
            held: list[asyncio.Task[Any]] = []

            def all_arrived_or_rejected() -> bool:
                return len(server.requests) + sum(each.done() for each in held) == len(held)

            # Sent in small batches; what is rejected on a slow machine is sent again.
            while batch_size := min(8, max_clients - len(server.requests)):
                data = [request("pay", X_Call_Id=f"{len(held) + n}", budget="500") for n in range(batch_size)]
                held += [asyncio.create_task(send_request(listen, each)) for each in data]
                await wait_until(all_arrived_or_rejected)
            server.script = lambda *_: encode_response(200, b"served")
            for each in server.writers:
                each.write(encode_response(200, b"served"))  # each leaves an idle connection behind
            statuses = [(await each)[0] for each in held]
            assert statuses.count(200) == max_clients
            idle = []
            for _ in range(4):
                idle += open_idle_sockets(listen, 400)
                # This connection is accepted after the idle ones.
                assert (await send_request(listen, request(path="/health/ready")))[0] == 200
            discovery._server = await asyncio.start_server(discovery._serve, *discovery.address)
            await wait_until(lambda: discovery.targets)
            new_server = FakeServer("s-1", lambda *_: encode_response(200, b"other"))
            await new_server.start()
            discovery.push_update(2, [server.entry(status="left"), new_server.entry()])
            for _ in range(9):
                discovery.push_update(2, [])
            # The program pauses for 0.1 s between these calls, so it has swept the silent clients since.
            await wait_until(lambda: sum("after=2&" in each for each in discovery.targets) >= 4)
            # This needs a new connection to a server.
            assert (await send_request(listen, request("pay", budget="500")))[2] == b"other"
            assert (await send_request(listen, request(path="/health/ready")))[0] == 200
            process.kill()
            _, err = await process.communicate()
            assert b"Errno 24" not in err
            assert b"connection limit reached" not in err
            for client in idle:
                client.close()
            new_server.stop()

    run_scenario(scenario())


def test_restart_with_a_thousand_servers_is_ready_in_time_while_discovery_is_down(tmp_path: Path) -> None:
    # Nine sidecars in ten must be ready within 10 s, on a fraction of a core and in 32 MB of memory.
    async def scenario() -> None:
        server, discovery = FakeServer("s-0", lambda *_: encode_response(200, b"served")), FakeDiscovery()
        other_addresses = [f"127.1.{index // 250}.{index % 250 + 1}:9" for index in range(1023)]
        async with running_program(
            tmp_path, server, discovery, is_up=False, other_addresses=other_addresses
        ) as (process, listen):
            stat_fields = (Path("/proc") / str(process.pid) / "stat").read_text().rpartition(")")[2].split()
            cpu_s = (int(stat_fields[11]) + int(stat_fields[12])) / os.sysconf("SC_CLK_TCK")
            assert cpu_s / 0.1 + loop_lag.SETTLED_AFTER_S < 10.0  # on a tenth of a core
            discovery._server = await asyncio.start_server(discovery._serve, *discovery.address)
            await wait_until(lambda: discovery.targets)
            entries = [server.entry(), *(server.entry(name=each, address=each) for each in other_addresses)]
            discovery.push_update(2, entries, snapshot=True)
            await wait_until(lambda: discovery.has_calls(2))
            leaving = [each | {"status": "leaving"} for each in entries[1:]]
            discovery.push_update(3, leaving)
            await wait_until(lambda: discovery.has_calls(3))
            # Only one server is not draining.
            assert (await send_request(listen, request("pay")))[2] == b"served"
            status = (Path("/proc") / str(process.pid) / "status").read_text()
            (peak_line,) = [line for line in status.splitlines() if line.startswith("VmHWM")]
            assert int(peak_line.split()[1]) < 32 * 1024  # kB

    run_scenario(scenario())
