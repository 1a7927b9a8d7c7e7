"""The rules that every attempt must obey, whatever the policies decide.

The response can still be in time, the limits permit the attempt, it can't make the request take effect twice,
and its server accepts requests and has the capacity.
"""

from dataclasses import dataclass

from sidecar.balancer.events import ServerState
from sidecar.balancer.policy import retries
from sidecar.balancer.policy.key_order import KeyOrder
from sidecar.balancer.policy.slow_start import SlowStart
from sidecar.balancer.state import Context, Request, Server


@dataclass(slots=True, eq=False)
class AttemptRules:
    """Checks an attempt immediately before it is sent.

    Attributes:
        context: The shared state.
        key_order: The order of requests with the same ordering key.
        slow_start: The budgets of servers that are warming up.
    """

    context: Context
    key_order: KeyOrder
    slow_start: SlowStart

    def allow(self, request: Request, server: Server) -> bool:
        """Whether an attempt of a request may be sent to a server now."""
        return (
            self._is_response_possible(request)
            and self._is_within_limits(request)
            and self._is_safe_to_run(request, server)
            and server.state is ServerState.READY
            and self.slow_start.has_capacity(server, request.relative_cost)
        )

    def _is_response_possible(self, request: Request) -> bool:
        """Whether the client still waits for a final response and can get one in time."""
        return not request.answered and self.context.now < request.deadline

    def _is_within_limits(self, request: Request) -> bool:
        if len(request.attempts) >= request.limits.max_attempts:
            return False
        if not self.key_order.allows(request):
            return False
        return request.limits.allow_hedging or not request.has_pending_attempt()

    def _is_safe_to_run(self, request: Request, server: Server) -> bool:
        """Whether the attempt can't make the request take effect twice, or its class allows that."""
        may_retry = retries.may_retry(request, self.context.now, self.context.settings.tick_us)
        return may_retry and retries.is_deduplicated_at(request, server)
