"""The client of the registry: watches and fetches the endpoint list when its callers decide so.

The timeouts follow from the time that a change may take to arrive.  Whatever the result of its calls, a
sidecar counts as notified of a change 6 s after the registry has the change and is reachable.  Each of two
sequences has to fit into that time: a watch that gets no response, followed by the next call; and a connect,
followed by a wait of the balancer and a call.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable

from sidecar.proxy.addresses import Address
from sidecar.proxy.http_messages import Response, encode_message
from sidecar.proxy.registry_messages import RegistryResponse, parse_registry_response
from sidecar.proxy.server_connection import ServerConnection, connect

log = logging.getLogger(__name__)

_PATH = "/registry/instances"
# How long the registry may hold a watch.  Each watch draws a random time from this range, so that sidecars
# whose watches got no response at the same moment do not all call again at the same moment.
_WATCH_WAIT_MS = (3_200, 4_000)
_WATCH_MARGIN_S = 0.5  # how much longer the call may take than the registry may hold it
# Timeout of a call that the registry must not hold.  A busy registry lets calls wait for 2 s.
_SHORT_POLL_TIMEOUT_S = 2.5
_CONNECT_TIMEOUT_S = 1.5  # leaves time for the first retransmission of a lost SYN
# Pause after a call of the watch that ends at once without a change.  It is shorter than the 200 ms after
# which the next call would count as a new watch.
_EMPTY_RESPONSE_PAUSE_S = 0.1
_MAX_RESPONSE_BYTES = 8 * 1024 * 1024
_OK = 200


class RegistryConnectionError(ConnectionResetError):
    """The connection to the registry broke before its response was complete."""

    def __init__(self) -> None:
        super().__init__("connection closed before the response was complete")


class RegistryStatusError(ConnectionRefusedError):
    """The registry responded with a status other than 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"unexpected status {status}")


