"""Graceful shutdown: after SIGTERM, answers every accepted request before SIGKILL may come.

The terms: SIGKILL may come 0.7 s after the longest deadline, of which the platform waits for no longer one
than 3 s.  Connections come for 0.4 s after SIGTERM.  Both the notice of SIGTERM and the last answers may be
delayed for 0.15 s.
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

# Counted from SIGTERM.
_ACCEPT_DURATION_S = 0.45  # how long connections are accepted: they come for 0.4 s
# How long a connection that has carried no request stays open for one that may be in transit.
_UNUSED_CONNECTION_GRACE_S = 0.55
# Counted from the longest deadline after SIGTERM.
# When all requests that are left are failed: of the 0.7 s, less the two delays and a poll interval.
_FAIL_ALL_AFTER_S = 0.38
_LINGER_S = 0.65  # when the last connections end, so that their clients have read the responses
_MAX_DEADLINE_S = 3.0  # the platform waits for no longer deadline
_POLL_INTERVAL_S = 0.02


class GracefulShutdown:
    """Ends the frontend's connections in phases, with no request left unanswered."""

    def __init__(
        self, settings: Settings, frontend: Frontend, active: ActiveRequests, requests: RequestLifecycle
    ) -> None:
        self._frontend = frontend
        self._active = active
        self._requests = requests
        self._longest_deadline_s = self._find_longest_deadline_s(settings)
        self._started_at = 0.0

    async def run(self) -> None:
        """Shut down; return once nothing is left or time is up."""
        self._started_at = asyncio.get_running_loop().time()
        unanswered = len(self._active.unanswered())
        log.info("draining: %d requests in flight, deadline %.3f s", unanswered, self._longest_deadline_s)
        self._frontend.drain()
        await self._accept()
        await self._finish_requests()
        failed = await self._fail_rest()
        log.info("drained after %.3f s: %d requests failed", self._elapsed_s(), failed)

    async def _accept(self) -> None:
        """Go on accepting connections; close those that have carried requests as they become idle."""
        while self._elapsed_s() < _ACCEPT_DURATION_S:
            await asyncio.sleep(_POLL_INTERVAL_S)
            self._frontend.close_idle(only_used=True)

    async def _finish_requests(self) -> None:
        """Stop accepting connections, and wait for the requests in flight."""
        until_s = max(self._longest_deadline_s + _FAIL_ALL_AFTER_S, _ACCEPT_DURATION_S)
        while not self._is_drained() and self._elapsed_s() < until_s:
            await asyncio.sleep(_POLL_INTERVAL_S)
            self._frontend.close_idle(only_used=self._elapsed_s() < _UNUSED_CONNECTION_GRACE_S)

    async def _fail_rest(self) -> int:
        """Fail the requests that are left, and those that were in the kernel; return how many."""
        failed = self._fail_all()
        while not self._is_drained() and self._elapsed_s() < self._longest_deadline_s + _LINGER_S:
            await asyncio.sleep(_POLL_INTERVAL_S)
            failed += self._fail_all()
        return failed

    def _fail_all(self) -> int:
        """Fail the unanswered requests, and end the connections that have none; return how many failed."""
        failed = self._requests.fail_all()
        for connection in self._frontend.connections:
            if connection.state is ConnectionState.READING:
                connection.on_state_timeout()
        self._frontend.close_idle(only_used=False)
        return failed

    def _is_drained(self) -> bool:
        """Return whether nothing is left.

        A connection that waits to be accepted is owed its answer too: where there is no capacity for it,
        connections that end make some.
        """
        return self._frontend.close_listener() and self._frontend.has_no_connections()

    def _elapsed_s(self) -> float:
        return asyncio.get_running_loop().time() - self._started_at

    def _find_longest_deadline_s(self, settings: Settings) -> float:
        """Return the longest deadline in force or of a request, which may be of earlier settings."""
        in_flight = (request.client_request.service_class for request in self._active.unanswered())
        longest_us = max(each.deadline_us for each in (*settings.classes, *in_flight))
        return min(longest_us / 1e6, _MAX_DEADLINE_S)
