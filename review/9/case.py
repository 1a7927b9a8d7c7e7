"""Case 9: bad peers send much at once and come back, and the sidecar goes over its limit of memory."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2.bad_peers import start_bad_peers
from standins_2.case import Scene, run_case, sample_settings
from standins_2.client import Call, encode_call, new_id
from standins_2.sidecar_process import SidecarProcess

_MEMORY_MB = 80
_SOCKETS = 384
_PROCESSES = 2
_PEERS_EACH = 100
_PEER_BYTES = 300_000
_CLIENTS = 4
_BUDGET_S = 1.0
_DURATION_S = 15.0
_SAMPLE_S = 0.02


def _memory_mb(process_id: int) -> float:
    """Return the memory of a process that no file backs, in MiB: the least that the platform can count."""
    for line in Path(f"/proc/{process_id}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def _client(scene: Scene, until: float) -> None:
    """Send an ordinary request every 0.1 s, on one connection as long as it stays open."""
    connection = await scene.connect()
    while time.monotonic() < until:
        try:
            if not connection.is_usable:
                connection = await scene.connect()
        except ConnectionError:
            return
        call = Call(new_id(), "send", _BUDGET_S)
        await connection.send(call, encode_call(call, body=b"level 412"))
        outcome = str(call.answer.status) if call.answer else call.error or "no answer"
        scene.record.write(f"{call.request_id}: {outcome}")
        await asyncio.sleep(0.1)


async def _watch_memory(scene: Scene, sidecar: SidecarProcess, until: float) -> list[str]:
    """Kill the sidecar once it is over its limit, as the platform does, and return that it was."""
    assert sidecar.process is not None
    most_mb = 0.0
    while time.monotonic() < until and sidecar.is_running():
        await asyncio.sleep(_SAMPLE_S)
        used_mb = _memory_mb(sidecar.process.pid)
        if used_mb > most_mb + 1.0:
            scene.record.write(f"memory of the sidecar: {used_mb:.1f} MB")
            most_mb = used_mb
        if used_mb > _MEMORY_MB:
            scene.record.write("the platform kills the sidecar")
            sidecar.process.kill()
            return [f"the sidecar held {used_mb:.1f} MB of {_MEMORY_MB} MB and was killed"]
    return [] if sidecar.is_running() else ["the sidecar has ended"]


async def play(scene: Scene) -> list[str]:
    """Return how the sidecar went over its limit."""
    limits = {"cores": 1.0, "memory_mb": _MEMORY_MB, "sockets": _SOCKETS}
    sidecar = await scene.start(4, sample_settings(), limits)
    until = time.monotonic() + _DURATION_S
    if scene.has_trouble:
        scene.record.write(
            f"{_PROCESSES * _PEERS_EACH} bad peers send {_PEER_BYTES} bytes each, again and again"
        )
        scene.processes += [
            await start_bad_peers(sidecar.address, _PEERS_EACH, _PEER_BYTES, _DURATION_S)
            for _ in range(_PROCESSES)
        ]
    clients = [asyncio.create_task(_client(scene, until)) for _ in range(_CLIENTS)]
    broken = await _watch_memory(scene, sidecar, until)
    await asyncio.gather(*clients, return_exceptions=True)
    return broken


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
