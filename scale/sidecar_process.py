"""Starts real sidecars, `python -m sidecar`, and reads the sample configuration."""

from __future__ import annotations

import http.client
import json
import os
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from scale.errors import SidecarStartError
from scale.http_client import Address
from scale.processes import ManagedProcess, ProcessGroup

SAMPLE_CONFIG = Path(__file__).resolve().parent.parent / "deploy" / "sample" / "config.json"
SIDECAR_COMMAND = (sys.executable, "-m", "sidecar")
READY_TIMEOUT_S = 15.0

_POLL_INTERVAL_S = 0.05
_PROBE_TIMEOUT_S = 1.0


def sample_config(listen: Address, discovery: Address) -> dict[str, Any]:
    """Return the sample configuration with the given addresses."""
    config: dict[str, Any] = json.loads(SAMPLE_CONFIG.read_text(encoding="utf-8"))
    return config | {"listen": format_address(listen), "discovery": format_address(discovery)}


def format_address(address: Address) -> str:
    """Format an address as host:port."""
    return f"{address[0]}:{address[1]}"


def write_config(config: Mapping[str, Any], folder: Path) -> Path:
    """Write the configuration file that a sidecar reads at its start and on SIGHUP; return its path."""
    path = folder / "config.json"
    path.write_text(json.dumps(config), encoding="utf-8")
    return path


def start_sidecar(
    group: ProcessGroup, config: Mapping[str, Any], folder: Path, command: Sequence[str] = SIDECAR_COMMAND
) -> ManagedProcess:
    """Start a sidecar, with its configuration file and its log in a folder.

    Raises:
        OSError: The process cannot be started.
    """
    path = write_config(config, folder)
    environment = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
    with log_path(folder).open("wb") as log:
        return group.start(command, environment | {"RELAY_CONFIG": str(path)}, stderr=log)


def log_path(folder: Path) -> Path:
    """Return the path of a sidecar's log."""
    return folder / "sidecar.log"


def wait_until_ready(sidecar: ManagedProcess, listen: Address, folder: Path) -> None:
    """Wait until a sidecar is ready.

    Raises:
        SidecarStartError: The sidecar exited first, or took longer than 15 s.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    while not _is_ready(listen):
        if not sidecar.is_running() or time.monotonic() > deadline:
            lines = log_path(folder).read_text(encoding="utf-8", errors="replace").splitlines()
            raise SidecarStartError(lines)
        time.sleep(_POLL_INTERVAL_S)


def _is_ready(listen: Address) -> bool:
    connection = http.client.HTTPConnection(*listen, timeout=_PROBE_TIMEOUT_S)
    try:
        connection.request("GET", "/health/ready")
        return connection.getresponse().status == http.HTTPStatus.OK
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()
