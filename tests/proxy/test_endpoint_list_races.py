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
from sidecar.proxy.http_messages import Response
from sidecar.proxy.registry_messages import RegistryResponse, parse_registry_response


def test_slow_snapshot_arrives_after_the_delta_of_a_watch() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            await wait_until(lambda: proxy.discovery.has_calls(1))
            proxy.sidecar._endpoint_list.client.fetch()
            await wait_until(lambda: proxy.discovery.has_calls(2))
            (server,) = proxy.servers
            state = proxy.sidecar._balancer._context.registry.servers["s-0"]
            proxy.discovery.push_update(43, [server.entry(status="leaving")])  # to the watch
            await wait_until(lambda: state.state is ServerState.DRAINING)
            await wait_until(lambda: proxy.discovery.has_calls(3))  # it goes on
            proxy.discovery.push_update(
                42, [server.entry()], snapshot=True
            )  # to the fetch, which was called before it
            await wait_until(lambda: not proxy.sidecar._endpoint_list.client._fetches)
            assert state.state is ServerState.DRAINING
            proxy.discovery.push_update(44, [])
            await wait_until(lambda: proxy.discovery.has_calls(4))
            watched = [each.split("&")[0] for each in proxy.discovery.targets if "after" in each]
            assert watched == [f"/registry/instances?after={index}" for index in (41, 43, 44)]

    run_scenario(scenario())


def test_server_changes_its_address_while_its_former_one_is_dialed() -> None:
    async def scenario() -> None:
        with full_backlog_listener() as address:
            servers = ConnectionPool(600.0, 600.0, 10)
            servers.update("s", address, None, ServerState.READY)
            heard: list[Outcome] = []
            servers.send("s", EncodedRequest(b""), FAR_DEADLINE, lambda outcome, _: heard.append(outcome))
            servers.update("s", ("127.0.0.1", 9), None, ServerState.READY)
            assert heard == [Outcome.NOT_SENT]  # which is no strike against the server
            await wait_until(lambda: servers.open_connections == 0)

    run_scenario(scenario())


def test_dial_ends_as_its_server_drains_and_the_next_request_of_the_key_is_due() -> None:
    # The end of the dial reaches the balancer ahead of the list, and lets the next request of its key out.
    classes = [each | {"ordered_by_key": True} for each in CLASSES]
    limits = LIMITS | {"max_attempts": 1, "dial_timeout_us": 600 * SECOND_US}

    async def scenario() -> None:
        with full_backlog_listener() as address:
            async with running_proxy(respond_ok, classes=classes, limits=limits) as proxy:
                proxy.sidecar._pool.update("s-0", address, None, ServerState.READY)
                outs = [
                    asyncio.create_task(
                        proxy.send_request(kind="pay", body=b"x", X_Call_Id=each, budget="500")
                    )
                    for each in ("first", "second")
                ]
                await wait_until(lambda: len(proxy.sidecar._active) == 2)
                where = "{}:{}".format(*address)
                entry = proxy.servers[0].entry(status="leaving", address=where)
                proxy.sidecar._endpoint_list.on_response(
                    parse_registry_response({"index": 42, "endpoints": [entry]})
                )
                dialling = proxy.sidecar._pool.servers["s-0"].dialing_exchanges
                assert not dialling
                assert {(await each)[0] for each in outs} == {503}

    run_scenario(scenario())


def test_migration_as_the_former_registry_responds(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        heard: list[RegistryResponse | None] = []
        called: list[tuple[Address, str, asyncio.Future[Response]]] = []

        async def call(self: DiscoveryClient, target: str, _: asyncio.Timeout) -> Response:
            called.append((self._address, target, asyncio.get_running_loop().create_future()))
            return await called[-1][2]

        monkeypatch.setattr(DiscoveryClient, "_call", call)
        discovery = DiscoveryClient(("127.0.0.1", 1), 41, heard.append)
        discovery.start_watch()
        await wait_until(lambda: called)
        called[0][2].set_result(Response(200, [], b'{"index": 99, "snapshot": true, "endpoints": []}'))
        discovery.migrate(("127.0.0.1", 2))  # before the watch had a turn
        await wait_until(lambda: len(called) == 2)
        assert heard == []
        assert called[1][:2] == (("127.0.0.1", 2), "/registry/instances")
        called[1][2].set_result(Response(200, [], b'{"index": 7, "snapshot": true, "endpoints": []}'))
        await wait_until(lambda: len(called) == 3)
        assert [response and response.version for response in heard] == [7]
        assert called[2][1].startswith("/registry/instances?after=7&")
        discovery.stop()

    run_scenario(scenario())
