"""A client that leaves as its request is hedged."""

from __future__ import annotations

import pytest
from proxy_harness import LIMITS, never_respond, run_scenario, running_proxy, wait_until
from proxy_harness import request as request_bytes
from race_helpers import Client, open_reusable_connections

from sidecar.balancer.policy.hedging import HedgingPolicy
from sidecar.balancer.state import Attempt, Request

HEDGING = LIMITS | {"allow_hedging": True}


@pytest.mark.parametrize("leaves", [True, False])
@pytest.mark.parametrize("dialled", [True, False])
def test_client_disconnects_as_its_request_is_hedged(
    dialled: bool, leaves: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with running_proxy(never_respond, never_respond, limits=HEDGING) as proxy:
            if not dialled:
                for each in proxy.servers:
                    each.script = lambda *_: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                await open_reusable_connections(proxy)
                for each in proxy.servers:
                    each.script = never_respond
            before = len(proxy.server_requests())
            hedged: list[int] = []

            def examine_overdue_attempt(detector: HedgingPolicy, request: Request, attempt: Attempt) -> bool:
                if leaves and not hedged:
                    client.disconnect()  # its end is in the kernel, and unread, as the hedge is sent
                hedged.append(attempt.index)
                return len(hedged) == 1

            monkeypatch.setattr(HedgingPolicy, "examine_overdue_attempt", examine_overdue_attempt)
            client = Client(proxy.sidecar.frontend.address, request_bytes())
            await wait_until(lambda: hedged)
            if leaves:
                await wait_until(lambda: not proxy.sidecar._active)
            else:
                await wait_until(lambda: len(proxy.server_requests()) == before + 2)
            assert (await proxy.send_request(path="/health/ready"))[0] == 200  # the loop has had its turns
            assert len(proxy.server_requests()) == before + (1 if leaves else 2)
            client.close()

    run_scenario(scenario())
