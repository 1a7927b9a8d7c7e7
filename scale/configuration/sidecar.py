"""A real sidecar whose file can be replaced and whose active settings can be probed from outside."""

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

SAMPLE_CLASSES = ("read", "update", "send")  # of the sample configuration, one per idempotency
_REQUEST_BUDGET_S = 1.5
_CALL_TIMEOUT_S = 3.0
_INITIAL_POLL_INTERVAL_S = 0.002
_POLL_INTERVAL_FACTOR = 1.25  # measures a delay to a quarter of itself with few requests
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
            lane["promiseUs"] = lane["giveUpUs"]  # requests delayed for the experiment are not late
        self.process = start_sidecar(group, self._config, folder)
        self._client = HttpClient(self.listen)
        self._call_count = 0

    def await_ready(self) -> None:
        """Wait until it is ready.

        Raises:
            SidecarStartError: It ended first, or took too long.
        """
        wait_until_ready(self.process, self.listen, self._folder)

    def configuration(self, version: int, added_class: str) -> bytes:
        """Return a configuration with one idempotent class more than the sample's, as JSON."""
        settings: dict[str, Any] = self._config["settings"]
        lanes = [*settings["lanes"], settings["lanes"][0] | {"name": added_class}]
        configuration = self._config | {"version": version, "settings": settings | {"lanes": lanes}}
        return json.dumps(configuration).encode()

    def replace_file(self, content: bytes) -> float:
        """Replace its file atomically and send SIGHUP.

        Returns:
            The moment before the replacement, in seconds on the monotonic clock.
        """
        path = self._folder / "config.json"
        temporary_path = path.with_suffix(".new")
        temporary_path.write_bytes(content)
        replaced_at = time.monotonic()
        os.replace(temporary_path, path)
        self.process.popen.send_signal(signal.SIGHUP)
        return replaced_at

    async def call(self, service_class: str) -> CallResult:
        """Make a request of a service class."""
        self._call_count += 1
        call_id = f"{self.process.pid:08x}{self._call_count:08x}"
        request = format_call(
            service_class, call_id, _REQUEST_BUDGET_S, call_id if service_class == "update" else None
        )
        if service_class == "send":
            request = request.replace(b"GET ", b"POST ", 1)
        return await self._client.call(request, time.monotonic(), _CALL_TIMEOUT_S)

    async def accepts_class(self, service_class: str) -> bool:
        """Return whether it accepts requests of a class; an unknown class is a bad request."""
        return (await self.call(service_class)).status != HTTPStatus.BAD_REQUEST

    async def replace_and_await(self, content: bytes, added_class: str, timeout_s: float) -> float | None:
        """Replace its file and poll until it accepts requests of an added class.

        Files may be slow, so they are replaced in a thread: the event loop goes on to serve the requests in
        flight and to poll the other sidecars.

        Returns:
            The seconds until the first request was accepted and served; None if that took too long.
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
        """Close the connections to it."""
        self._client.close()
