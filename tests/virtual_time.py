"""A virtual clock for the event loop, and a scripted registry that fails and comes back on it.

Where nothing is ready, the clock moves on to the loop's next timer; it never counts real time.
"""

from __future__ import annotations

import asyncio
import json
import selectors
from collections.abc import Coroutine
from typing import Any
from urllib.parse import parse_qs, urlsplit

import pytest
from loopback import FakeDiscovery, World, answer, read_message, reset

from sidecar.balancer.events import ServerState
from sidecar.proxy.clock import Clock

_GLANCE_S = 0.001  # what is on its way over loopback is there by then
_TURN_S = 1e-6  # a turn of the loop counts as so long: two moments are never the same
STEP_S = 0.1  # and time moves on by no more than this at once


class SkippingSelector(selectors.DefaultSelector):
    """Waits for hardly longer than a glance, and counts what was to be waited for as passed."""

    passed = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(_GLANCE_S if timeout is None else min(timeout, _GLANCE_S))
        self.passed += _TURN_S
        if not ready and timeout is not None:
            self.passed += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Its clock counts turns and waits, not what runs between them: a busy machine changes nothing."""

    def __init__(self) -> None:
        self.time_selector = SkippingSelector()
        super().__init__(self.time_selector)

    def time(self) -> float:
        return self.time_selector.passed


def _loop_clock(clock: Clock) -> int:
    """The module's clock, as the event loop's."""
    return int(asyncio.get_running_loop().time() * 1e6) + clock._offset_us


def play_in_virtual_time(scene: Coroutine[Any, Any, None]) -> None:
    """Run an asynchronous test on a virtual clock, which the module reads too."""
    with pytest.MonkeyPatch.context() as patch, asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        patch.setattr(Clock, "now", _loop_clock)
        runner.run(scene)


def now_s() -> float:
    return asyncio.get_running_loop().time()


class Service(FakeDiscovery):
    """Discovery as the protocol has it, and as it fails: what was out when it failed stays lost."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 41
        self.changed: list[dict[str, Any]] = []
        self.fault: str | None = None
        self._news = asyncio.Condition()
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
                    await reader.read()  # it failed meanwhile: this call is lost
            elif self.fault == "503":
                writer.write(answer(503, b""))
            elif self.fault == "reset":
                reset(writer)
            else:
                await reader.read()  # it says nothing until its caller leaves
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
            async with asyncio.timeout(wait_s), self._news:
                await self._news.wait_for(lambda: self.version > after)
        except TimeoutError:
            pass
        lines = self.changed if self.version > after else []
        told = {"index": self.version, "snapshot": False, "endpoints": lines}
        return answer(200, json.dumps(told).encode())

    async def change(self, entry: dict[str, Any]) -> None:
        async with self._news:
            self.version += 1
            self.changed.append(entry)
            self._news.notify_all()

    def fail(self, fault: str) -> None:
        """Go wrong; the calls that are out end so, or are never answered."""
        self.fault = fault
        for writer in list(self._calls):
            if fault == "503":
                writer.write(answer(503, b""))
            elif fault in ("reset", "refused"):
                reset(writer)
        self._calls.clear()
        if fault == "refused":
            self.stop()

    async def come_back(self) -> None:
        if self.fault == "refused":
            self._server = await asyncio.start_server(self._serve, *self.address)
        self.fault = None


async def told_within(w: World, limit_s: float, began: float) -> None:
    """Wait until the drain is applied, which has to be in time."""
    server = w.sidecar._balancer._context.registry.servers["s-0"]
    while server.state is not ServerState.DRAINING:
        assert now_s() < began + limit_s, f"not told {limit_s} s later; calls: {len(w.discovery.targets)}"
        await asyncio.sleep(STEP_S)


async def pass_s(span_s: float) -> None:
    ends = now_s() + span_s
    while now_s() < ends:
        await asyncio.sleep(min(STEP_S, ends - now_s()))
