"""A real sidecar whose configuration file is replaced, and whose active classes are found by requests."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import time
from http import HTTPStatus
from pathlib import Path
from typing import Any

from scale.http_client import Address, CallResult, HttpClient, format_call
from scale.processes import ProcessGroup
from scale.sidecar_process import sample_config, start_sidecar, wait_until_ready

# The classes of the sample configuration: one is safe to repeat, one needs an idempotency key for that, and
# one must never be repeated.
SAMPLE_CLASSES = ("read", "update", "send")
_REQUEST_BUDGET_S = 1.5
_CALL_TIMEOUT_S = 3.0
_INITIAL_POLL_INTERVAL_S = 0.002
# Growing intervals need few requests, yet limit the error of a measured delay to about a quarter of it.
_POLL_INTERVAL_FACTOR = 1.25
_MAXIMUM_POLL_INTERVAL_S = 0.25


class ConfiguredSidecar:
    """One `python -m sidecar` process."""

    def __init__(
        self, group: ProcessGroup, folder: Path, listen: Address, discovery: Address, seed: int
    ) -> None:
        folder.mkdir()
        self._folder = folder
        self.listen = listen
        self._config = sample_config(listen, discovery) | {"seed": f"{seed:x}", "version": 1}
        for lane in self._config["settings"]["lanes"]:
            lane["promiseUs"] = lane["giveUpUs"]  # requests that the experiment delays must not count as late
        self.process = start_sidecar(group, self._config, folder)
        self._client = HttpClient(self.listen)
        self._call_count = 0

    def wait_until_ready(self) -> None:
        """Wait until the sidecar is ready.

        Raises:
            SidecarStartError: The sidecar ended first, or took too long.
        """
        wait_until_ready(self.process, self.listen, self._folder)

    def configuration_with_class(self, version: int, added_class: str) -> bytes:
        """Return the sample configuration with one more idempotent class, as JSON."""
        settings: dict[str, Any] = self._config["settings"]
        lanes = [*settings["lanes"], settings["lanes"][0] | {"name": added_class}]
        configuration = self._config | {"version": version, "settings": settings | {"lanes": lanes}}
        return json.dumps(configuration).encode()

    def replace_file(self, content: bytes) -> float:
        """Replace the configuration file atomically and send SIGHUP.

        Returns:
            The time just before the replacement, in seconds on the monotonic clock.
        """
        path = self._folder / "config.json"
        temporary_path = path.with_suffix(".new")
        temporary_path.write_bytes(content)
        replaced_at = time.monotonic()
        os.replace(temporary_path, path)
        self.process.popen.send_signal(signal.SIGHUP)
        return replaced_at

    async def call(self, service_class: str) -> CallResult:
        """Send a request of a service class.

        It is a GET for class "read", a POST with an idempotency key for "update", and one without for "send".
        """
        self._call_count += 1
        call_id = f"{self.process.pid:08x}{self._call_count:08x}"
        request = format_call(
            service_class, call_id, _REQUEST_BUDGET_S, call_id if service_class == "update" else None
        )
        if service_class == "send":
            request = request.replace(b"GET ", b"POST ", 1)
        return await self._client.call(request, time.monotonic(), _CALL_TIMEOUT_S)

    async def accepts_class(self, service_class: str) -> bool:
        """Return whether the sidecar accepts requests of a class; it rejects an unknown class with 400."""
        return (await self.call(service_class)).status != HTTPStatus.BAD_REQUEST

    async def replace_and_wait(self, content: bytes, added_class: str, timeout_s: float) -> float | None:
        """Replace the configuration file and poll until requests of an added class are accepted.

        File operations may block, so they run in a thread.  Meanwhile the event loop serves the requests in
        flight and polls the other sidecars.

        Returns:
            The seconds from the replacement until the first request was accepted and served; None if that
            took longer than `timeout_s`.
        """
        replaced_at = await asyncio.to_thread(self.replace_file, content)
        poll_interval_s = _INITIAL_POLL_INTERVAL_S
        while time.monotonic() < replaced_at + timeout_s:
            if await self.accepts_class(added_class):
                return time.monotonic() - replaced_at
            await asyncio.sleep(poll_interval_s)
            poll_interval_s = min(poll_interval_s * _POLL_INTERVAL_FACTOR, _MAXIMUM_POLL_INTERVAL_S)
        return None

    def close(self) -> None:
        """Close the connections to the sidecar."""
        self._client.close()
