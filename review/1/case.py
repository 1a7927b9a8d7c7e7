"""Bad clients send bodies in very small chunks and stop: do the other requests get their answers?"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

from standins.deployment import Deployment, run_case
from standins.load import Load
from standins.messages import read_message
from standins.record import Record
from standins.rules import find_lost
from standins.server import Behaviour

_SERVERS = 12
_SERVICE_TIME_S = (0.01, 0.03)
_LOAD = Load()
_TROUBLE_AT_S = 2.0

_BAD_CLIENTS = 12
_BODY_BYTES = 60_000  # a body holds 64 KiB at most
_CHUNK = b"1\r\nx\r\n"  # one byte of the body
_BAD_CLIENT_STAYS_S = 8.0


async def _send_bad_request(deployment: Deployment, number: int) -> None:
    """Send a request without its end, as much as fits at once, and wait for an error or a close."""
    head = (
        f"POST /api/gauge HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: bad-{number}\r\nX-Call-Class: send\r\n"
        "X-Budget: 1.000\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    reader, writer = await asyncio.open_connection("127.0.0.1", deployment.sidecar.port)
    connected_at = time.monotonic()
    writer.write(head.encode() + _BODY_BYTES * _CHUNK)
    try:
        answer = await asyncio.wait_for(read_message(reader), _BAD_CLIENT_STAYS_S)
        outcome = "a close" if answer is None else str(answer.status)
    except TimeoutError:
        outcome = "nothing"
    writer.close()
    deployment.record.add(f"bad client {number} got {outcome} after {time.monotonic() - connected_at:.3f} s")


async def _play(deployment: Deployment) -> bool:
    await deployment.start(_LOAD.change_settings)
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(_LOAD.send(deployment.client, seed=1))
        if deployment.has_trouble:
            await asyncio.sleep(_TROUBLE_AT_S)
            deployment.record.add(f"{_BAD_CLIENTS} bad clients connect")
            for number in range(_BAD_CLIENTS):
                tasks.create_task(_send_bad_request(deployment, number))
    return _report(deployment)


def _report(deployment: Deployment) -> bool:
    calls = deployment.client.calls
    lost = find_lost(calls)
    is_running = deployment.sidecar.is_running()
    summary = f"requests {len(calls)}, lost {len(lost)}, the sidecar is running: {is_running}"
    deployment.record.add(summary)
    print(summary)
    return not lost and is_running


def _main() -> int:
    rng = random.Random(2)
    behaviour = Behaviour(lambda: rng.uniform(*_SERVICE_TIME_S))
    return run_case(Path(__file__).parent, Deployment(Record(), _SERVERS, behaviour), _play)


if __name__ == "__main__":
    sys.exit(_main())