class DiscoveryClient:
    """Watches and fetches the endpoint list; each call has a connection of its own."""

    def __init__(
        self, address: Address, version: int, on_response: Callable[[RegistryResponse | None], None]
    ) -> None:
        """Create an idle client.

        Args:
            address: Where the registry listens.
            version: Version of the cached endpoint list.
            on_response: Called with each response of the registry, and with None for each call that failed.
        """
        self._address = address
        self._version: int | None = version  # None: the next call fetches the complete list
        self._has_last_call_failed = False
        self._on_response = on_response
        self._is_stopped = False
        self._watch: asyncio.Task[None] | None = None
        self._fetches: set[asyncio.Task[bool]] = set()  # one for each fetch in progress
        # The connection of a call that timed out; it stays open until the next call is sent.
        self._timed_out_connection: ServerConnection | None = None

    def start_watch(self) -> None:
        """Start the watch, unless it is running."""
        if not self._is_stopped and (self._watch is None or self._watch.done()):
            self._watch = asyncio.get_running_loop().create_task(self._watch_until_failure())

    def stop_watch(self) -> None:
        """Stop the watch."""
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        self._abort_timed_out_connection()

    def fetch(self) -> None:
        """Fetch the complete list once."""
        task = asyncio.get_running_loop().create_task(self._call_and_report(_PATH, _SHORT_POLL_TIMEOUT_S))
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    def migrate(self, address: Address) -> None:
        """Migrate to another address of the registry, and fetch the complete list there at once.

        The list from the former address may be older or newer than the one at the new address.
        """
        self._address = address
        self._version = None
        for fetch in self._fetches:
            fetch.cancel()
        self.stop_watch()
        self.start_watch()

    def stop(self) -> None:
        """Stop the watch permanently."""
        self._is_stopped = True
        self.stop_watch()

    def _abort_timed_out_connection(self) -> None:
        connection, self._timed_out_connection = self._timed_out_connection, None
        if connection is not None:
            connection.abort()

    async def _watch_until_failure(self) -> None:
        """Make the calls of the watch one after the other, until one fails.

        Each call follows the previous response at once: after more than 200 ms it would count as a new watch.
        A call that timed out is followed by the next one at once, too, because a registry that is busy with
        many such clients serves them in turn.
        """
        loop = asyncio.get_running_loop()
        while True:
            started_at, version = loop.time(), self._version
            if not await self._call_and_report(*self._next_call()):
                return
            if self._version == version and loop.time() < started_at + _EMPTY_RESPONSE_PAUSE_S:
                # Prevents a busy loop if the registry does not hold watches.
                await asyncio.sleep(_EMPTY_RESPONSE_PAUSE_S)

    def _next_call(self) -> tuple[str, float]:
        """Return the target of the watch's next call, and the timeout of that call in seconds.

        After a failure the registry is asked not to hold the next call, so that another failure is noticed
        soon.
        """
        if self._version is None:
            return _PATH, _SHORT_POLL_TIMEOUT_S
        if self._has_last_call_failed:
            return f"{_PATH}?after={self._version}&wait_ms=0", _SHORT_POLL_TIMEOUT_S
        wait_ms = random.randint(*_WATCH_WAIT_MS)
        return f"{_PATH}?after={self._version}&wait_ms={wait_ms}", wait_ms / 1000 + _WATCH_MARGIN_S

    async def _call_and_report(self, target: str, timeout_s: float) -> bool:
        """Make a call and report its result; return whether the next call may be made at once."""
        response: RegistryResponse | None = None
        version = self._version
        timeout = asyncio.timeout(timeout_s)
        try:
            async with timeout:
                response = self._parse(await self._call(target, timeout))
                if self._is_superseded(response, version):
                    self._has_last_call_failed = False
                    return True
                self._version = response.version
        except (OSError, ValueError) as error:  # TimeoutError is an OSError
            log.warning("registry at %s:%d: %s failed: %r", *self._address, target, error)
        except Exception:  # a defect or an invalid response: the call counts as failed
            log.exception(
                "registry at %s:%d: the response to %s could not be handled", *self._address, target
            )
        has_succeeded = response is not None and self._apply(response)
        if not has_succeeded:
            self._on_response(None)
        self._has_last_call_failed = not has_succeeded
        return has_succeeded or timeout.expired()

    def _is_superseded(self, response: RegistryResponse, version: int | None) -> bool:
        """Return whether another call has received a newer version since this call was made.

        Applying the older response would undo the newer one.

        Args:
            response: The response to this call.
            version: The version that was known when this call was made, if any.
        """
        return self._version not in (None, version) and response.version < self._version

    def _apply(self, response: RegistryResponse) -> bool:
        """Pass on a response; return whether it could be applied."""
        try:
            self._on_response(response)
        except Exception:
            log.exception("registry: version %d could not be applied", response.version)
            self._version = None  # it may have been applied in part, so the complete list is needed
            return False
        return True

    @staticmethod
    def _parse(response: Response | None) -> RegistryResponse:
        if response is None:
            raise RegistryConnectionError
        if response.status != _OK:
            raise RegistryStatusError(response.status)
        return parse_registry_response(json.loads(response.body))

    async def _call(self, target: str, call_timeout: asyncio.Timeout) -> Response | None:
        """Make a call within the running timeout; return its response, or None if the connection broke."""
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            connection = await connect(self._address, _MAX_RESPONSE_BYTES)
        try:
            return await self._send_request(connection, target)
        finally:
            if call_timeout.expired():
                # A sidecar with no call in flight counts as notified of all changes that are older than the
                # longest interval between calls.  Therefore this call stays open until the next is sent.
                self._abort_timed_out_connection()
                self._timed_out_connection = connection
            else:
                connection.abort()

    async def _send_request(self, connection: ServerConnection, target: str) -> Response | None:
        if not connection.is_idle():  # it broke while it was being opened, and would never report that
            raise RegistryConnectionError
        received: asyncio.Future[Response | None] = asyncio.get_running_loop().create_future()

        def on_response(response: Response | None) -> None:
            if not received.done():
                received.set_result(response)

        connection.request(self._encode_request(target), on_response)
        self._abort_timed_out_connection()
        return await received

    def _encode_request(self, target: str) -> bytes:
        host = f"{self._address[0]}:{self._address[1]}".encode()
        return encode_message(
            b"GET %b HTTP/1.1" % target.encode(), [(b"Host", host), (b"Connection", b"close")]
        )
