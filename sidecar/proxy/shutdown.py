"""Graceful shutdown: after SIGTERM, answers every accepted request before SIGKILL may follow.

SIGKILL may follow SIGTERM after the longest deadline of a request, of which at most 3 s count, plus 0.7 s.
New connections arrive for up to 0.4 s after SIGTERM.  The handling of SIGTERM and the last answers may each
be delayed by 0.15 s.
"""

from __future__ import annotations

import asyncio
import logging

from sidecar.proxy.active_requests import ActiveRequests
from sidecar.proxy.connection_state import ConnectionState
from sidecar.proxy.frontend import Frontend
from sidecar.proxy.request_lifecycle import RequestLifecycle
from sidecar.settings import Settings

log = logging.getLogger(__name__)

# The next two times count from SIGTERM.
_ACCEPT_DURATION_S = 0.45  # how long connections are accepted; they arrive for 0.4 s
# How long a connection that has carried no request stays open for one that may be in transit.
_UNUSED_CONNECTION_GRACE_S = 0.55

# The next two times count from the end of the longest deadline, which begins at SIGTERM.
# When all remaining requests are failed: 0.7 s, less the two delays of 0.15 s and a poll interval.
_FAIL_ALL_AFTER_S = 0.38
_END_AFTER_S = 0.65  # when the shutdown ends, so that clients have read the last responses

_MAX_DEADLINE_S = 3.0  # the platform does not wait for a longer deadline
_POLL_INTERVAL_S = 0.02


class GracefulShutdown:
    """Closes the frontend's connections in phases, and leaves no request unanswered."""

    def __init__(
        self, settings: Settings, frontend: Frontend, active: ActiveRequests, requests: RequestLifecycle
    ) -> None:
        self._frontend = frontend
        self._active = active
        self._requests = requests
        self._longest_deadline_s = self._find_longest_deadline_s(settings)
        self._started_at = 0.0

    async def run(self) -> None:
        """Shut down; return once no connection is left or the time is up."""
        self._started_at = asyncio.get_running_loop().time()
        unanswered = len(self._active.unanswered())
        log.info("draining: %d requests in flight, deadline %.3f s", unanswered, self._longest_deadline_s)
        self._frontend.drain()
        await self._accept()
        await self._finish_requests()
        failed = await self._fail_rest()
        log.info("drained after %.3f s: %d requests failed", self._elapsed_s(), failed)

    async def _accept(self) -> None:
        """Continue to accept connections; close those that have carried requests once they are idle."""
        while self._elapsed_s() < _ACCEPT_DURATION_S:
            await asyncio.sleep(_POLL_INTERVAL_S)
            self._frontend.close_idle(only_used=True)

    async def _finish_requests(self) -> None:
        """Stop accepting connections, and wait for the requests in progress."""
        until_s = max(self._longest_deadline_s + _FAIL_ALL_AFTER_S, _ACCEPT_DURATION_S)
        while not self._is_drained() and self._elapsed_s() < until_s:
            await asyncio.sleep(_POLL_INTERVAL_S)
            self._frontend.close_idle(only_used=self._elapsed_s() < _UNUSED_CONNECTION_GRACE_S)

    async def _fail_rest(self) -> int:
        """Fail the remaining requests, and those that are read only now; return how many failed."""
        failed = self._fail_all()
        while not self._is_drained() and self._elapsed_s() < self._longest_deadline_s + _END_AFTER_S:
            await asyncio.sleep(_POLL_INTERVAL_S)
            failed += self._fail_all()
        return failed

    def _fail_all(self) -> int:
        """Fail the unanswered requests, and close connections without one; return how many failed."""
        failed = self._requests.fail_all()
        for connection in self._frontend.connections:
            if connection.state is ConnectionState.READING:
                connection.on_state_timeout()
        self._frontend.close_idle(only_used=False)
        return failed

    def _is_drained(self) -> bool:
        """Return whether the listener is closed and no connection is left.

        Queued connections have to be answered, too: while there is no capacity for them, the listener stays
        open until other connections end.
        """
        return self._frontend.close_listener() and self._frontend.has_no_connections()

    def _elapsed_s(self) -> float:
        return asyncio.get_running_loop().time() - self._started_at

    def _find_longest_deadline_s(self, settings: Settings) -> float:
        """Return the longest deadline of the settings and of the requests, which may be of older settings."""
        in_flight = (request.client_request.service_class for request in self._active.unanswered())
        longest_us = max(each.deadline_us for each in (*settings.classes, *in_flight))
        return min(longest_us / 1e6, _MAX_DEADLINE_S)
