"""Detection of requests that waited past their latency target while this process stalled."""

from sidecar.balancer.state import Context, Request


class StaleRequestDetector:
    """Finds requests that arrive with much less time left than others of their class.

    Requests of a class start with about the same time left, so the difference was spent waiting.
    """

    def __init__(self, context: Context) -> None:
        """Create a detector that has observed no request.

        Args:
            context: The shared state of the balancer.
        """
        self._context = context
        # Cleared on any change of the settings, as deadlines may change.
        self._longest_remaining_us: dict[str, int] = context.settings_bound.new_table(lambda _: False)

    def is_stale(self, request: Request, remaining_us: int) -> bool:
        """Whether the response can no longer be in time, and a late response would have no value.

        Args:
            request: A request that has just arrived.
            remaining_us: The time left until its client gives up, in microseconds.
        """
        service_class = request.service_class
        longest_us = max(self._longest_remaining_us.get(service_class.name, 0), remaining_us)
        self._longest_remaining_us[service_class.name] = longest_us
        waited_us = longest_us - remaining_us
        if not self._context.stalls.has_just_resumed() or service_class.late_weight > 0.0:
            return False
        return waited_us >= service_class.latency_target_us
