"""A client that leaves as its request is hedged."""

from __future__ import annotations

import pytest
from loopback import LIMITS, hung, play, until, world
from loopback import request as request_bytes
from race_stage import Client, rested_everywhere

from sidecar.balancer.policy.hedging import HedgingPolicy
from sidecar.balancer.state import Attempt, Request

HEDGING = LIMITS | {"allow_hedging": True}


@pytest.mark.parametrize("leaves", [True, False])
@pytest.mark.parametrize("dialled", [True, False])
def test_client_disconnects_as_its_request_is_hedged(
    dialled: bool, leaves: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        async with world(hung, hung, limits=HEDGING) as w:
            if not dialled:
                for each in w.servers:
                    each.script = lambda *_: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                await rested_everywhere(w)
                for each in w.servers:
                    each.script = hung
            before = len(w.sent())
            hedged: list[int] = []

            def is_hedge_due(detector: HedgingPolicy, request: Request, attempt: Attempt) -> bool:
                if leaves and not hedged:
                    client.leave()  # its end is in the kernel, and unread, as the hedge is sent
                hedged.append(attempt.index)
                return len(hedged) == 1

            monkeypatch.setattr(HedgingPolicy, "is_hedge_due", is_hedge_due)
            client = Client(w.sidecar.frontend.address, request_bytes())
            await until(lambda: hedged)
            if leaves:
                await until(lambda: not w.sidecar._active)
            else:
                await until(lambda: len(w.sent()) == before + 2)
            assert (await w.ask(path="/health/ready"))[0] == 200  # the loop has had its turns
            assert len(w.sent()) == before + (1 if leaves else 2)
            client.close()

    play(scene())
