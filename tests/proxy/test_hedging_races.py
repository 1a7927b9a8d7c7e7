"""A client that disconnects while its request is hedged."""

from __future__ import annotations

import pytest
from proxy_harness import LIMITS, never_respond, run_scenario, running_proxy, wait_until
from proxy_harness import request as request_bytes
from race_helpers import Client, open_reusable_connections

from sidecar.balancer.policy.hedging import HedgingPolicy
from sidecar.balancer.state import Attempt, Request

HEDGING = LIMITS | {"allow_hedging": True}


@pytest.mark.parametrize("client_disconnects", [True, False])
@pytest.mark.parametrize("needs_dial", [True, False])
def test_client_disconnects_as_its_request_is_hedged(
    needs_dial: bool, client_disconnects: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with running_proxy(never_respond, never_respond, limits=HEDGING) as proxy:
            if not needs_dial:
                for each in proxy.servers:
                    each.script = lambda *_: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                await open_reusable_connections(proxy)
                for each in proxy.servers:
                    each.script = never_respond
            requests_before = len(proxy.server_requests())
            examined_attempts: list[int] = []

            def examine_overdue_attempt(policy: HedgingPolicy, request: Request, attempt: Attempt) -> bool:
                if client_disconnects and not examined_attempts:
                    client.disconnect()  # its FIN is in the kernel, unread, as the hedge is sent
                examined_attempts.append(attempt.index)
                return len(examined_attempts) == 1

            monkeypatch.setattr(HedgingPolicy, "examine_overdue_attempt", examine_overdue_attempt)
            client = Client(proxy.sidecar.frontend.address, request_bytes())
            await wait_until(lambda: examined_attempts)
            if client_disconnects:
                await wait_until(lambda: not proxy.sidecar._active)
            else:
                await wait_until(lambda: len(proxy.server_requests()) == requests_before + 2)
            assert (await proxy.send_request(path="/health/ready"))[0] == 200  # the event loop has run
            assert len(proxy.server_requests()) == requests_before + (1 if client_disconnects else 2)
            client.close()

    run_scenario(scenario())
