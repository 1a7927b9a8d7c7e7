"""Ordering: if their class requires it, requests with the same ordering key run one at a time, in order."""

from collections import deque

from sidecar.balancer.events import Outcome
from sidecar.balancer.state import Context, KeyQueue, Request
from sidecar.balancer.state.timers import KeyCooldownOver

# After these outcomes, the server may still be running the attempt, so a cooldown of the key begins.
POSSIBLY_RUNNING_OUTCOMES = (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)


class KeyOrder:
    """Keeps a queue for each ordering key in use, until it is empty and the key's cooldown is over.

    Attributes:
        queues: The queues by ordering key.
    """

    def __init__(self, context: Context) -> None:
        """Create the policy with no queues.

        Args:
            context: The shared state of the balancer.
        """
        self.queues: dict[int, KeyQueue] = {}
        self._context = context
        self._changed_queues: deque[KeyQueue] = deque()  # queues whose head may be ready to be sent

    def enqueue(self, request: Request, key: int) -> None:
        """Add a new request to the queue of its ordering key."""
        request.ordering_key = key
        self.queues.setdefault(key, KeyQueue(key)).requests.append(request)
        self.mark_changed(key)

    def attempt_ended(self, request: Request, outcome: Outcome) -> None:
        """Start the cooldown of the request's ordering key if its server may still be running the attempt."""
        if request.ordering_key is not None and outcome in POSSIBLY_RUNNING_OUTCOMES:
            cooldown_us = self._context.settings.rules.key_cooldown_us
            self.queues[request.ordering_key].cooldown_until = self._context.now + cooldown_us

    def mark_changed(self, key: int | None) -> None:
        """Record that the head of a queue may have changed, or that the cooldown of its key may be over.

        Args:
            key: The ordering key; None for a request that has none, which has no effect.
        """
        if key is not None:
            self._changed_queues.append(self.queues[key])

    def cooldown_until(self, key: int) -> int | None:
        """When the cooldown of a key ends, in microseconds; None if the key is not in use."""
        queue = self.queues.get(key)
        return queue.cooldown_until if queue is not None else None

    def next_request(self) -> Request | None:
        """Return a request at the head of its queue that may be sent now; None if there is none.

        Of the changed queues, those in cooldown get a timer for its end, and empty ones are removed.
        """
        while self._changed_queues:
            queue = self._changed_queues.popleft()
            head = queue.head()
            if self._context.now < queue.cooldown_until:
                self._context.timers.add(queue.cooldown_until, KeyCooldownOver(queue.key))
            elif head is None:
                self.queues.pop(queue.key, None)
            elif not (head.attempts or head.answered or head.health_check_candidates):
                return head  # if it is finished at once, its queue is marked as changed again
        return None

    def allows(self, request: Request) -> bool:
        """Whether the order of its key lets a request be sent now; retries and hedged requests always may."""
        if request.ordering_key is None or request.attempts:
            return True
        queue = self.queues[request.ordering_key]
        return queue.head() is request and self._context.now >= queue.cooldown_until
