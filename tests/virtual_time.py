"""A virtual clock for the event loop, and a registry stand-in that fails and recovers on it.

When no socket is ready, the clock advances to the loop's next timer; it never measures real time.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import selectors
import socket
from collections.abc import Coroutine
from typing import Any
from urllib.parse import parse_qs, urlsplit

import pytest
from proxy_harness import FakeDiscovery, ProxyHarness, encode_response, read_message, reset

from sidecar.balancer.events import ServerState
from sidecar.proxy.clock import Clock

_POLL_S = 0.001  # real time within which data sent over loopback arrives
_ITERATION_S = 1e-6  # virtual time of one loop iteration, so that no two iterations have the same time
STEP_S = 0.1  # longest single sleep while a test lets virtual time pass


class VirtualTimeSelector(selectors.DefaultSelector):
    """A selector that polls briefly; if no socket is ready, it counts the requested timeout as elapsed."""

    elapsed_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(_POLL_S if timeout is None else min(timeout, _POLL_S))
        self.elapsed_s += _ITERATION_S
        if not ready and timeout is not None:
            self.elapsed_s += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock counts iterations and timeouts.

    The execution time of the code between them does not count, so that a busy machine has no effect.
    """

    def __init__(self) -> None:
        self.time_selector = VirtualTimeSelector()
        super().__init__(self.time_selector)

    def time(self) -> float:
        return self.time_selector.elapsed_s


def _loop_clock(clock: Clock) -> int:
    """Return the time of the sidecar's clock, derived from the event loop's, in microseconds."""
    return int(asyncio.get_running_loop().time() * 1e6) + clock._offset_us


def run_in_virtual_time(scenario: Coroutine[Any, Any, None]) -> None:
    """Run an asynchronous test on a virtual clock, which the sidecar uses too."""
    with pytest.MonkeyPatch.context() as patch, asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        patch.setattr(Clock, "now", _loop_clock)
        runner.run(scenario)


def now_s() -> float:
    """Return the time of the running event loop."""
    return asyncio.get_running_loop().time()


class RegistryStandIn(FakeDiscovery):
    """A registry with long polls and scripted faults; calls that are pending when a fault begins are lost.

    Attributes:
        response_delay_s: How long each call waits for its turn.
        most_concurrent_calls: The largest number of calls that were open at once.
    """

    def __init__(self) -> None:
        super().__init__()
        self.version = 41
        self.changes: list[dict[str, Any]] = []
        self.fault: str | None = None
        self.response_delay_s = 0.0
        self.most_concurrent_calls = 0
        self._version_changed = asyncio.Condition()
        self._calls: set[asyncio.StreamWriter] = set()
        self._reserved_port = contextlib.ExitStack()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._calls.add(writer)
        try:
            request_line, _, _ = await read_message(reader)
            self.targets.append(request_line.split(" ")[1])
            self.most_concurrent_calls = max(self.most_concurrent_calls, len(self._calls))
            if self.fault is None:
                await asyncio.sleep(self.response_delay_s)
                reply = await self._answer(self.targets[-1])
                if writer in self._calls:
                    writer.write(reply)
                else:
                    await reader.read()  # a fault began in the meantime: this call is lost
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
        """Add a version with a changed entry, and answer the pending long polls."""
        async with self._version_changed:
            self.version += 1
            self.changes.append(entry)
            self._version_changed.notify_all()

    def fail(self, fault: str) -> None:
        """Begin a fault.  Pending calls fail in the same way, or never get a response.

        Args:
            fault: What happens to calls: "503" (an error response), "reset" (a connection reset) or "refused"
                (the listener is closed).  With any other value calls get no response.
        """
        self.fault = fault
        for writer in list(self._calls):
            if fault == "503":
                writer.write(encode_response(503, b""))
            elif fault in ("reset", "refused"):
                reset(writer)
        self._calls.clear()
        if fault == "refused":
            self.stop()
            self._reserve_port()

    def _reserve_port(self) -> None:
        """Keep the port while nobody listens, so that no other process answers in the meantime."""
        reserved = self._reserved_port.enter_context(socket.socket())
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(self.address)

    def stop(self) -> None:
        """Stop listening, and release the port."""
        super().stop()
        self._reserved_port.close()

    async def recover(self) -> None:
        """End the fault."""
        if self.fault == "refused":
            self._server = await asyncio.start_server(self._serve, *self.address)
            self._reserved_port.close()
        self.fault = None


async def assert_notified_within(proxy: ProxyHarness, limit_s: float, since_s: float) -> None:
    """Wait until the drain of server s-0 is applied, and fail if that takes longer than the limit."""
    server = proxy.sidecar._balancer._context.registry.servers["s-0"]
    while server.state is not ServerState.DRAINING:
        assert now_s() < since_s + limit_s, (
            f"drain not applied within {limit_s} s; registry calls: {len(proxy.discovery.targets)}"
        )
        await asyncio.sleep(STEP_S)


async def advance(duration_s: float) -> None:
    """Let virtual time pass, in steps of at most `STEP_S`."""
    end_s = now_s() + duration_s
    while now_s() < end_s:
        await asyncio.sleep(min(STEP_S, end_s - now_s()))
