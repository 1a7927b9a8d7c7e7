"""An endpoint list arrives while requests, connections and other calls are in progress."""

from __future__ import annotations

import asyncio

import pytest
from balancer_harness import SECOND_US
from proxy_harness import (
    CLASSES,
    LIMITS,
    full_backlog_listener,
    respond_ok,
    run_scenario,
    running_proxy,
    wait_until,
)
from race_helpers import FAR_DEADLINE

from sidecar.balancer.events import Outcome, ServerState
from sidecar.proxy.addresses import Address
from sidecar.proxy.connection_pool import ConnectionPool
from sidecar.proxy.discovery_client import DiscoveryClient
from sidecar.proxy.exchange import EncodedRequest
from sidecar.proxy.registry_messages import RegistryResponse, parse_registry_response


def test_slow_snapshot_arrives_after_the_delta_of_a_watch() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            await wait_until(lambda: proxy.discovery.has_calls(1))
            proxy.sidecar._endpoint_list.client.fetch()
            await wait_until(lambda: proxy.discovery.has_calls(2))
            (server,) = proxy.servers
            known = proxy.sidecar._balancer._context.registry.servers["s-0"]
            proxy.discovery.push_update(43, [server.entry(status="leaving")])  # answers the watch
            await wait_until(lambda: known.state is ServerState.DRAINING)
            await wait_until(lambda: proxy.discovery.has_calls(3))  # the watch continues
            # This answers the fetch, which was called before the watch continued.
            proxy.discovery.push_update(42, [server.entry()], snapshot=True)
            await wait_until(lambda: not proxy.sidecar._endpoint_list.client._fetches)
            assert known.state is ServerState.DRAINING
            proxy.discovery.push_update(44, [])
            await wait_until(lambda: proxy.discovery.has_calls(4))
            watched = [each.split("&")[0] for each in proxy.discovery.targets if "after" in each]
            assert watched == [f"/registry/instances?after={index}" for index in (41, 43, 44)]

    run_scenario(scenario())


def test_server_changes_its_address_while_its_former_one_is_dialed() -> None:
    async def scenario() -> None:
        with full_backlog_listener() as address:
            pool = ConnectionPool(600.0, 600.0, 10)
            pool.update("s", address, None, ServerState.READY)
            outcomes: list[Outcome] = []
            pool.send("s", EncodedRequest(b""), FAR_DEADLINE, lambda outcome, _: outcomes.append(outcome))
            pool.update("s", ("127.0.0.1", 9), None, ServerState.READY)
            assert outcomes == [Outcome.NOT_SENT]  # does not count as a failure of the server
            await wait_until(lambda: pool.open_connections == 0)

    run_scenario(scenario())


def test_dial_ends_as_its_server_drains_and_the_next_request_of_the_key_is_due() -> None:
    # The balancer processes the end of the dial before the list, and then sends the next request of the key.
    classes = [each | {"ordered_by_key": True} for each in CLASSES]
    limits = LIMITS | {"max_attempts": 1, "dial_timeout_us": 600 * SECOND_US}

    async def scenario() -> None:
        with full_backlog_listener() as address:
            async with running_proxy(respond_ok, classes=classes, limits=limits) as proxy:
                proxy.sidecar._pool.update("s-0", address, None, ServerState.READY)
                sending = [
                    asyncio.create_task(
                        proxy.send_request(kind="pay", body=b"x", X_Call_Id=each, budget="500")
                    )
                    for each in ("first", "second")
                ]
                await wait_until(lambda: len(proxy.sidecar._active) == 2)
                address_text = "{}:{}".format(*address)
                entry = proxy.servers[0].entry(status="leaving", address=address_text)
                proxy.sidecar._endpoint_list.on_response(
                    parse_registry_response({"index": 42, "endpoints": [entry]})
                )
                dialing = proxy.sidecar._pool.servers["s-0"].dialing_exchanges
                assert not dialing
                assert {(await each)[0] for each in sending} == {503}

    run_scenario(scenario())


def test_migration_as_the_former_registry_responds(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        responses: list[RegistryResponse | None] = []
        calls: list[tuple[Address, str, asyncio.Future[RegistryResponse]]] = []

        async def call(self: DiscoveryClient, target: str, _timeout_s: float) -> RegistryResponse:
            calls.append((self._address, target, asyncio.get_running_loop().create_future()))
            return await calls[-1][2]

        monkeypatch.setattr(DiscoveryClient, "_call", call)
        discovery = DiscoveryClient(("127.0.0.1", 1), 41, responses.append)
        discovery.start_watch()
        await wait_until(lambda: calls)
        calls[0][2].set_result(RegistryResponse(99, True, []))
        discovery.migrate(("127.0.0.1", 2))  # before the task of the watch runs
        await wait_until(lambda: len(calls) == 2)
        assert responses == []
        assert calls[1][:2] == (("127.0.0.1", 2), "/registry/instances")
        calls[1][2].set_result(RegistryResponse(7, True, []))
        await wait_until(lambda: len(calls) == 3)
        assert [response and response.version for response in responses] == [7]
        assert calls[2][1].startswith("/registry/instances?after=7&")
        discovery.stop()

    run_scenario(scenario())
