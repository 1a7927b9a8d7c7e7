"""Stalls: a balancer does not attribute the delay of its own stalls to servers."""

from __future__ import annotations

from balancer_harness import MILLISECOND_US, SECOND_US, BalancerHarness, server_names, settings
from ready_balancer import LOAD_PROBING, answer_health_checks, endpoints_in_two_zones, ready_harness

from sidecar.balancer.actions import Log
from sidecar.balancer.events import Outcome


def stall(harness: BalancerHarness, duration_us: int) -> None:
    """Stall the balancer; the timers that became due meanwhile then fire at once."""
    harness.now += duration_us
    harness.advance(0)


def relative_latencies(harness: BalancerHarness) -> dict[str, float]:
    return {each.name: each.relative_latency for each in harness.balancer._context.registry.ready}


def test_a_stall_of_the_balancer_is_not_attributed_to_servers() -> None:
    harness = ready_harness(4)
    harness.serve_requests(200)
    before = relative_latencies(harness)
    requests = [harness.send_request() for _ in range(8)]
    stall(harness, 900 * MILLISECOND_US)
    for each in requests:
        harness.end_attempt(each)
    harness.advance(100 * MILLISECOND_US)
    assert relative_latencies(harness) == before
    assert [each for each in harness.actions_of(Log) if "ejected" in each.text] == []


def test_a_stall_is_detected_while_a_queue_of_events_is_processed() -> None:
    harness = ready_harness(4)
    harness.serve_requests(200)
    before = relative_latencies(harness)
    in_flight = [harness.send_request() for _ in range(16)]
    # A long queue of events is handled in short intervals, without a timer in between.
    for _ in in_flight:
        harness.now += 40 * MILLISECOND_US
        harness.send_request()
    for each in in_flight:
        harness.now += 5 * MILLISECOND_US
        harness.end_attempt(each, Outcome.CONNECT_FAILED)
    assert relative_latencies(harness) == before
    assert [each for each in harness.actions_of(Log) if "ejected" in each.text] == []


def test_slow_servers_are_detected_while_the_balancer_is_not_stalled() -> None:
    harness = ready_harness(4)
    harness.serve_requests(200)
    before = relative_latencies(harness)
    requests = [harness.send_request() for _ in range(8)]
    harness.advance(900 * MILLISECOND_US)
    for each in requests:
        harness.end_attempt(each)
    assert all(each.relative_latency > before[each.name] for each in harness.balancer._context.registry.ready)


def test_selection_after_a_stall_uses_all_zones_without_health_checks() -> None:
    harness = BalancerHarness(settings(**LOAD_PROBING, prices={"cross_zone": 0.1}))
    harness.update_servers(endpoints_in_two_zones(3))
    first = harness.send_request()
    answer_health_checks(harness, {})
    harness.now += 1 * SECOND_US
    burst = [harness.send_request() for _ in range(6)]  # all were queued during the stall
    assert all(len(harness.attempts(each)) == 1 for each in (first, *burst))
    assert {harness.server_of(each) for each in burst} & set(server_names(6)[3:])


def test_requests_late_after_a_stall_are_shed_where_late_responses_are_worthless() -> None:
    for late_weight, sent in ((0.0, 0), (0.5, 1)):
        harness = ready_harness(
            4,
            settings(
                classes=[
                    {"name": "look", "deadline_us": 2 * SECOND_US, "latency_target_us": 500 * MILLISECOND_US}
                    | {"late_weight": late_weight}
                ]
            ),
        )
        harness.send_request("look", 1 * SECOND_US)
        harness.now += 900 * MILLISECOND_US
        late, fresh = (
            harness.send_request("look", 200 * MILLISECOND_US),
            harness.send_request("look", 900 * MILLISECOND_US),
        )
        assert len(harness.attempts(late)) == sent
        assert len(harness.attempts(fresh)) == 1
