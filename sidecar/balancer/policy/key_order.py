"""Ordering by key: where a class asks for it, requests with the same key run one at a time, in order."""

from collections import deque

from sidecar.balancer.events import Outcome
from sidecar.balancer.state import Context, KeyQueue, Request
from sidecar.balancer.state.timers import KeyCooldownOver

POSSIBLY_RUNNING_OUTCOMES = (
    Outcome.TIMED_OUT,
    Outcome.RESET,
    Outcome.CANCELLED,
)  # the key has a cooldown after these


class KeyOrder:
    """A queue for each key in use; it is dropped once it is empty and its cooldown is over.

    Attributes:
        queues: The queues by key.
    """

    def __init__(self, context: Context) -> None:
        """Create an order without queues.

        Args:
            context: The shared state of the balancer.
        """
        self.queues: dict[int, KeyQueue] = {}
        self._context = context
        self._changed: deque[KeyQueue] = deque()  # queues whose head may have become ready

    def enqueue(self, request: Request, key: int) -> None:
        """Add a new request to the queue of its key."""
        request.ordering_key = key
        self.queues.setdefault(key, KeyQueue(key)).requests.append(request)
        self.mark_changed(key)

    def attempt_ended(self, request: Request, outcome: Outcome) -> None:
        """Begin a cooldown of the request's key after an attempt that may still be running."""
        if request.ordering_key is not None and outcome in POSSIBLY_RUNNING_OUTCOMES:
            cooldown_us = self._context.settings.rules.key_cooldown_us
            self.queues[request.ordering_key].cooldown_until = self._context.now + cooldown_us

    def mark_changed(self, key: int | None) -> None:
        """Note that the head of a key's queue may have changed, or its cooldown may be over."""
        if key is not None:
            self._changed.append(self.queues[key])

    def cooldown_until(self, key: int) -> int | None:
        """When the cooldown of a key ends, in us; None if the key is not in use."""
        queue = self.queues.get(key)
        return queue.cooldown_until if queue is not None else None

    def next_request(self) -> Request | None:
        """A request that has come to the head of its queue and may be sent now, if there is one."""
        while self._changed:
            queue = self._changed.popleft()
            head = queue.head()
            if self._context.now < queue.cooldown_until:
                self._context.timers.add(queue.cooldown_until, KeyCooldownOver(queue.key))
            elif head is None:
                self.queues.pop(queue.key, None)
            elif not (head.attempts or head.answered or head.health_check_candidates):
                return head  # if it is completed at once, its queue is marked as changed again
        return None

    def allows(self, request: Request) -> bool:
        """Whether a request may be sent in the order of its key; retries and hedged requests always may."""
        if request.ordering_key is None or request.attempts:
            return True
        queue = self.queues[request.ordering_key]
        return queue.head() is request and self._context.now >= queue.cooldown_until
