"""The program in a separate process, with many clients or with a long endpoint list."""

from __future__ import annotations

import asyncio
import os
import resource
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from program_harness import running_program
from proxy_harness import (
    FakeDiscovery,
    FakeServer,
    encode_response,
    request,
    run_scenario,
    send_request,
    wait_until,
)

from sidecar.proxy import loop_lag
from sidecar.proxy.addresses import Address
from sidecar.proxy.driver import RESERVED_DESCRIPTORS


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


# Guards against 4 MB of memory for OpenSSL, which nothing here uses.
def test_program_does_not_load_openssl() -> None:
    code = "import sidecar.__main__, sys; sys.exit('_ssl' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
