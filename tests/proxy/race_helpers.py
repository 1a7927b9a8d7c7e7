"""Clients and connections whose events are forced into a harmful order.

The order does not depend on timing.  While the event loop is blocked, a client waits until its close has
reached the sidecar's kernel.  Data that the loop would have read first is passed to the connection directly.
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

FAR_DEADLINE = time.monotonic() + 3600.0  # event loop time, in seconds
_FIN_WAIT2 = 5  # state in TCP_INFO: the peer's kernel has acknowledged the FIN


class Client:
    """A client whose close the sidecar's kernel has when `disconnect` returns, before the event loop runs."""

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


def connection_of_request(proxy: ProxyHarness, request_id: str) -> ServerConnection:
    """Return the connection that carries the only attempt of a request."""
    (active,) = [each for each in proxy.sidecar._active if each.client_request.request_id == request_id]
    (exchange,) = active.in_flight.values()
    assert exchange is not None
    assert exchange.connection is not None
    return exchange.connection


async def open_reusable_connections(proxy: ProxyHarness) -> None:
    """Open an idle connection to each server, so that the next requests are written at once."""
    proxy.sidecar._pool._idle_connections.reuse_delay_s = 0.0
    while not all(each.writers for each in proxy.servers):
        assert (await proxy.send_request())[0] == 200
