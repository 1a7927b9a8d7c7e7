"""Whatever fails in a call to discovery, the watch is restarted and changes are applied in time."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from typing import Any

import pytest
from balancer_harness import SECOND_US
from proxy_harness import encode_response, reset, respond_ok, running_proxy, wait_until
from virtual_time import RegistryStandIn, assert_notified_within, now_s, run_in_virtual_time

from sidecar.proxy import registry_call, server_connection, sockets
from sidecar.proxy.addresses import Address
from sidecar.proxy.connection_pool import ConnectionPool
from sidecar.proxy.registry_messages import parse_registry_response
from sidecar.proxy.server_connection import ServerConnection

NOTIFIED_WITHIN_S = 6.0  # after discovery has a change and is reachable
RULES = {"max_poll_interval_us": 60 * SECOND_US}
MODES = ("on_request", "pushed")
DIAL_ERRNOS = [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EINTR]
CONNECTION_ERRNOS = [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ECONNRESET, errno.EPIPE]
HANDLER_ERRORS = [
    RecursionError("deep"),
    MemoryError(),
    KeyError("x"),
    OverflowError("large"),
    AssertionError(),
]


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("times", [1, 3])
@pytest.mark.parametrize("code", DIAL_ERRNOS)
@pytest.mark.parametrize("fails_in_socket_creation", [True, False])
def test_change_is_applied_in_time_though_dials_to_the_registry_fail(
    fails_in_socket_creation: bool, code: int, times: int, mode: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        registry = RegistryStandIn()
        async with running_proxy(
            respond_ok, respond_ok, registry=registry, rules=RULES, discovery=mode
        ) as proxy:
            await wait_until(lambda: registry.targets)
            faults = iter([code] * times)
            failed_at: list[float] = []

            def fail_first() -> None:
                fault = next(faults, None)
                if fault is not None:
                    failed_at.append(now_s())
                    raise OSError(fault, os.strerror(fault))

            new_socket, sock_connect = sockets.new_socket, asyncio.get_running_loop().sock_connect

            def create_socket(address: Address) -> socket.socket:
                if fails_in_socket_creation and address == registry.address:
                    fail_first()
                return new_socket(address)

            async def dial(sock: socket.socket, address: Any) -> None:
                if not fails_in_socket_creation and address == registry.address:
                    fail_first()
                await sock_connect(sock, address)

            monkeypatch.setattr(sockets, "new_socket", create_socket)
            monkeypatch.setattr(asyncio.get_running_loop(), "sock_connect", dial)
            registry.fail("reset")
            registry.fault = None
            await wait_until(lambda: len(failed_at) == times)
            started_at = failed_at[-1]
            await registry.change(proxy.servers[0].entry(status="leaving"))
            await assert_notified_within(proxy, NOTIFIED_WITHIN_S, started_at)

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("code", CONNECTION_ERRNOS)
def test_change_is_applied_in_time_though_the_watch_breaks(code: int, mode: str) -> None:
    async def scenario() -> None:
        registry = RegistryStandIn()
        connections: list[ServerConnection] = []
        connect = server_connection.connect

        async def dial(address: Address, max_body_bytes: int) -> ServerConnection:
            connections.append(await connect(address, max_body_bytes))
            return connections[-1]

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(registry_call, "connect", dial)
            async with running_proxy(
                respond_ok, respond_ok, registry=registry, rules=RULES, discovery=mode
            ) as proxy:
                await wait_until(lambda: registry.targets)
                transport: Any = connections[-1]._transport
                transport._fatal_error(OSError(code, os.strerror(code)))  # as a failed read does
                started_at = now_s()
                await registry.change(proxy.servers[0].entry(status="leaving"))
                await assert_notified_within(proxy, NOTIFIED_WITHIN_S, started_at)

    run_in_virtual_time(scenario())


class ResettingRegistry(RegistryStandIn):
    """Resets the next `remaining_resets` connections as soon as they are open."""

    remaining_resets = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.remaining_resets:
            self.remaining_resets -= 1
            reset(writer)
            return
        await super()._serve(reader, writer)


def test_connection_that_breaks_as_it_opens_does_not_count_as_a_watch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connect = server_connection.connect

    async def scenario() -> None:
        registry = ResettingRegistry()

        async def dial(address: Address, max_body_bytes: int) -> ServerConnection:
            is_reset = registry.remaining_resets > 0
            connection = await connect(address, max_body_bytes)
            if is_reset:
                await wait_until(lambda: connection._transport is None or connection._transport.is_closing())
                await asyncio.sleep(0)  # the connection has reported its end
            return connection

        monkeypatch.setattr(registry_call, "connect", dial)
        async with running_proxy(respond_ok, respond_ok, registry=registry, rules=RULES) as proxy:
            await wait_until(lambda: registry.targets)
            registry.remaining_resets = 3
            registry.fail("reset")
            registry.fault = None
            await wait_until(lambda: not registry.remaining_resets)
            started_at = now_s()
            await registry.change(proxy.servers[0].entry(status="leaving"))
            # Time for a pause before the next call; a call on a broken connection would time out after 2.5 s.
            await assert_notified_within(proxy, 2.0, started_at)

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("handler_error", HANDLER_ERRORS, ids=lambda each: type(each).__name__)
@pytest.mark.parametrize("function_name", ["decode_registry_response", "remove_superseded"])
def test_change_is_applied_in_time_though_handling_a_list_fails_once(
    function_name: str, handler_error: Exception, mode: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    owner: Any = registry_call if function_name == "decode_registry_response" else ConnectionPool
    original_function = getattr(owner, function_name)
    failures = [handler_error]

    def fail_once(*args: Any) -> Any:
        if failures:
            raise failures.pop()
        return original_function(*args)

    async def scenario() -> None:
        registry = RegistryStandIn()
        async with running_proxy(
            respond_ok, respond_ok, registry=registry, rules=RULES, discovery=mode
        ) as proxy:
            await wait_until(lambda: registry.targets)
            monkeypatch.setattr(owner, function_name, fail_once)
            started_at = now_s()
            await registry.change(proxy.servers[0].entry(status="leaving"))
            await assert_notified_within(proxy, NOTIFIED_WITHIN_S, started_at)
            assert not failures

    run_in_virtual_time(scenario())


DEEPLY_NESTED_BODY = b'{"index":42,"endpoints":' + b"[" * 20_000 + b"]" * 20_000 + b"}"
MALFORMED_RESPONSES = {
    "deep": encode_response(200, DEEPLY_NESTED_BODY),
    "not utf-8": encode_response(200, b"\xff\xfe\xfa"),
    "large": encode_response(
        200, b'{"index":41,"endpoints":[{"name":"s-0","status":"active","weight":1%b}]}' % (b"0" * 400)
    ),
    "many digits": encode_response(200, b'{"index":%b,"endpoints":[]}' % (b"1" * 5000)),
    "no http": b"\x00\x01\x02\r\n\r\n",
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
    "header without end": b"HTTP/1.1 200 OK\r\nX: " + b"x" * 200_000,
    "bad chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "status": b"HTTP/1.1 999 X\r\nContent-Length: 0\r\n\r\n",
    "hints": b"HTTP/1.1 100 Go on\r\n\r\n" * 50,
}


class MalformedRegistry(RegistryStandIn):
    """Answers the pending call with a malformed response, and the following calls correctly."""

    malformed_response: bytes | None = None

    async def _answer(self, target: str) -> bytes:
        response = await super()._answer(target)
        malformed_response, self.malformed_response = self.malformed_response, None
        return response if malformed_response is None else malformed_response


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("malformation", MALFORMED_RESPONSES)
def test_change_is_applied_in_time_though_a_malformed_response_came_first(
    malformation: str, mode: str
) -> None:
    async def scenario() -> None:
        registry = MalformedRegistry()
        async with running_proxy(
            respond_ok, respond_ok, registry=registry, rules=RULES, discovery=mode
        ) as proxy:
            await wait_until(lambda: registry.targets)
            registry.malformed_response = MALFORMED_RESPONSES[malformation]
            started_at = now_s()
            await registry.change(proxy.servers[0].entry(status="leaving"))
            await assert_notified_within(proxy, NOTIFIED_WITHIN_S, started_at)
            assert registry.malformed_response is None

    run_in_virtual_time(scenario())


def test_entry_with_a_number_too_large_affects_no_other() -> None:
    large = {"name": "s-0", "address": "127.0.0.1:9", "status": "active", "weight": 10**400}
    response = parse_registry_response(
        {"index": 1, "endpoints": [large, large | {"name": "s-1", "weight": 1}]}
    )
    assert [each.endpoint.name for each in response.endpoints] == ["s-1"]
