"""The program in a separate process, with a server and discovery in this one."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import sys
from collections.abc import AsyncIterator, Sequence
from pathlib import Path
from typing import Any

from proxy_harness import TIMEOUT_S, FakeDiscovery, FakeServer, request, send_request

from scale.ports import ReservedAddress
from sidecar.proxy.addresses import Address

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
    """Return a configuration without servers, with some keys changed."""
    known = {"index": 1, "snapshot": True, "endpoints": []}
    given = {"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "seed": "8c1f"}
    return given | {"known": known, "settings": SETTINGS} | changes


async def launch(path: Path, contents: object, descriptors: int | None = None) -> asyncio.subprocess.Process:
    """Start the program with a configuration file, and a limit on its descriptors if one is given."""
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


@contextlib.asynccontextmanager
async def running_program(
    tmp_path: Path,
    server: FakeServer,
    discovery: FakeDiscovery | None = None,
    *,
    is_up: bool = True,
    descriptors: int | None = None,
    memory_mb: float | None = None,
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
        given["limits"] = {"sockets": descriptors, "memory_mb": memory_mb}
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
