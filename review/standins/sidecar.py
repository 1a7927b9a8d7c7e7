"""Starts a real sidecar by the `run` command of the deploy file."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

_ROOT = Path(__file__).resolve().parent.parent.parent
_SAMPLE_CONFIG = _ROOT / "deploy" / "sample" / "config.json"
_READY_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.05
_END_TIMEOUT_S = 5.0


class NotReadyError(RuntimeError):
    """The sidecar did not become ready."""


class Sidecar:
    """One sidecar, with a temporary folder of its own.

    Attributes:
        port: The port that the application connects to.
    """

    def __init__(self) -> None:
        self._reservation = _reserve_port()
        self.port: int = self._reservation.getsockname()[1]
        self._folder = tempfile.TemporaryDirectory()
        self._process: subprocess.Popen[bytes] | None = None

    def start(self, discovery_port: int, known: object, change: Callable[[dict[str, Any]], None]) -> None:
        """Start the process.

        Args:
            discovery_port: The port of discovery.
            known: The list of servers as the sidecar had it last.
            change: Changes the sample configuration, which is the base of this one.
        """
        config: dict[str, Any] = json.loads(_SAMPLE_CONFIG.read_text(encoding="utf-8"))
        config |= {
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "known": known,
        }
        change(config)
        path = Path(self._folder.name) / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        deploy_file = (_ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8")
        command = tomllib.loads(deploy_file)["run"]
        with (Path(self._folder.name) / "log").open("wb") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=_ROOT,
                env=_environment(config, path),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def wait_until_ready(self) -> None:
        """Wait until the sidecar is ready.

        Raises:
            NotReadyError: It took more than 30 s.
        """
        deadline = time.monotonic() + _READY_TIMEOUT_S
        while not self._is_ready():
            if time.monotonic() > deadline:
                raise NotReadyError(self.log())
            time.sleep(_POLL_INTERVAL_S)

    def log(self) -> str:
        """Return what the sidecar has logged."""
        return (Path(self._folder.name) / "log").read_text(encoding="utf-8", errors="replace")

    def is_running(self) -> bool:
        """Return whether the process has been started and has not ended."""
        return self._process is not None and self._process.poll() is None

    def stop(self) -> None:
        """End the process, and remove its folder."""
        if self._process is not None and self.is_running():
            self._process.send_signal(signal.SIGTERM)
            try:
                self._process.wait(_END_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self._process.kill()
                self._process.wait()
        self._reservation.close()
        self._folder.cleanup()

    def _is_ready(self) -> bool:
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=1.0)
        try:
            connection.request("GET", "/health/ready")
            return connection.getresponse().status == http.HTTPStatus.OK
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


def _environment(config: Mapping[str, Any], path: Path) -> dict[str, str]:
    inherited = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
    return inherited | {
        "RELAY_NAME": config["name"],
        "RELAY_LISTEN": config["listen"],
        "RELAY_DISCOVERY": config["discovery"],
        "RELAY_CONFIG": str(path),
        "TMPDIR": str(path.parent),
    }


def _reserve_port() -> socket.socket:
    """Bind a socket to a free port without listening, so that nobody else gets the port.

    The sidecar sets SO_REUSEADDR, so it can listen there all the same.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind(("127.0.0.1", 0))
    return reservation
