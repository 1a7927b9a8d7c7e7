"""A virtual clock for the event loop, and a registry stand-in that fails and recovers on it.

When no socket is ready, the clock advances to the loop's next timer; it never measures real time.
"""

from __future__ import annotations

import asyncio
import json
import selectors
from collections.abc import Coroutine
from typing import Any
from urllib.parse import parse_qs, urlsplit

import pytest
from proxy_harness import FakeDiscovery, ProxyHarness, encode_response, read_message, reset

from sidecar.balancer.events import ServerState
from sidecar.proxy.clock import Clock

_POLL_S = 0.001  # data sent over loopback arrives within this real time
_ITERATION_S = 1e-6  # virtual time of one loop iteration: no two timestamps are equal
STEP_S = 0.1  # longest single advance of the virtual time


class SkippingSelector(selectors.DefaultSelector):
    """Polls only briefly, and counts the requested timeout as elapsed."""

    elapsed_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(_POLL_S if timeout is None else min(timeout, _POLL_S))
        self.elapsed_s += _ITERATION_S
        if not ready and timeout is not None:
            self.elapsed_s += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Its clock counts iterations and timeouts, not the code between them: a busy machine has no effect."""

    def __init__(self) -> None:
        self.time_selector = SkippingSelector()
        super().__init__(self.time_selector)

    def time(self) -> float:
        return self.time_selector.elapsed_s


def _loop_clock(clock: Clock) -> int:
    """The sidecar's clock, read from the event loop."""
    return int(asyncio.get_running_loop().time() * 1e6) + clock._offset_us


def run_in_virtual_time(scenario: Coroutine[Any, Any, None]) -> None:
    """Run an asynchronous test on a virtual clock, which the sidecar reads too."""
    with pytest.MonkeyPatch.context() as patch, asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        patch.setattr(Clock, "now", _loop_clock)
        runner.run(scenario)


def now_s() -> float:
    return asyncio.get_running_loop().time()


class RegistryStandIn(FakeDiscovery):
    """A registry with long polls and scripted faults: calls pending at a fault are lost."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 41
        self.changes: list[dict[str, Any]] = []
        self.fault: str | None = None
        self._version_changed = asyncio.Condition()
        self._calls: set[asyncio.StreamWriter] = set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._calls.add(writer)
        try:
            first, _, _ = await read_message(reader)
            self.targets.append(first.split(" ")[1])
            if self.fault is None:
                reply = await self._answer(self.targets[-1])
                if writer in self._calls:
                    writer.write(reply)
                else:
                    await reader.read()  # it failed in the meantime: this call is lost
            elif self.fault == "503":
                writer.write(encode_response(503, b""))
            elif self.fault == "reset":
                reset(writer)
            else:
                await reader.read()  # no response until the caller disconnects
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._calls.discard(writer)
            writer.close()

    async def _answer(self, target: str) -> bytes:
        query = parse_qs(urlsplit(target).query)
        after = int(query["after"][0]) if "after" in query else -1
        wait_s = int(query.get("wait_ms", ["0"])[0]) / 1000
        try:
            async with asyncio.timeout(wait_s), self._version_changed:
                await self._version_changed.wait_for(lambda: self.version > after)
        except TimeoutError:
            pass
        endpoints = self.changes if self.version > after else []
        payload = {"index": self.version, "snapshot": False, "endpoints": endpoints}
        return encode_response(200, json.dumps(payload).encode())

    async def change(self, entry: dict[str, Any]) -> None:
        async with self._version_changed:
            self.version += 1
            self.changes.append(entry)
            self._version_changed.notify_all()

    def fail(self, fault: str) -> None:
        """Begin a fault; pending calls fail the same way, or never get a response."""
        self.fault = fault
        for writer in list(self._calls):
            if fault == "503":
                writer.write(encode_response(503, b""))
            elif fault in ("reset", "refused"):
                reset(writer)
        self._calls.clear()
        if fault == "refused":
            self.stop()

    async def recover(self) -> None:
        if self.fault == "refused":
            self._server = await asyncio.start_server(self._serve, *self.address)
        self.fault = None


async def assert_notified_within(proxy: ProxyHarness, limit_s: float, began: float) -> None:
    """Wait until the drain is applied, and fail if that takes longer than the limit."""
    server = proxy.sidecar._balancer._context.registry.servers["s-0"]
    while server.state is not ServerState.DRAINING:
        assert now_s() < began + limit_s, (
            f"not notified {limit_s} s later; calls: {len(proxy.discovery.targets)}"
        )
        await asyncio.sleep(STEP_S)


async def advance(span_s: float) -> None:
    ends = now_s() + span_s
    while now_s() < ends:
        await asyncio.sleep(min(STEP_S, ends - now_s()))
