"""Runs one memory scenario: a real sidecar, its stand-ins, processes of peers and ordinary clients."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import subprocess
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from scale.commands import python_command
from scale.memory.ordinary_clients import OrdinaryClients, OrdinaryOutcomes
from scale.memory.peer_process import PeerOrder, PeerReport
from scale.memory.registry import MemoryRegistry, server_entry
from scale.memory.scenario import Kill, MemoryScenario
from scale.memory.servers import start_server
from scale.ports import ReservedAddress
from scale.processes import ManagedProcess, ProcessGroup
from scale.sidecar_process import format_address, sample_config, start_sidecar, wait_until_ready

SERVERS = 4
CLIENTS = 4
PEER_PROCESSES = 2
BAD_PEER_LIMIT_S = 3.0  # from its connection to its error or close
_KIB_PER_MB = 1024
_SETTLE_S = 0.5  # after the end of the load


@dataclass(slots=True)
class MemoryOutcome:
    """What a run has shown.

    Attributes:
        scenario: What was played.
        rest_mb: The sidecar's memory before the load, files included, in MiB.
        peak_mb: The largest memory of all its processes, files included, in MiB.
        cpu_s: The CPU time of all its processes, in seconds.
        crashes: Processes that ended by themselves.
        ordinary: How the requests of ordinary clients ended.
        peers: What the peers saw.
    """

    scenario: MemoryScenario
    rest_mb: float = 0.0
    peak_mb: float = 0.0
    cpu_s: float = 0.0
    crashes: int = 0
    ordinary: OrdinaryOutcomes = field(default_factory=OrdinaryOutcomes)
    peers: list[PeerReport] = field(default_factory=list)

    def failed_checks(self) -> list[str]:
        """Return the checks that did not hold."""
        failed = []
        if self.peak_mb >= self.scenario.memory_mb:
            failed.append(f"memory {self.peak_mb:.1f} MB of {self.scenario.memory_mb}")
        if self.crashes:
            failed.append(f"{self.crashes} processes ended")
        if self.ordinary.lost:
            failed.append(f"{self.ordinary.lost} lost: {self.ordinary.lost_reasons[:3]}")
        return failed

    def describe(self) -> str:
        """Return one line of figures."""
        each = self.ordinary
        longest_s = max((report.longest_s for report in self.peers), default=0.0)
        return (
            f"seed {self.scenario.seed}: rest {self.rest_mb:.1f}, peak {self.peak_mb:.1f} of "
            f"{self.scenario.memory_mb} MB, cpu {self.cpu_s:.1f} s, {each.sent} sent: {each.served} served, "
            f"{each.refused} refused, {each.failed} failed, {each.resent} resent, "
            f"{each.ended_by_kill} killed, {each.lost} lost, longest {each.longest_s:.2f} s; "
            f"bad peers {longest_s:.1f} s"
        )


def run_scenario(scenario: MemoryScenario) -> MemoryOutcome:
    """Run a scenario.

    Raises:
        SidecarStartError: The sidecar did not start.
    """
    with (
        tempfile.TemporaryDirectory() as folder,
        ReservedAddress() as listen,
        ProcessGroup() as group,
        raised_descriptor_limit(),
    ):
        return asyncio.run(_Run(scenario, Path(folder), group, listen.address).play())


class _Run:
    """One run of a scenario."""

    def __init__(
        self, scenario: MemoryScenario, folder: Path, group: ProcessGroup, listen: tuple[str, int]
    ) -> None:
        self._scenario = scenario
        self._folder = folder
        self._group = group
        self._listen = listen
        self._config: dict[str, Any] = {}
        self._clients = OrdinaryClients(listen)
        self._outcome = MemoryOutcome(scenario, ordinary=self._clients.outcomes)

    async def play(self) -> MemoryOutcome:
        await self._start_standins()
        sidecar = await self._start_sidecar()
        self._outcome.rest_mb = _memory_mb(sidecar, "VmRSS")
        peers = [self._start_peers(number) for number in range(PEER_PROCESSES)]
        until = time.monotonic() + self._scenario.duration_s
        clients = [asyncio.create_task(self._clients.play(until, number)) for number in range(CLIENTS)]
        for kill in self._scenario.kills:
            sidecar = await self._kill(sidecar, kill, until - self._scenario.duration_s)
        await asyncio.gather(*clients)
        for each in peers:
            output, _ = await asyncio.to_thread(each.communicate)
            self._outcome.peers.append(PeerReport.model_validate_json(output))
        await asyncio.sleep(_SETTLE_S)
        self._record(sidecar)
        return self._outcome

    async def _start_standins(self) -> None:
        entries = []
        for number in range(SERVERS):
            _, address = await start_server()
            entries.append(server_entry(f"s-{number}", format_address(address)))
        loop = asyncio.get_running_loop()
        registry = await loop.create_server(
            lambda: MemoryRegistry(self._scenario.registry, entries), "127.0.0.1", 0
        )
        scenario, discovery = self._scenario, registry.sockets[0].getsockname()[:2]
        self._config = sample_config(self._listen, discovery) | {
            "limits": {"cores": 1.0, "memory_mb": scenario.memory_mb, "sockets": scenario.descriptors},
            "known": {"index": 1, "snapshot": True, "endpoints": entries},
        }

    async def _start_sidecar(self) -> ManagedProcess:
        sidecar = start_sidecar(self._group, self._config, self._folder)
        await asyncio.to_thread(wait_until_ready, sidecar, self._listen, self._folder)
        return sidecar

    def _start_peers(self, number: int) -> subprocess.Popen[bytes]:
        order = PeerOrder(
            address=self._listen,
            groups=self._scenario.groups,
            first=number,
            step=PEER_PROCESSES,
            duration_s=self._scenario.duration_s,
        )
        command = python_command("scale.memory.peer_process")
        process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        assert process.stdin is not None
        process.stdin.write(order.model_dump_json().encode())
        process.stdin.close()
        process.stdin = None
        return process

    async def _kill(self, sidecar: ManagedProcess, kill: Kill, started_at: float) -> ManagedProcess:
        """Kill the sidecar at its time, and start the next process under the same load."""
        await asyncio.sleep(max(started_at + kill.at_s - time.monotonic(), 0.0))
        self._record(sidecar)
        self._clients.killed_at.append(time.monotonic())
        sidecar.popen.kill()
        await asyncio.to_thread(sidecar.popen.wait)
        await asyncio.sleep(kill.restart_s)
        successor = start_sidecar(self._group, self._config, self._folder)
        while successor.is_running() and not await self._accepts():
            self._clients.killed_at.append(time.monotonic())
            await asyncio.sleep(_SETTLE_S / 10)
        self._clients.killed_at.append(time.monotonic())
        return successor

    async def _accepts(self) -> bool:
        try:
            _, writer = await asyncio.open_connection(*self._listen)
        except OSError:
            return False
        writer.close()
        return True

    def _record(self, sidecar: ManagedProcess) -> None:
        """Record the peak of a process that has to be running."""
        if not sidecar.is_running():
            self._outcome.crashes += 1
            return
        self._outcome.peak_mb = max(self._outcome.peak_mb, _memory_mb(sidecar, "VmHWM"))
        self._outcome.cpu_s += sidecar.usage().cpu_s


def _memory_mb(process: ManagedProcess, key: str) -> float:
    """Return a figure of a process's memory, which the kernel gives in KiB, in MiB."""
    status = (Path("/proc") / str(process.pid) / "status").read_text(encoding="utf-8")
    (line,) = [line for line in status.splitlines() if line.startswith(key)]
    return int(line.split()[1]) / _KIB_PER_MB


@contextlib.contextmanager
def raised_descriptor_limit() -> Iterator[None]:
    """Let this process, which hosts the stand-ins, open as many descriptors as it may."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
