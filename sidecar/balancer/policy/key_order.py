"""Order by key: where a class asks for it, requests with one key run one at a time, as they came."""

from collections import deque

from sidecar.balancer.events import Outcome
from sidecar.balancer.state import Context, KeyQueue, Request
from sidecar.balancer.state.timers import KeyCooldownOver

MAY_STILL_RUN = (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)  # the key rests after these


class KeyOrder:
    """A queue for each key in use; a key costs nothing once its queue is empty and rested."""

    def __init__(self, context: Context) -> None:
        self.queues: dict[int, KeyQueue] = {}
        self._context = context
        self._changed: deque[KeyQueue] = deque()  # queues whose head may have changed

    def enqueue(self, request: Request, key: int) -> None:
        request.ordering_key = key
        self.queues.setdefault(key, KeyQueue(key)).requests.append(request)
        self.mark_changed(key)

    def attempt_ended(self, request: Request, outcome: Outcome) -> None:
        """Let the key rest after an attempt that may still be running."""
        if request.ordering_key is not None and outcome in MAY_STILL_RUN:
            rest_us = self._context.settings.rules.key_cooldown_us
            self.queues[request.ordering_key].cooldown_until = self._context.now + rest_us

    def mark_changed(self, key: int | None) -> None:
        """The head of a key's queue may have changed, or its rest ended."""
        if key is not None:
            self._changed.append(self.queues[key])

    def cooldown_until(self, key: int) -> int | None:
        return self.queues[key].cooldown_until if key in self.queues else None

    def next_request(self) -> Request | None:
        """A request that has come to the head of its queue and may be sent now."""
        while self._changed:
            queue = self._changed.popleft()
            head = queue.head()
            if self._context.now < queue.cooldown_until:
                self._context.timers.add(queue.cooldown_until, KeyCooldownOver(queue.key))
            elif head is None:
                self.queues.pop(queue.key, None)
            elif not head.attempts and not head.answered and not head.health_checked:
                return head  # if that ends it, its queue changes once more
        return None

    def allows(self, request: Request) -> bool:
        """Whether the order of its key lets a request be sent; its own further attempts may always go."""
        if request.ordering_key is None or request.attempts:
            return True
        queue = self.queues[request.ordering_key]
        return queue.head() is request and self._context.now >= queue.cooldown_until
