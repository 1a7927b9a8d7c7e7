"""Runs the demonstration: starts the sidecar and the stand-ins, makes the calls and injects the faults."""

from __future__ import annotations

import asyncio
import subprocess
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path

from scale.demo.outcome import DRAINED_SERVER, KILLED_SERVER, DemoOutcome, Phase, ServerOutcome
from scale.http_client import Address, CallResult, HttpClient, format_call
from scale.open_loop import poisson_arrivals, run_open_loop
from scale.ports import ReservedAddress
from scale.processes import ManagedProcess, ProcessGroup
from scale.sidecar_process import format_address, log_path, sample_config, start_sidecar, wait_until_ready
from scale.standins.change_log import ChangeLog, Endpoint
from scale.standins.registry import RegistryServer
from scale.standins.server import ServerStandin, exponential_service_times

SERVERS = 4

_SERVICE_MEAN_S = 0.005
_SERVICE_CLASS = "read"  # class of the sample configuration whose calls are safe to repeat
_BUDGET_S = 2.0
_CALL_TIMEOUT_S = 2.5
_DRAIN_FRACTION, _KILL_FRACTION = 1 / 3, 2 / 3  # of the duration, from its start to each fault
_REMOVAL_DELAY_S = 0.5  # from the kill until the registry removes the server
_STOP_TIMEOUT_S = 10.0

Echo = Callable[[str], None]


def run_demo(duration_s: float, rate_per_s: float, seed: int, echo: Echo) -> DemoOutcome:
    """Run the demonstration.

    Args:
        duration_s: How long calls are made, in seconds.
        rate_per_s: Calls per second.
        seed: Seed of arrivals and service times.
        echo: Prints one line of progress.

    Raises:
        SidecarStartError: The sidecar did not start.
    """
    with tempfile.TemporaryDirectory() as folder, ReservedAddress() as listen, ProcessGroup() as group:
        demo = _Demo(Path(folder), group, listen.address, seed, echo)
        return asyncio.run(demo.run(duration_s, rate_per_s))


class _Demo:
    """One run of the demonstration."""

    def __init__(self, folder: Path, group: ProcessGroup, listen: Address, seed: int, echo: Echo) -> None:
        self._folder = folder
        self._group = group
        self._listen = listen
        self._seed = seed
        self._echo = echo
        self._servers = [
            ServerStandin(f"s-{number}", exponential_service_times(_SERVICE_MEAN_S, seed + number))
            for number in range(SERVERS)
        ]
        self._change_log = ChangeLog()
        self._registry = RegistryServer(self._change_log)
        self._drain_notified_at = 0.0

    async def run(self, duration_s: float, rate_per_s: float) -> DemoOutcome:
        discovery = await self._start_standins()
        listen = self._listen
        sidecar = start_sidecar(self._group, sample_config(listen, discovery), self._folder)
        self._echo(f"sidecar started: process {sidecar.pid}, listening at {format_address(listen)}")
        await asyncio.to_thread(wait_until_ready, sidecar, listen, self._folder)
        self._echo(f"sidecar is ready; {rate_per_s:.0f} calls per second for {duration_s:.0f} s")
        faults = asyncio.create_task(self._inject_faults(duration_s))
        started_at = time.monotonic()
        results = await self._send_calls(listen, poisson_arrivals(rate_per_s, duration_s, self._seed))
        await faults
        exit_code = await asyncio.to_thread(_stop, sidecar)
        await self._registry.stop()
        for server in self._servers:
            server.close()
        phases = [
            Phase("all up", started_at + duration_s * _DRAIN_FRACTION),
            Phase(f"s-{DRAINED_SERVER} drained", started_at + duration_s * _KILL_FRACTION),
            Phase(f"s-{KILLED_SERVER} killed", started_at + duration_s),
        ]
        return DemoOutcome(
            results,
            phases,
            [_server_outcome(server) for server in self._servers],
            self._drain_notified_at,
            exit_code,
            log_path(self._folder).read_text(encoding="utf-8", errors="replace").splitlines(),
        )

    async def _start_standins(self) -> Address:
        for server in self._servers:
            await server.start()
        self._change_log.commit(
            [Endpoint(server.name, format_address(server.address), zone="a") for server in self._servers]
        )
        return (await self._registry.start())[0]

    async def _send_calls(self, listen: Address, arrivals_s: Sequence[float]) -> list[CallResult]:
        client = HttpClient(listen)

        async def make_call(number: int, scheduled_at: float) -> CallResult:
            request = format_call(_SERVICE_CLASS, f"{self._seed:08x}{number:08x}", _BUDGET_S)
            return await client.call(request, scheduled_at, _CALL_TIMEOUT_S)

        try:
            return await run_open_loop(arrivals_s, make_call)
        finally:
            client.close()

    async def _inject_faults(self, duration_s: float) -> None:
        started_at = time.monotonic()
        await asyncio.sleep(duration_s * _DRAIN_FRACTION)
        drained, killed = self._servers[DRAINED_SERVER], self._servers[KILLED_SERVER]
        self._echo(f"{time.monotonic() - started_at:.1f} s: registry drains {drained.name}")
        drained.drain()
        self._drain_notified_at = time.monotonic()
        self._change_log.drain([drained.name])
        await asyncio.sleep(duration_s * (_KILL_FRACTION - _DRAIN_FRACTION))
        self._echo(f"{time.monotonic() - started_at:.1f} s: {killed.name} is killed")
        killed.kill()
        await asyncio.sleep(_REMOVAL_DELAY_S)
        self._echo(
            f"{time.monotonic() - started_at:.1f} s: registry removes {drained.name} and {killed.name}"
        )
        self._change_log.remove([drained.name, killed.name])


def _server_outcome(server: ServerStandin) -> ServerOutcome:
    counters = server.counters
    return ServerOutcome(server.name, counters.requests, counters.rejected, server.last_request_at)


def _stop(sidecar: ManagedProcess) -> int | None:
    """Send SIGTERM and return the exit code; None if the sidecar does not end within 10 s."""
    sidecar.popen.terminate()
    try:
        return sidecar.popen.wait(_STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        return None
