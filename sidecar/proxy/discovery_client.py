"""The client of the registry: watches and fetches the endpoint list when its callers decide so.

The timeouts follow from the time that a change may take to arrive.  Whatever the result of its calls, a
sidecar counts as notified of a change 6 s after the registry has the change and is reachable.  Each of two
sequences has to fit into that time: a watch that gets no response, followed by the next call; and a connect,
followed by a wait of the balancer and a call.

A call that times out goes on beside the next one: a busy registry responds late to each call, and if every
call were given up shortly before its response, no list would ever arrive.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from sidecar.proxy.addresses import Address
from sidecar.proxy.memory_pressure import MemoryPressure
from sidecar.proxy.registry_call import RegistryCall, RegistryTimeoutError, open_call
from sidecar.proxy.registry_messages import RegistryResponse

log = logging.getLogger(__name__)

_PATH = "/registry/instances"
# How long the registry may hold a watch.  Each watch draws a random time from this range, so that sidecars
# whose watches got no response at the same moment do not all call again at the same moment.
_WATCH_WAIT_MS = (3_200, 4_000)
_WATCH_MARGIN_S = 0.5  # how much longer the call may take than the registry may hold it
# After this time, a call that the registry must not hold is followed by the next one.
_SHORT_POLL_TIMEOUT_S = 2.5
# Pause after a call of the watch that ends at once without a change.  It is shorter than the 200 ms after
# which the next call would count as a new watch.
_EMPTY_RESPONSE_PAUSE_S = 0.1


class DiscoveryClient:
    """Watches and fetches the endpoint list; each call has a connection of its own.

    Attributes:
        memory: Keeps the data of all connections within a limit; None: there is none.
    """

    def __init__(
        self, address: Address, version: int, on_response: Callable[[RegistryResponse | None], None]
    ) -> None:
        """Create an idle client.

        Args:
            address: Where the registry listens.
            version: Version of the cached endpoint list.
            on_response: Called with each response of the registry, and with None for each call that failed.
        """
        self.memory: MemoryPressure | None = None
        self._address = address
        self._version: int | None = version  # None: the next call fetches the complete list
        self._has_last_call_failed = False
        self._on_response = on_response
        self._is_stopped = False
        self._watch: asyncio.Task[None] | None = None
        self._fetches: set[asyncio.Task[bool]] = set()  # one for each fetch in progress
        # The latest call that timed out; it goes on until a later call gets a response or times out, too.
        self._late_call: RegistryCall | None = None

    def start_watch(self) -> None:
        """Start the watch, unless it is running."""
        if not self._is_stopped and (self._watch is None or self._watch.done()):
            self._watch = asyncio.get_running_loop().create_task(self._watch_until_failure())

    def stop_watch(self) -> None:
        """Stop the watch."""
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        self._replace_late_call(None)

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

    def _replace_late_call(self, call: RegistryCall | None) -> None:
        """End the call that has timed out before, if any, and wait for the response to this one instead.

        A sidecar with no call in flight counts as notified of all changes that are older than the longest
        interval between calls.  Therefore a call that times out stays open until the next one is sent, too.
        """
        former, self._late_call = self._late_call, call
        if former is not None:
            former.abort()
        if call is not None:
            call.call_when_ended(self._on_late_response)

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
        version = self._version
        try:
            response = await self._call(target, timeout_s)
        except RegistryTimeoutError as error:
            self._report_failure(target, error)
            return True
        except Exception as error:
            self._report_failure(target, error)
            return False
        return self._accept(response, version)

    async def _call(self, target: str, timeout_s: float) -> RegistryResponse:
        """Make a call.

        Raises:
            RegistryTimeoutError: There was no response in time; the call goes on.
            OSError: The call failed.
            ValueError: The response is not an endpoint list.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        call = await open_call(self._address, target, self._version, self.memory)
        try:
            response = await call.wait(deadline - loop.time())
        except RegistryTimeoutError:
            self._replace_late_call(call)
            raise
        except BaseException:
            call.abort()
            raise
        call.abort()
        self._replace_late_call(None)
        return response

    def _on_late_response(self, call: RegistryCall) -> None:
        """Handle the end of a call that had timed out."""
        if call is not self._late_call:
            return
        self._replace_late_call(None)
        try:
            response = call.result()
        except Exception as error:  # the failure of the call has been reported when it timed out
            self._log_failure(call.target, error)
        else:
            self._accept(response, call.version)

    def _accept(self, response: RegistryResponse, version: int | None) -> bool:
        """Apply a response, unless it is superseded; return whether the call succeeded.

        Args:
            response: The response to a call.
            version: The version that was known when the call was made, if any.
        """
        if self._is_superseded(response, version):
            self._has_last_call_failed = False
            return True
        self._version = response.version
        has_succeeded = self._apply(response)
        self._has_last_call_failed = not has_succeeded
        if not has_succeeded:
            self._on_response(None)
        return has_succeeded

    def _report_failure(self, target: str, error: Exception) -> None:
        self._has_last_call_failed = True
        self._log_failure(target, error)
        self._on_response(None)

    def _log_failure(self, target: str, error: Exception) -> None:
        """Log why a call failed, with a stack trace if the cause may be a defect of this program."""
        has_known_cause = isinstance(error, OSError | ValueError)
        log.warning(
            "registry at %s:%d: %s failed: %r",
            *self._address,
            target,
            error,
            exc_info=None if has_known_cause else error,
        )

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
