"""How long after discovery has a change it is applied, whatever the calls before came to.

Time is warped: where nothing is ready, the event loop's clock moves on to its next timer.
"""

from __future__ import annotations

import asyncio
import json
import selectors
from collections.abc import Callable, Coroutine
from typing import Any
from urllib.parse import parse_qs, urlsplit

import pytest
from helpers import S
from loopback import FakeDiscovery, World, answer, read_message, reset, world

from topazbank.interface import ServerState
from topazbank.net import discovery, sidecar, upstream
from topazbank.net.upstream import Connection

TOLD_S = 6.0  # after discovery has it and can be reached, a change counts as told
_GLANCE_S = 0.001  # what is on its way over loopback is there by then
_STEP_S = 0.1  # and time moves on by no more than this at once


class Warping(selectors.DefaultSelector):
    """Waits for hardly longer than a glance, and counts the rest as passed."""

    skipped = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(_GLANCE_S if timeout is None else min(timeout, _GLANCE_S))
        if not ready and timeout is not None:
            self.skipped += max(timeout - _GLANCE_S, 0.0)
        return ready


class WarpedLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.warping = Warping()
        super().__init__(self.warping)

    def time(self) -> float:
        return super().time() + self.warping.skipped


def play_warped(scene: Coroutine[Any, Any, None]) -> None:
    with asyncio.Runner(loop_factory=WarpedLoop) as runner:
        runner.run(scene)


@pytest.fixture(autouse=True)
def one_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """The module's clock is the event loop's."""

    def now(self: sidecar.Clock) -> int:
        return int(asyncio.get_running_loop().time() * 1e6) + self._offset_us

    monkeypatch.setattr(sidecar.Clock, "now", now)


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


@pytest.fixture
def service(monkeypatch: pytest.MonkeyPatch) -> Callable[[], Service]:
    """Makes services; a dial begun while one is cut off never comes up."""
    made: list[Service] = []
    connect = upstream.connect

    async def dial(address: object, *given: object) -> Connection:
        if any(each.address == address and each.fault == "cut off" for each in made):
            await asyncio.Event().wait()
        return await connect(address, *given)  # type: ignore[arg-type]

    def make() -> Service:
        made.append(Service())
        return made[-1]

    monkeypatch.setattr(discovery, "connect", dial)
    return make


async def told_within(w: World, limit_s: float, began: float) -> None:
    """Wait until the drain is applied, which has to be in time."""
    server = w.sidecar._balancer._servers["s-0"]
    while server.state is not ServerState.DRAINING:
        assert now_s() < began + limit_s, f"not told {limit_s} s later; calls: {len(w.discovery.targets)}"
        await asyncio.sleep(_STEP_S)


async def pass_s(span_s: float) -> None:
    ends = now_s() + span_s
    while now_s() < ends:
        await asyncio.sleep(min(_STEP_S, ends - now_s()))


def served(*_: object) -> bytes:
    return answer(200, b"served")


# The settings allow far longer; nothing of that counts after a failed call.
RULES = {"ask_within_us": 60 * S}
FAULTS = ("503", "reset", "refused", "cut off", "silent")


@pytest.mark.parametrize("change_first", [True, False])
@pytest.mark.parametrize("fault", FAULTS)
def test_a_change_is_applied_in_time_after_any_fault(
    fault: str, change_first: bool, service: Callable[[], Service]
) -> None:
    async def scene() -> None:
        for outage_s in (0.05, 0.4, 1.6, 2.9, 4.6, 13.0):
            there = service()
            async with world(served, service=there, rules=RULES) as w:
                leaving = w.servers[0].entry(status="leaving")
                await pass_s(1.0)
                there.fail(fault)
                await pass_s(outage_s)
                if change_first:
                    await there.change(leaving)
                await there.come_back()
                began = now_s()
                if not change_first:
                    await there.change(leaving)
                await told_within(w, TOLD_S, began)

    play_warped(scene())


@pytest.mark.parametrize("after_s", [0.1, 1.0, 2.4, 3.9, 4.2])
def test_a_change_is_applied_in_time_while_a_watch_is_silent(
    after_s: float, service: Callable[[], Service]
) -> None:
    # The watch alone fell silent: its service has the change, and answers whoever calls anew.
    async def scene() -> None:
        there = service()
        async with world(served, service=there, rules=RULES) as w:
            await pass_s(0.5)
            there.fail("silent")
            await there.come_back()
            await pass_s(after_s)
            began = now_s()
            await there.change(w.servers[0].entry(status="leaving"))
            await told_within(w, TOLD_S, began)

    play_warped(scene())


@pytest.mark.parametrize("fault", FAULTS)
def test_a_change_is_applied_in_time_where_discovery_moved_while_it_was_down(
    fault: str, service: Callable[[], Service]
) -> None:
    async def scene() -> None:
        for outage_s in (0.3, 2.2, 9.0):
            former, latter = service(), service()
            await latter.start()
            async with world(served, service=former, rules=RULES) as w:
                await pass_s(0.5)
                former.fail(fault)
                latter.fail(fault)
                await latter.change(w.servers[0].entry(status="leaving"))
                w.sidecar.move_discovery(latter.address)
                await pass_s(outage_s)
                await latter.come_back()
                await told_within(w, TOLD_S, now_s())
            latter.stop()

    play_warped(scene())


def test_a_change_is_applied_four_seconds_after_a_move_though_the_first_call_falls_silent(
    service: Callable[[], Service],
) -> None:
    async def scene() -> None:
        former, latter = service(), service()
        await latter.start()
        async with world(served, service=former, rules=RULES) as w:
            await pass_s(0.5)
            await latter.change(w.servers[0].entry(status="leaving"))
            latter.fail("silent")
            began = now_s()
            w.sidecar.move_discovery(latter.address)
            while not latter.targets:
                await asyncio.sleep(_STEP_S)
            await latter.come_back()
            await told_within(w, 4.0, began)
        latter.stop()

    play_warped(scene())


def test_a_watch_calls_no_more_than_it_must(service: Callable[[], Service]) -> None:
    # Each call costs a service that answers a whole fleet in turn; shorter waits than this buy nothing.
    async def scene() -> None:
        there = service()
        async with world(served, service=there, rules=RULES):
            await pass_s(60.0)
            assert 15 <= len(there.targets) <= 20
            waits = {int(parse_qs(urlsplit(each).query)["wait_ms"][0]) for each in there.targets}
            assert len(waits) > 5  # instances that were silenced at once do not come back at once

    play_warped(scene())
