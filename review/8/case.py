"""Case 8: discovery returns with many callers, each call waits 2.8 s for its turn, and servers drain."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2.case import Scene, run_case, sample_settings
from standins_2.client import Call, encode_call, new_id
from standins_2.server import Attempt, ServerConnection, ServerStandin, serve

_SERVERS = 8
_DRAINING = 2  # a quarter of the servers
_CLIENTS = 10
_BUDGET_S = 1.2
_PAUSE_S = 0.05
_SERVICE_S = 0.08

_DOWN_AFTER_S = 2.0
_DOWN_S = 3.0
_TURN_AFTER_S = 2.8  # calls fail once they have waited for 3 s
_DRAIN_AFTER_RETURN_S = 1.0
_DRAIN_S = 14.0  # then the draining servers end
_GRACE_S = 1.0
_TOLD_WITHIN_S = 6.0  # after discovery had the change and could be reached
_SLACK_S = 0.05  # every limit is longer by this on sockets


class Drain:
    """The drain of a quarter of the servers, as discovery tells it."""

    def __init__(self, scene: Scene) -> None:
        """Choose the servers that drain."""
        self._scene = scene
        self.servers: list[ServerStandin] = scene.servers[:_DRAINING]
        self.began_at = 0.0

    async def play(self) -> None:
        """Take discovery down and up again, let the servers drain, and end them."""
        discovery, record = self._scene.discovery, self._scene.record
        assert discovery is not None
        discovery.on_answer = lambda index: record.write(f"discovery answers with version {index}")
        await asyncio.sleep(_DOWN_AFTER_S)
        if self._scene.has_trouble:
            discovery.is_down = True
            discovery.reset_connections()
            record.write("discovery is down")
        await asyncio.sleep(_DOWN_S)
        if self._scene.has_trouble:
            discovery.is_down = False
            discovery.turn_after_s = _TURN_AFTER_S
            record.write(f"discovery is back; each call waits {_TURN_AFTER_S} s for its turn")
        await asyncio.sleep(_DRAIN_AFTER_RETURN_S)
        for server in self.servers:
            discovery.set(server, "leaving")
            record.write(f"{server.name} begins to drain")
        self.began_at = time.monotonic()
        await asyncio.sleep(_DRAIN_S)
        for server in self.servers:
            discovery.set(server, "left")
            server.kill()
            record.write(f"{server.name} ends")

    def late_attempts(self) -> list[Attempt]:
        """Return the attempts that began at a draining server after the grace."""
        latest = self.began_at + _TOLD_WITHIN_S + _GRACE_S + _SLACK_S
        names = [server.name for server in self.servers]
        return [
            attempt
            for attempt in self._scene.attempts
            if attempt.server in names and attempt.message.first_byte_at > latest
        ]


async def _serve(connection: ServerConnection, attempt: Attempt) -> None:
    await serve(connection, attempt, _SERVICE_S)


async def _client(scene: Scene, calls: dict[str, Call], drain: asyncio.Task[None]) -> None:
    connection = await scene.connect()
    while not drain.done():
        if not connection.is_usable:
            connection = await scene.connect()
        call = Call(new_id(), "send", _BUDGET_S)
        calls[call.request_id] = call
        await connection.send(call, encode_call(call, body=b"level 412"))
        scene.record.write(f"{call.request_id}: {call.answer.status if call.answer else call.error}")
        await asyncio.sleep(_PAUSE_S)


async def play(scene: Scene) -> list[str]:
    """Return the attempts that began too late, and whether their requests failed when their server ended."""
    settings = sample_settings()
    settings["guarantees"]["drainGraceUs"] = int(_GRACE_S * 1e6)
    await scene.start(_SERVERS, settings, {"cores": 1.0, "memory_mb": 192, "sockets": 1024})
    for server in scene.servers:
        server.plan = _serve
    drain = Drain(scene)
    calls: dict[str, Call] = {}
    drain_task = asyncio.create_task(drain.play())
    await asyncio.gather(drain_task, *(_client(scene, calls, drain_task) for _ in range(_CLIENTS)))
    broken = []
    for attempt in drain.late_attempts():
        late_s = attempt.message.first_byte_at - drain.began_at
        call = calls.get(attempt.request_id)
        status = call.answer.status if call is not None and call.answer is not None else "none"
        text = f"{attempt.request_id} was sent to {attempt.server} {late_s:.2f} s after its drain began"
        broken.append(f"{text}; the client's answer: {status}")
    scene.record.write(f"{len(scene.attempts)} attempts, {len(broken)} of them too late at a draining server")
    return broken


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
