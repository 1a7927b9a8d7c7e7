"""Case 6: one peer sends a malformed header of 60 KB while clients send ordinary requests."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2.case import Scene, run_case, sample_settings
from standins_2.client import Call, encode_call, new_id

_CLIENTS = 6
_REQUESTS_EACH = 30
_PAUSE_S = 0.15  # between a client's requests
_BUDGET_S = 1.0
_LATEST_S = _BUDGET_S + 0.5 + 0.05  # half a second after its time a request is lost; limits are 50 ms longer
_TROUBLE_AFTER_S = 2.0
_BLANKS = 60_000


async def _bad_peer(scene: Scene) -> None:
    """Send one head whose last header has many blanks and a NUL, and wait for the error or the close."""
    await asyncio.sleep(_TROUBLE_AFTER_S)
    if not scene.has_trouble:
        return
    connection = await scene.connect()
    head = b"GET /api/1 HTTP/1.1\r\nHost: app.svc\r\nX-Note: " + b" " * _BLANKS + b"\x00\r\n\r\n"
    scene.record.write(f"a peer sends a malformed head of {len(head)} bytes")
    sent_at = time.monotonic()
    connection.writer.write(head)
    try:
        async with asyncio.timeout(40.0):
            await connection.reader.read(1)
        scene.record.write(f"the peer got an answer or a close after {time.monotonic() - sent_at:.2f} s")
    except (TimeoutError, ConnectionError):
        scene.record.write(f"the peer got nothing for {time.monotonic() - sent_at:.2f} s")
    connection.close()


async def _client(scene: Scene, calls: list[Call], number: int) -> None:
    """Send requests one after the other, on one connection as long as it stays open."""
    await asyncio.sleep(number * _PAUSE_S / _CLIENTS)
    connection = await scene.connect()
    for _ in range(_REQUESTS_EACH):
        if not connection.is_usable:
            connection = await scene.connect()
        call = Call(new_id(), "send", _BUDGET_S)
        calls.append(call)
        await connection.send(call, encode_call(call, body=b"level 412"), _LATEST_S)
        outcome = str(call.answer.status) if call.answer else call.error or "no answer, the client left"
        waited_s = call.answered_at - call.sent_at
        scene.record.write(f"client {number}: {call.request_id} {outcome} after {waited_s:.3f} s")
        await asyncio.sleep(_PAUSE_S)


async def play(scene: Scene) -> list[str]:
    """Return the requests that were lost."""
    settings = sample_settings()
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    sidecar = await scene.start(4, settings, limits)
    calls: list[Call] = []
    async with asyncio.TaskGroup() as group:
        group.create_task(_bad_peer(scene))
        for number in range(_CLIENTS):
            group.create_task(_client(scene, calls, number))
    for attempt in scene.attempts:
        scene.record.write(f"server {attempt.server} ran {attempt.request_id}")
    lost = [f"{call.request_id} was sent and never answered" for call in calls if call.answer is None]
    if not sidecar.is_running():
        lost.append("the sidecar has ended")
    return lost


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
