"""Key order: requests with one key run one at a time, in order of arrival."""

from __future__ import annotations

import pytest
from balancer_harness import MILLISECOND_US, SECOND_US, BalancerHarness, settings
from ready_balancer import ready_harness

from sidecar.balancer.actions import RejectRequest
from sidecar.balancer.events import ClientDisconnected, Outcome

ORDERED_CLASSES = {
    "classes": [
        {"name": "save", "deadline_us": 2 * SECOND_US, "idempotency": "safe", "ordered_by_key": True},
        {"name": "mark", "deadline_us": 2 * SECOND_US, "idempotency": "safe", "ordered_by_key": True},
        {"name": "look", "deadline_us": 2 * SECOND_US, "idempotency": "safe"},
    ],
    "rules": {"key_cooldown_us": 100 * MILLISECOND_US},
}


def harness_with_ordered_keys() -> BalancerHarness:
    return ready_harness(6, settings(**ORDERED_CLASSES))


def test_requests_with_one_key_are_sent_in_order_one_at_a_time_across_classes() -> None:
    harness = harness_with_ordered_keys()
    requests = [harness.send_request(name, key=5) for name in ("save", "mark", "save")]
    for position, request in enumerate(requests):
        assert [len(harness.attempts(each)) for each in requests] == [1] * (position + 1) + [0] * (
            2 - position
        )
        harness.advance(10 * MILLISECOND_US)
        harness.end_attempt(request)


def test_requests_without_a_shared_ordered_key_are_concurrent() -> None:
    harness = harness_with_ordered_keys()
    harness.send_request("save", key=5)
    concurrent = [
        harness.send_request("save"),
        harness.send_request("save", key=6),
        harness.send_request("look", key=5),
    ]
    assert all(len(harness.attempts(each)) == 1 for each in concurrent)


@pytest.mark.parametrize("outcome", [Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED])
def test_a_key_is_blocked_for_a_while_after_an_attempt_that_may_still_run(outcome: Outcome) -> None:
    harness = harness_with_ordered_keys()
    first, second = harness.send_request("save", key=5), harness.send_request("mark", key=5)
    harness.handle(ClientDisconnected(first))
    harness.advance(10 * MILLISECOND_US)
    # The client of the first request has disconnected, but the attempt is still in flight.
    assert harness.attempts(second) == []
    harness.end_attempt(first, outcome, answered=True)
    ended = harness.now
    assert harness.attempts(second) == []
    third = harness.send_request("mark", key=5)
    harness.advance(99 * MILLISECOND_US)
    assert harness.attempts(second) == []
    assert harness.attempts(third) == []
    harness.advance(5 * MILLISECOND_US)
    assert harness.attempts(second)[0][0] >= ended + 100 * MILLISECOND_US
    assert harness.attempts(third) == []


def test_a_request_with_an_ordered_key_is_retried_without_delay() -> None:
    harness = harness_with_ordered_keys()
    first = harness.send_request("save", key=5)
    harness.advance(10 * MILLISECOND_US)
    harness.end_attempt(first, Outcome.RESET)
    assert len(harness.attempts(first)) == 2


def test_a_queued_request_expires_in_time_and_an_abandoned_one_is_skipped() -> None:
    harness = harness_with_ordered_keys()
    first = harness.send_request("save", key=5)
    queued, abandoned = (
        harness.send_request("mark", remaining_us=300 * MILLISECOND_US, key=5) for _ in range(2)
    )
    last = harness.send_request("save", key=5)
    harness.handle(ClientDisconnected(abandoned))
    harness.advance(300 * MILLISECOND_US)
    assert [each.request for each in harness.actions_of(RejectRequest)] == [queued]
    harness.end_attempt(first)
    assert harness.attempts(queued) == []
    assert harness.attempts(abandoned) == []
    assert len(harness.attempts(last)) == 1


def test_unused_keys_are_released() -> None:
    harness = harness_with_ordered_keys()
    for key in range(50):
        request = harness.send_request("save", key=key)
        harness.advance(10 * MILLISECOND_US)
        harness.end_attempt(request, Outcome.SUCCEEDED if key % 2 else Outcome.CANCELLED, answered=True)
    harness.advance(200 * MILLISECOND_US)
    assert not harness.balancer._key_order.queues


def test_sending_out_of_key_order_is_blocked() -> None:
    harness = harness_with_ordered_keys()
    first, second = harness.send_request("save", key=5), harness.send_request("mark", key=5)
    waiting = harness.balancer._requests[second]
    server = next(iter(harness.balancer._context.registry.servers.values()))
    assert not harness.balancer._send(waiting, server)
    harness.handle(ClientDisconnected(first))
    assert not harness.balancer._send(waiting, server)
    harness.end_attempt(first, Outcome.CANCELLED, answered=True)
    assert not harness.balancer._send(waiting, server)
    harness.balancer._context.clock.now += 100 * MILLISECOND_US
    assert harness.balancer._send(waiting, server)
