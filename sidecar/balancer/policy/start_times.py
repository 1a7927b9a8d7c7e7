"""Start times of servers on this balancer's own clock.

The registry states start times by the wall clock of some machine.  That clock may have been stepped, and so
may the wall clock that this process read at its own start.  A server that has just started then seems to have
started in the future or long ago, which must neither prolong slow start nor skip it.
"""

from dataclasses import replace
from typing import NamedTuple

from sidecar.balancer.events import Endpoint, RegistryUpdated, RegistryUpdateKind
from sidecar.balancer.state import Context
from sidecar.settings import Discovery

RETAINED_REMOVED_SERVERS = 500  # removed servers whose start times are kept, as they may be listed again
# Eviction begins with this many more entries than there are servers in the registry.
EVICTION_THRESHOLD = 2 * RETAINED_REMOVED_SERVERS


class StartTime(NamedTuple):
    """The start time of a server's process, in microseconds.

    Attributes:
        listed: The time that the registry states.
        local: The time on this balancer's own clock.
    """

    listed: int
    local: int


class StartTimes:
    """Replaces an implausible start time by the time at which it was first received.

    This is the latest possible start time and thus the safe choice: in case of doubt, a server has one slow
    start.  Using the time of the previous update instead would skip slow start for a server that started at
    the end of an outage of the registry, or of its watch, that lasted longer than slow start.
    """

    def __init__(self, context: Context) -> None:
        """Create an empty record of start times.

        Args:
            context: The shared state of the balancer.
        """
        self._context = context
        self._start_times: dict[str, StartTime] = {}  # by server name
        self._last_response_at: int | None = None  # when the registry last responded, in microseconds

    def registry_responded(self, update: RegistryUpdated) -> None:
        """Record that the registry responded with its current state.

        A cached list is no response.  With pushed discovery, neither is an empty watch event: the pushing
        side may send one while the registry itself is down.

        Args:
            update: The update that was received.
        """
        if update.kind is RegistryUpdateKind.CACHED:
            return
        is_pushed = self._context.settings.discovery is Discovery.PUSHED
        if is_pushed and update.is_empty():
            return
        self._last_response_at = self._context.now

    def to_local_clock(self, update: RegistryUpdated) -> RegistryUpdated:
        """Convert the start times of an update to this balancer's clock.

        Args:
            update: An update with the start times that the registry states.

        Returns:
            The same update with start times on this balancer's own clock.
        """
        endpoints = [self._to_local_clock(endpoint) for endpoint in update.endpoints]
        self._evict_oldest()
        return replace(update, endpoints=endpoints)

    def _to_local_clock(self, endpoint: Endpoint) -> Endpoint:
        if endpoint.started_at is None:
            return endpoint
        start_time = self._start_time(endpoint.name, endpoint.started_at)
        if start_time.local == endpoint.started_at:
            return endpoint
        return replace(endpoint, started_at=start_time.local)

    def _start_time(self, server_name: str, listed: int) -> StartTime:
        start_time = self._start_times.get(server_name)
        if start_time is None or start_time.listed != listed:
            local = self._context.now if self._is_implausible(listed) else listed
            start_time = StartTime(listed, local)
            self._start_times[server_name] = start_time
        return start_time

    def _is_implausible(self, listed: int) -> bool:
        """Whether a process that is listed for the first time can't have started at the listed time.

        Lists may be delayed, so a start before the registry's last response is plausible.  However, if the
        server had finished slow start before that response, the response would have listed it.
        """
        if listed > self._context.now:
            return True
        slow_start_us = self._context.settings.rules.slow_start_us
        return self._last_response_at is not None and listed + slow_start_us < self._last_response_at

    def _evict_oldest(self) -> None:
        """Evict the oldest removed servers; not at each update, as eviction visits all entries."""
        servers = self._context.registry.servers
        if len(self._start_times) <= len(servers) + EVICTION_THRESHOLD:
            return
        removed = [name for name in self._start_times if name not in servers]
        for name in removed[:-RETAINED_REMOVED_SERVERS]:
            del self._start_times[name]
