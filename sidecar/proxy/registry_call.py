"""One call to the registry: its connection, and the response, for as long as somebody waits for it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sidecar.proxy.addresses import Address
from sidecar.proxy.buffer_budget import DataPurpose
from sidecar.proxy.http_messages import Response, encode_message
from sidecar.proxy.memory_pressure import MemoryPressure
from sidecar.proxy.registry_json import decode_registry_response
from sidecar.proxy.registry_messages import RegistryResponse
from sidecar.proxy.server_connection import ServerConnection, connect

_CONNECT_TIMEOUT_S = 1.5  # leaves time for the first retransmission of a lost SYN
_MAX_RESPONSE_BYTES = 8 * 1024 * 1024
_OK = 200


class RegistryConnectionError(ConnectionResetError):
    """The connection to the registry broke before its response was complete."""

    def __init__(self) -> None:
        super().__init__("connection closed before the response was complete")


class RegistryTimeoutError(TimeoutError):
    """The registry has not responded in time; the call goes on."""

    def __init__(self, timeout_s: float) -> None:
        super().__init__(f"no response within {timeout_s:.1f} s")


class RegistryStatusError(ConnectionRefusedError):
    """The registry responded with a status other than 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"unexpected status {status}")


class RegistryCall:
    """A call that has been sent.

    Attributes:
        target: What was requested.
        version: The version that was known when the call was made; None: the complete list was requested.
    """

    def __init__(self, connection: ServerConnection, target: str, version: int | None) -> None:
        """Create a call on an established connection; `send_call` sends it."""
        self.target = target
        self.version = version
        self._connection = connection
        self._response: asyncio.Future[Response | None] = asyncio.get_running_loop().create_future()

    def send(self, address: Address) -> None:
        """Send the request.

        Args:
            address: Address of the registry.

        Raises:
            RegistryConnectionError: The connection broke while it was being opened, which it never reports.
        """
        if not self._connection.is_idle():
            raise RegistryConnectionError
        host = f"{address[0]}:{address[1]}".encode()
        headers = [(b"Host", host), (b"Connection", b"close")]
        request = encode_message(b"GET %b HTTP/1.1" % self.target.encode(), headers)
        self._connection.request(request, self._on_response)

    async def wait(self, timeout_s: float) -> RegistryResponse:
        """Wait for the response; the call goes on if the wait times out.

        Raises:
            RegistryTimeoutError: There was no response within this time, in seconds.
            OSError: The call failed.
            ValueError: The response is not an endpoint list.
        """
        await asyncio.wait([self._response], timeout=timeout_s)
        if not self._response.done():
            raise RegistryTimeoutError(timeout_s)
        return self.result()

    def result(self) -> RegistryResponse:
        """Return the response to a call that has ended.

        Raises:
            OSError: The call failed.
            ValueError: The response is not an endpoint list.
        """
        response = self._response.result()
        if response is None:
            raise RegistryConnectionError
        if response.status != _OK:
            raise RegistryStatusError(response.status)
        return decode_registry_response(response.body)

    def call_when_ended(self, callback: Callable[[RegistryCall], None]) -> None:
        """Call a function when the call has ended, unless it is aborted before."""

        def on_done(response: asyncio.Future[Response | None]) -> None:
            if not response.cancelled():
                callback(self)

        self._response.add_done_callback(on_done)

    def abort(self) -> None:
        """End the call; its response is not wanted any more."""
        self._response.cancel()
        self._connection.abort()

    def _on_response(self, response: Response | None) -> None:
        if not self._response.done():
            self._response.set_result(response)


async def open_call(
    address: Address, target: str, version: int | None, memory: MemoryPressure | None = None
) -> RegistryCall:
    """Connect to the registry and send a call.

    Args:
        address: Address of the registry.
        target: What is requested.
        version: The version that is known; None: the complete list is requested.
        memory: Keeps the data of all connections within a limit; None: there is none.

    Raises:
        OSError: The registry can't be reached.
    """
    max_bytes = _MAX_RESPONSE_BYTES
    if memory is not None:
        max_bytes = min(max_bytes, memory.max_registry_response_bytes)
    async with asyncio.timeout(_CONNECT_TIMEOUT_S):
        connection = await connect(address, max_bytes)
    connection.purpose = DataPurpose.REGISTRY
    connection.memory = memory
    call = RegistryCall(connection, target, version)
    try:
        call.send(address)
    except BaseException:
        call.abort()
        raise
    return call
