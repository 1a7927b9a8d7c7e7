"""Key order: requests with one key run one at a time, in order of arrival."""

from __future__ import annotations

import pytest
from balancer_stage import ready_stage
from helpers import MS as MILLISECOND_US
from helpers import S as SECOND_US
from helpers import Stage, settings

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


def stage_with_ordered_keys() -> Stage:
    return ready_stage(6, settings(**ORDERED_CLASSES))


def test_requests_with_one_key_are_sent_in_order_one_at_a_time_across_classes() -> None:
    stage = stage_with_ordered_keys()
    requests = [stage.request(name, key=5) for name in ("save", "mark", "save")]
    for at, request in enumerate(requests):
        assert [len(stage.sends(each)) for each in requests] == [1] * (at + 1) + [0] * (2 - at)
        stage.wait(10 * MILLISECOND_US)
        stage.end(request)


def test_requests_without_a_shared_ordered_key_are_concurrent() -> None:
    stage = stage_with_ordered_keys()
    stage.request("save", key=5)
    concurrent = [stage.request("save"), stage.request("save", key=6), stage.request("look", key=5)]
    assert all(len(stage.sends(each)) == 1 for each in concurrent)


@pytest.mark.parametrize("outcome", [Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED])
def test_a_key_is_blocked_for_a_while_after_an_attempt_that_may_still_run(outcome: Outcome) -> None:
    stage = stage_with_ordered_keys()
    first, second = stage.request("save", key=5), stage.request("mark", key=5)
    stage.play(ClientDisconnected(first))
    stage.wait(10 * MILLISECOND_US)
    assert stage.sends(second) == []  # the first is over for the client, yet its attempt is still in flight
    stage.end(first, outcome, answered=True)
    ended = stage.now
    assert stage.sends(second) == []
    third = stage.request("mark", key=5)
    stage.wait(99 * MILLISECOND_US)
    assert stage.sends(second) == []
    assert stage.sends(third) == []
    stage.wait(5 * MILLISECOND_US)
    assert stage.sends(second)[0][0] >= ended + 100 * MILLISECOND_US
    assert stage.sends(third) == []


def test_a_request_with_an_ordered_key_is_retried_without_delay() -> None:
    stage = stage_with_ordered_keys()
    first = stage.request("save", key=5)
    stage.wait(10 * MILLISECOND_US)
    stage.end(first, Outcome.RESET)
    assert len(stage.sends(first)) == 2


def test_a_queued_request_expires_in_time_and_an_abandoned_one_is_skipped() -> None:
    stage = stage_with_ordered_keys()
    first = stage.request("save", key=5)
    queued, abandoned = (stage.request("mark", remaining_us=300 * MILLISECOND_US, key=5) for _ in range(2))
    last = stage.request("save", key=5)
    stage.play(ClientDisconnected(abandoned))
    stage.wait(300 * MILLISECOND_US)
    assert [each.request for each in stage.said(RejectRequest)] == [queued]
    stage.end(first)
    assert stage.sends(queued) == []
    assert stage.sends(abandoned) == []
    assert len(stage.sends(last)) == 1


def test_unused_keys_are_released() -> None:
    stage = stage_with_ordered_keys()
    for key in range(50):
        request = stage.request("save", key=key)
        stage.wait(10 * MILLISECOND_US)
        stage.end(request, Outcome.SUCCEEDED if key % 2 else Outcome.CANCELLED, answered=True)
    stage.wait(200 * MILLISECOND_US)
    assert not stage.balancer._key_order.queues


def test_sending_out_of_key_order_is_blocked() -> None:
    stage = stage_with_ordered_keys()
    first, second = stage.request("save", key=5), stage.request("mark", key=5)
    waiting = stage.balancer._requests[second]
    server = next(iter(stage.balancer._context.registry.servers.values()))
    assert not stage.balancer._send(waiting, server)
    stage.play(ClientDisconnected(first))
    assert not stage.balancer._send(waiting, server)
    stage.end(first, Outcome.CANCELLED, answered=True)
    assert not stage.balancer._send(waiting, server)
    stage.balancer._context.clock.now += 100 * MILLISECOND_US
    assert stage.balancer._send(waiting, server)
