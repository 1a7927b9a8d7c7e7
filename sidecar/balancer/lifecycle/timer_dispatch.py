"""Dispatch of due timers to the components that set them, which state whether a timer is still needed."""

from dataclasses import dataclass

from sidecar.balancer.lifecycle.callbacks import FinishCallback
from sidecar.balancer.lifecycle.placement import RequestPlacer
from sidecar.balancer.lifecycle.request_table import RequestTable
from sidecar.balancer.lifecycle.retrying import RequestRetrier
from sidecar.balancer.policy.connections import IdleConnections
from sidecar.balancer.policy.key_order import KeyOrder
from sidecar.balancer.policy.registry_polling import RegistryPoller
from sidecar.balancer.state import Context
from sidecar.balancer.state.timers import (
    AttemptOverdue,
    HealthChecksDue,
    IdleCloseDue,
    KeyCooldownOver,
    RegistryPoll,
    RequestDeadline,
    StallCheck,
    Timer,
)

RequestTimer = RequestDeadline | AttemptOverdue | HealthChecksDue


@dataclass(slots=True, eq=False)
class TimerDispatcher:
    """Calls the handler of each timer that is due, unless the timer is stale.

    Timers are not removed from the queue when they are cancelled or rescheduled.  A timer is stale if the
    component that set it now reports another due time, or none.

    Attributes:
        context: The shared state.
        requests: The requests in progress.
        key_order: Handles the end of the cooldown of an ordering key.
        connections: Closes idle connections.
        registry_poller: Polls the registry.
        placer: Sends requests whose health checks timed out.
        retrier: Handles overdue attempts.
        finish: Rejects or fails a request whose deadline has passed.
    """

    context: Context
    requests: RequestTable
    key_order: KeyOrder
    connections: IdleConnections
    registry_poller: RegistryPoller
    placer: RequestPlacer
    retrier: RequestRetrier
    finish: FinishCallback

    def current_due_time(self, due: int, timer: Timer) -> int | None:
        """The time at which a timer is due now, which may differ from the time that it was set for.

        Args:
            due: The time that it was set for, in microseconds.
            timer: The timer.

        Returns:
            The time at which it is due now, in microseconds; None if it is no longer needed.
        """
        match timer:
            case RequestDeadline() | AttemptOverdue() | HealthChecksDue():
                return self._request_due_time(due, timer)
            case StallCheck():
                return self.context.stalls.check_due
            case KeyCooldownOver():
                return self.key_order.cooldown_until(timer.key)
            case IdleCloseDue():
                return self.connections.close_due(timer.server)
            case RegistryPoll():
                return self.registry_poller.next_poll_at

    def _request_due_time(self, due: int, timer: RequestTimer) -> int | None:
        request = self.requests.unanswered(timer.request)
        if request is None:
            return None
        match timer:
            case RequestDeadline():
                return due
            case AttemptOverdue():
                return due if request.attempts[timer.attempt].pending else None
            case HealthChecksDue():
                return request.health_checks_due if request.health_check_candidates else None

    def fire_due(self) -> None:
        """Remove the timers that are due, and fire those whose current due time has passed."""
        now = self.context.now
        for due, timer in self.context.timers.pop_due(now):
            current_due_time = self.current_due_time(due, timer)
            if current_due_time is not None and current_due_time <= now:
                self._fire(timer)

    def _fire(self, timer: Timer) -> None:
        match timer:
            case RequestDeadline() | AttemptOverdue() | HealthChecksDue():
                self._fire_for_request(timer)
            case KeyCooldownOver():
                self.key_order.mark_changed(timer.key)
            case IdleCloseDue():
                self.connections.close(timer.server)
            case RegistryPoll():
                self.registry_poller.poll()
            case StallCheck():
                pass  # the stall detector observed the timer event before it was dispatched

    def _fire_for_request(self, timer: RequestTimer) -> None:
        request = self.requests[timer.request]
        if any(attempt.has_response_started for attempt in request.attempts):
            return  # the response is already being forwarded to the client
        match timer:
            case RequestDeadline():
                self.finish(request)
            case AttemptOverdue():
                self.retrier.hedge(request, request.attempts[timer.attempt])
            case HealthChecksDue():
                self.placer.place_checked(request)
