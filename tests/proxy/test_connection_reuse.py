"""Which idle connections are reused for further requests, and how long they are kept."""

from __future__ import annotations

import asyncio
import socket

import pytest
from balancer_harness import SECOND_US
from pool_requests import outcome_of
from proxy_harness import LIMITS, FakeServer, respond_ok, run_scenario, running_proxy, wait_until

from sidecar.balancer.events import Outcome, ServerState
from sidecar.proxy.connection_pool import ConnectionPool
from sidecar.proxy.idle_lifetimes import IdleLifetimeEstimator


def test_connections_are_reused() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            for _ in range(5):
                assert (await proxy.send_request())[0] == 200
                await asyncio.sleep(0.05)  # longer than the reuse delay
            assert len(proxy.servers[0].writers) == 1

    run_scenario(scenario())


def test_connection_is_not_reused_before_the_reuse_delay_even_at_the_connection_limit() -> None:
    # A close or a second response may still be in transit behind the response, and would be taken for the
    # response to the next request.  At the connection limit a new connection replaces an idle one instead.
    async def scenario() -> None:
        limits = LIMITS | {"dial_timeout_us": 600 * SECOND_US}
        async with running_proxy(respond_ok, sockets=72, limits=limits) as proxy:
            for _ in range(9):
                assert (await proxy.send_request())[0] == 200
                assert proxy.sidecar._pool.open_connections <= 4  # the descriptor limit allows no more
            assert len(proxy.servers[0].writers) == 9

    run_scenario(scenario())


# Guards against writing a request to a connection that its server has already closed or sent stray bytes on.
@pytest.mark.parametrize("unread", ["end", "stray"])
def test_connection_with_an_unread_end_or_stray_bytes_is_not_reused(unread: str) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            assert (await proxy.send_request(kind="pay", body=b"x"))[0] == 200
            connection = proxy.sidecar._pool.servers["s-0"].idle_connections[0].connection
            writer = proxy.servers[0].writers[0]
            if unread == "end":
                server_sock = writer.get_extra_info("socket")
                server_sock.shutdown(socket.SHUT_WR)
            else:
                writer.write(b"HTTP/1.1 200 X\r\n")
            # Blocks until the kernel has it.  The event loop can't have read it, so only a peek detects it.
            connection.sock.setblocking(True)
            assert connection.sock.recv(1, socket.MSG_PEEK) is not None
            connection.sock.setblocking(False)
            assert not connection.is_idle()
            assert (await proxy.send_request(kind="pay", body=b"x"))[0] == 200
            assert len(proxy.servers[0].writers) == 2

    run_scenario(scenario())


def test_connections_are_not_trusted_after_idle_times_with_frequent_failures() -> None:
    lifetimes = IdleLifetimeEstimator(10.0)
    for _ in range(40):
        lifetimes.record(None, False)
        lifetimes.record(0.04, False)
    assert lifetimes.is_trusted(5.0, 0.0)
    for number in range(40):
        lifetimes.record(0.3, number % 3 == 0)
    assert lifetimes.is_trusted(0.04, 0.0)
    assert not lifetimes.is_trusted(0.3, 0.0)
    assert not lifetimes.is_trusted(5.0, 0.0)
    assert lifetimes.is_trusted(5.0, 40.0)  # the earlier observations have decayed


def test_failures_as_frequent_on_new_connections_do_not_count_against_idle_ones() -> None:
    lifetimes = IdleLifetimeEstimator(10.0)
    for number in range(60):
        lifetimes.record(None, number % 4 == 0)
        lifetimes.record(0.3, number % 4 == 0)
    assert lifetimes.is_trusted(0.3, 0.0)


def test_requests_get_new_connections_if_idle_ones_break() -> None:
    async def scenario() -> None:
        used: set[asyncio.StreamWriter] = set()

        def serve_first_and_reset_later(*_: object) -> bytes:
            writer = server.writers[-1]
            if writer in used:
                return b""
            used.add(writer)
            return respond_ok()

        server = FakeServer("s", serve_first_and_reset_later)
        await server.start()
        pool = ConnectionPool(30.0, 60.0, 10)
        pool._idle_connections.reuse_delay_s = 0.0  # connections are reused at once
        pool.update("s", server.address, None, ServerState.READY)
        outcomes = [await outcome_of(pool) for _ in range(100)]
        assert Outcome.RESET in outcomes
        # Lags spread requests over several buckets of idle times, of which each collects failures separately.
        assert set(outcomes[60:]) == {Outcome.SUCCEEDED}
        server.stop()

    run_scenario(scenario())


def test_idle_connection_is_closed_before_the_idle_timeout_of_its_server() -> None:
    async def scenario() -> None:
        limits = {"max_attempts": 3, "allow_cancel": True, "idle_close_us": 1 * SECOND_US}
        async with running_proxy(respond_ok, limits=limits) as proxy:
            assert (await proxy.send_request())[0] == 200
            loop = asyncio.get_running_loop()
            timer = proxy.sidecar._pool.servers["s-0"].idle_connections[0].close_timer
            assert timer.when() - loop.time() < 0.95
            await wait_until(lambda: proxy.servers[0].closed_by_peer == 1)

    run_scenario(scenario())


def test_connections_of_a_restarted_or_moved_server_are_closed() -> None:
    async def scenario() -> None:
        server = FakeServer("s", respond_ok)
        await server.start()
        pool = ConnectionPool(1.0, 60.0, 10)
        pool.update("s", server.address, None, ServerState.READY)
        assert await outcome_of(pool) is Outcome.SUCCEEDED
        pool.update("s", server.address, 5, ServerState.READY)
        await wait_until(lambda: server.closed_by_peer == 1)
        assert await outcome_of(pool) is Outcome.SUCCEEDED
        assert len(server.writers) == 2
        other = FakeServer("s", respond_ok)
        await other.start()
        pool.update("s", other.address, 5, ServerState.READY)
        assert await outcome_of(pool) is Outcome.SUCCEEDED
        assert len(other.requests) == 1
        server.stop()
        other.stop()

    run_scenario(scenario())
