"""Starts the sidecar as a process by the `run` command of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import time
import tomllib
from http import HTTPStatus
from pathlib import Path
from typing import Any

from standins_2.client import ClientConnection
from standins_2.http1 import read_message

ROOT = Path(__file__).resolve().parent.parent.parent
_READY_WITHIN_S = 15.0


def free_port() -> int:
    """Return a loopback port that was free a moment ago."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class NotReadyError(Exception):
    """The sidecar did not become ready in time."""


class SidecarProcess:
    """One sidecar.

    Attributes:
        config: Its configuration, as it was last written.
        address: Where clients connect.
        process: The process, once it has been started.
    """

    def __init__(self, folder: Path, config: dict[str, Any]) -> None:
        """Prepare a sidecar whose files are in a folder."""
        self.address = f"127.0.0.1:{free_port()}"
        self.config = config | {"name": "n0", "listen": self.address, "seed": os.urandom(8).hex()}
        self._path = folder / "config.json"
        self._log = folder / "sidecar.log"
        self.process: asyncio.subprocess.Process | None = None

    @property
    def log(self) -> str:
        """What it has written to standard error."""
        return self._log.read_text(encoding="utf-8", errors="replace")

    async def start(self) -> None:
        """Start it and wait until it is ready.

        Raises:
            NotReadyError: It ended or was not ready in time.
        """
        self._write()
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy["run"], cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log, env=self._environment(),
            )  # fmt: skip
        await self._wait_until_ready()

    def _environment(self) -> dict[str, str]:
        kept = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        return kept | {
            "RELAY_CONFIG": str(self._path),
            "RELAY_NAME": self.config["name"],
            "RELAY_LISTEN": self.address,
            "RELAY_DISCOVERY": self.config["discovery"],
            "TMPDIR": str(self._path.parent),
        }

    async def _wait_until_ready(self) -> None:
        deadline = time.monotonic() + _READY_WITHIN_S
        while time.monotonic() < deadline and self.is_running():
            try:
                connection = await ClientConnection.open(self.address)
                connection.writer.write(b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                answer = await asyncio.wait_for(read_message(connection.reader), 2.0)
                connection.close()
                if answer.status == HTTPStatus.OK:
                    return
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise NotReadyError

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to it."""
        if self.is_running() and self.process is not None:
            self.process.send_signal(number)

    def reload(self, changes: dict[str, Any]) -> None:
        """Change keys of its configuration file, which is replaced atomically, and send SIGHUP."""
        self.config |= changes
        self._write()
        self.signal(signal.SIGHUP)

    async def stop(self) -> None:
        """Kill it, if it runs, and wait for its end."""
        if self.process is not None:
            if self.is_running():
                self.process.kill()
            await self.process.wait()

    def _write(self) -> None:
        new = self._path.with_suffix(".new")
        new.write_text(json.dumps(self.config), encoding="utf-8")
        new.replace(self._path)
