"""Health checks: requests a server's health or load path, and reports the outcome to the balancer."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from sidecar.balancer.actions import CheckHealth
from sidecar.balancer.events import Event, HealthCheckEnded, Outcome
from sidecar.proxy.clock import Clock
from sidecar.proxy.connection_pool import ConnectionPool
from sidecar.proxy.http_messages import Response
from sidecar.proxy.load_reports import parse_health_check_response
from sidecar.settings import ReportSource, Settings

_HEALTH_PATH = "/health/live"
_LOAD_PATH = "/stats"  # where servers report their load


class HealthChecker:
    """Checks the health of servers as the balancer decides.

    Attributes:
        settings: The settings for checks from now on; may be replaced at any time.
    """

    def __init__(
        self, settings: Settings, pool: ConnectionPool, clock: Clock, handle_event: Callable[[Event], None]
    ) -> None:
        self.settings = settings
        self._pool = pool
        self._clock = clock
        self._handle_event = handle_event

    def check(self, action: CheckHealth) -> None:
        """Start a health check."""
        has_reports = self.settings.report_source is not ReportSource.NONE
        path = _LOAD_PATH if has_reports else _HEALTH_PATH
        on_outcome = partial(self._on_ended, action.server, self._clock.now())
        self._pool.check_health(action.server, path, on_outcome)

    def _on_ended(self, server: str, sent_at_us: int, outcome: Outcome, response: Response | None) -> None:
        report = None
        if response is not None and outcome is Outcome.SUCCEEDED:
            report = parse_health_check_response(response.body, self.settings.report_columns)
        elapsed_us = self._clock.now() - sent_at_us
        self._handle_event(HealthCheckEnded(server, outcome, elapsed_us, report))
