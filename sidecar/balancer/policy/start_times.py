"""When servers started, by this balancer's own clock.

A start time is listed as some machine's wall clock told it.  That clock, or the one by which this process
was anchored at its own start, may have been stepped: a process that has just started then seems to have
started in the future, or long ago.  Slow start must neither last longer for that nor be skipped.
"""

from dataclasses import replace
from typing import NamedTuple

from sidecar.balancer.events import Endpoint, RegistryUpdated, RegistryUpdateKind
from sidecar.balancer.state import Context
from sidecar.settings import Discovery

REMEMBERED_REMOVED_SERVERS = (
    500  # servers that are gone whose start times are still known, should they be listed again
)


class StartTime(NamedTuple):
    """The start of a process: as it is listed, and by this balancer's own clock."""

    listed: int
    own: int


class StartTimes:
    """Takes a start time that can't be right for the moment in which it was heard of.

    That is the latest it can be, and the safe side: when in doubt a server is cold for one slow start.  To
    count from the update before instead would take a server for warm that started at the end of an outage of
    the registry, or of a watch, that was longer than slow start.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._known: dict[str, StartTime] = {}  # by server
        self._last_response_at: int | None = None  # when the registry answered last; None: not yet

    def registry_responded(self, update: RegistryUpdated) -> None:
        """The registry has answered, with all that it knows by now.

        A cached list is no answer, nor are empty changes where changes are pushed: whoever pushes them may
        say so while the registry itself is down.
        """
        is_pushed = self._context.settings.discovery is Discovery.PUSHED
        is_answer = update.kind is not RegistryUpdateKind.CACHED
        if is_answer and not (is_pushed and update.is_empty()):
            self._last_response_at = self._context.now

    def to_local_clock(self, update: RegistryUpdated) -> RegistryUpdated:
        """The same update with start times by this balancer's own clock."""
        servers = [self._to_local_clock(each) for each in update.servers]
        self._forget_oldest()
        return replace(update, servers=servers)

    def _to_local_clock(self, endpoint: Endpoint) -> Endpoint:
        listed = endpoint.started_at
        if listed is None:
            return endpoint
        known = self._known.get(endpoint.server)
        if known is None or known.listed != listed:
            own = self._context.now if self._is_wrong(listed) else listed
            known = self._known[endpoint.server] = StartTime(listed, own)
        return endpoint if known.own == listed else replace(endpoint, started_at=known.own)

    def _is_wrong(self, listed: int) -> bool:
        """Whether a process that is heard of for the first time can't have started then.

        Lists may be late, so what is listed as started before the registry's last answer may be so: only
        where it would have been warm by that answer, it should have been in it.
        """
        if listed > self._context.now:
            return True
        slow_start_us = self._context.settings.rules.slow_start_us
        return self._last_response_at is not None and listed + slow_start_us < self._last_response_at

    def _forget_oldest(self) -> None:
        """Forget servers that are gone, except for the latest; not each time, as it goes through all."""
        servers = self._context.registry.servers
        if len(self._known) > len(servers) + 2 * REMEMBERED_REMOVED_SERVERS:
            gone = [name for name in self._known if name not in servers]
            for name in gone[:-REMEMBERED_REMOVED_SERVERS]:
                del self._known[name]
