"""Start times of servers by this balancer's own clock.

The registry states a start time by some machine's wall clock.  That clock, or the one that this process was
anchored to at its own start, may have been stepped: a server that has just started then seems to have started
in the future, or long ago.  Slow start must neither last longer for that nor be skipped.
"""

from dataclasses import replace
from typing import NamedTuple

from sidecar.balancer.events import Endpoint, RegistryUpdated, RegistryUpdateKind
from sidecar.balancer.state import Context
from sidecar.settings import Discovery

RETAINED_REMOVED_SERVERS = 500  # whose start times are kept, as they may be listed again
EVICTION_THRESHOLD = 2 * RETAINED_REMOVED_SERVERS  # so many extra entries start a clean-up


class StartTime(NamedTuple):
    """The start time of a server's process, in us.

    Attributes:
        listed: As the registry states it.
        local: By this balancer's own clock.
    """

    listed: int
    local: int


class StartTimes:
    """Replaces a start time that can't be right by the time at which it was first received.

    That is the latest it can be, and the safe side: when in doubt a server has one slow start.  Counting from
    the previous update instead would skip slow start for a server that started at the end of an outage of the
    registry, or of its watch, that lasted longer than slow start.
    """

    def __init__(self, context: Context) -> None:
        """Create an empty record of start times.

        Args:
            context: The shared state of the balancer.
        """
        self._context = context
        self._start_times: dict[str, StartTime] = {}  # by server name
        self._last_response_at: int | None = None  # when the registry last responded, in us

    def registry_responded(self, update: RegistryUpdated) -> None:
        """Note that the registry responded with all that it knows by now.

        A cached list is no response.  Nor is an empty watch event where discovery is pushed: the pushing side
        may send one while the registry itself is down.

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
        """Convert the start times of an update.

        Args:
            update: An update with start times as listed.

        Returns:
            The same update with start times by this balancer's own clock.
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
        """Whether a process that is listed for the first time can't have started then.

        Lists may be late, so a start before the registry's last response is plausible: but if the server had
        been warm by that response, it would have been listed in it.
        """
        if listed > self._context.now:
            return True
        slow_start_us = self._context.settings.rules.slow_start_us
        return self._last_response_at is not None and listed + slow_start_us < self._last_response_at

    def _evict_oldest(self) -> None:
        """Forget removed servers except for the latest; not at each update, as it visits all."""
        servers = self._context.registry.servers
        if len(self._start_times) <= len(servers) + EVICTION_THRESHOLD:
            return
        removed = [name for name in self._start_times if name not in servers]
        for name in removed[:-RETAINED_REMOVED_SERVERS]:
            del self._start_times[name]
