"""The requests in progress; one is removed once it is answered and all of its attempts have ended."""

from collections.abc import Iterator, Mapping

from sidecar.balancer.actions import CancelAttempt
from sidecar.balancer.policy import retries
from sidecar.balancer.policy.key_order import KeyOrder
from sidecar.balancer.state import Context, Request


class RequestTable(Mapping[int, Request]):
    """The requests, by number, that have no final response yet or an attempt that has not ended."""

    def __init__(self, context: Context, key_order: KeyOrder) -> None:
        self._context = context
        self._key_order = key_order
        self._requests: dict[int, Request] = {}

    def __getitem__(self, number: int) -> Request:
        return self._requests[number]

    def __iter__(self) -> Iterator[int]:
        return iter(self._requests)

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: Request) -> None:
        """Add a new request."""
        self._requests[request.id] = request

    def unanswered(self, number: int) -> Request | None:
        """The request with this number, if it has no final response yet."""
        request = self._requests.get(number)
        return None if request is None or request.answered else request

    def tighten_limits(self) -> None:
        """Apply the limits of the settings in force to all requests, where they are stricter than before."""
        settings = self._context.settings
        non_execution_outcomes = retries.non_execution_outcomes(settings)
        for request in self._requests.values():
            request.tighten_limits(settings.limits, non_execution_outcomes)

    def close(self, request: Request) -> None:
        """Mark a request as needing no further response, and cancel its pending attempts where allowed."""
        request.answered = True
        for attempt in request.attempts:
            if attempt.pending and not attempt.has_response_started and request.limits.allow_cancel:
                self._context.actions.append(CancelAttempt(request.id, attempt.index))
        self.remove_if_complete(request)

    def remove_if_complete(self, request: Request) -> None:
        """Remove a request that is answered and has no pending attempt."""
        if request.is_complete():
            self._requests.pop(request.id, None)
            self._key_order.mark_changed(request.ordering_key)
