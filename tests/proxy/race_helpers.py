"""Clients and connections whose events are forced into the order that does harm.

None is left to chance: an end of a connection is awaited in the kernel with the event loop standing still,
and what the loop would have read first is handed on by hand.
"""

from __future__ import annotations

import socket
import time

from proxy_harness import (
    TIMEOUT_S,
    ProxyHarness,
)

from sidecar.proxy.addresses import Address
from sidecar.proxy.server_connection import ServerConnection

FAR_DEADLINE = time.monotonic() + 3600.0  # as the event loop counts
_FIN_WAIT2 = 5  # as TCP_INFO tells it: the other side's kernel has the end


class Client:
    """A client whose end is in the sidecar's kernel once it has left, though its event loop had no turn."""

    def __init__(self, address: Address, data: bytes) -> None:
        self._sock = socket.create_connection(address)
        self.send(data)

    def send(self, data: bytes) -> None:
        self._sock.sendall(data)

    def disconnect(self) -> None:
        self._sock.shutdown(socket.SHUT_WR)
        deadline = time.monotonic() + TIMEOUT_S
        while self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != _FIN_WAIT2:
            assert time.monotonic() < deadline

    def close(self) -> None:
        self._sock.close()


def connection_of_request(proxy: ProxyHarness, ident: str) -> ServerConnection:
    """The connection that a request's attempt is out on."""
    (live,) = [each for each in proxy.sidecar._active if each.client_request.request_id == ident]
    (exchange,) = live.in_flight.values()
    assert exchange is not None
    assert exchange.connection is not None
    return exchange.connection


async def open_reusable_connections(proxy: ProxyHarness) -> None:
    """Let each server have a connection that carries nothing: what is sent next is written at once."""
    proxy.sidecar._pool._idle_connections.reuse_delay_s = 0.0
    while not all(each.writers for each in proxy.servers):
        assert (await proxy.send_request())[0] == 200
