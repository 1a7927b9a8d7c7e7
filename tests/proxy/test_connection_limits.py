"""Limits on the duration of dials and on the number of connections."""

from __future__ import annotations

import asyncio
import time

import pytest
from pool_requests import outcome_of, post_request
from proxy_harness import (
    FakeServer,
    full_backlog_listener,
    never_respond,
    respond_ok,
    run_scenario,
    wait_until,
)

from sidecar.balancer.events import Outcome, ServerState
from sidecar.proxy.connection_pool import ConnectionPool


@pytest.mark.parametrize(("dial_timeout_s", "timeout_s"), [(0.1, 30.0), (30.0, 0.1)])
def test_dial_ends_at_the_dial_timeout_and_at_the_deadline(dial_timeout_s: float, timeout_s: float) -> None:
    async def scenario() -> None:
        with full_backlog_listener() as address:
            pool = ConnectionPool(dial_timeout_s, 60.0, 10)
            pool.update("s", address, None, ServerState.READY)
            assert await outcome_of(pool, timeout_s) is Outcome.CONNECT_FAILED
            await wait_until(lambda: pool.open_connections == 0)

    run_scenario(scenario())


def test_dial_that_succeeded_while_the_event_loop_lagged_is_not_a_failure() -> None:
    async def scenario() -> None:
        server = FakeServer("s", respond_ok)
        await server.start()
        pool = ConnectionPool(0.1, 60.0, 10)
        pool.update("s", server.address, None, ServerState.READY)
        outcome = asyncio.create_task(outcome_of(pool))
        while not pool.open_connections:
            await asyncio.sleep(0)
        await asyncio.sleep(0)  # the dial is in progress
        time.sleep(0.5)
        assert await outcome is Outcome.SUCCEEDED
        server.stop()

    run_scenario(scenario())


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.REMOVED])
def test_dial_in_progress_to_a_draining_or_removed_server_is_ended(state: ServerState) -> None:
    # Guards against a slow dial that writes its request after the grace period of the drain.
    async def scenario() -> None:
        with full_backlog_listener() as address:
            pool = ConnectionPool(30.0, 60.0, 10)
            pool.update("s", address, None, ServerState.READY)
            sending = asyncio.create_task(outcome_of(pool))
            await wait_until(lambda: pool.open_connections == 1)
            pool.update("s", address, None, state)
            assert await sending is Outcome.CONNECT_FAILED
            await wait_until(lambda: pool.open_connections == 0)

    run_scenario(scenario())


def test_connections_stay_within_their_limit() -> None:
    # Guards against exceeding the descriptor limit: a new connection may replace an idle one to another
    # server, but none in use.
    async def scenario() -> None:
        servers = [FakeServer("a", respond_ok), FakeServer("s", never_respond)]
        pool = ConnectionPool(1.0, 60.0, 1)
        for each in servers:
            await each.start()
            pool.update(each.name, each.address, None, ServerState.READY)
        loop = asyncio.get_running_loop()
        outcomes: list[Outcome] = []
        pool.send("a", post_request(), loop.time() + 30, lambda outcome, _: outcomes.append(outcome))
        await wait_until(lambda: outcomes)
        pool.send("s", post_request(), loop.time() + 30, lambda outcome, _: outcomes.append(outcome))
        await wait_until(lambda: servers[1].requests)
        assert await outcome_of(pool) is Outcome.CONNECT_FAILED
        for each in servers:
            each.stop()

    run_scenario(scenario())
