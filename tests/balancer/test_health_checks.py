"""Load probing: where health checks are cheap, the load that they report breaks ties between servers."""

from __future__ import annotations

from balancer_harness import MILLISECOND_US, BalancerHarness, server_names, settings
from ready_balancer import LOAD_PROBING, answer_health_checks, endpoints_in_two_zones, ready_harness

from sidecar.balancer.actions import CheckHealth, RejectRequest


def test_a_tie_is_broken_by_the_lowest_load_in_health_checks() -> None:
    harness = ready_harness(4, settings(**LOAD_PROBING))
    for least_loaded in server_names(4):
        request = harness.send_request()
        assert harness.attempts(request) == []
        answer_health_checks(
            harness, {each: 0.0 if each == least_loaded else 5.0 for each in server_names(4)}
        )
        assert harness.server_of(request) == least_loaded
        harness.end_attempt(request)


def test_own_requests_in_flight_take_precedence_over_health_checks() -> None:
    harness = ready_harness(2, settings(**LOAD_PROBING))
    first = harness.send_request()
    answer_health_checks(harness, {})
    second = harness.send_request()
    answer_health_checks(
        harness, {each: 0.0 if each == harness.server_of(first) else 9.0 for each in server_names(2)}
    )
    assert harness.server_of(second) != harness.server_of(first)


def test_a_server_that_does_not_answer_its_health_check_is_not_selected() -> None:
    harness = ready_harness(4, settings(**LOAD_PROBING))
    for _ in range(10):
        request = harness.send_request()
        answer_health_checks(harness, dict.fromkeys(server_names(4), 7.0), unresponsive="10.0.0.1:80")
        harness.advance(50 * MILLISECOND_US)
        assert harness.server_of(request) != "10.0.0.1:80"
        harness.end_attempt(request)


def test_a_request_is_sent_where_no_health_check_is_answered() -> None:
    harness = ready_harness(4, settings(**LOAD_PROBING))
    request = harness.send_request()
    harness.advance(50 * MILLISECOND_US)
    assert len(harness.attempts(request)) == 1


def test_no_health_check_is_sent_where_it_is_disabled_expensive_or_redundant() -> None:
    for changes in (
        {"prices": {"probe": 0.05}},
        {"report": {"source": "answers", "columns": ["inflight"]}},
        {"limits": {"allow_probes": False}},
    ):
        harness = ready_harness(4, settings(**{**LOAD_PROBING, **changes}))
        assert len(harness.attempts(harness.send_request())) == 1
        assert harness.actions_of(CheckHealth) == []


def test_high_load_in_health_checks_sheds_requests_until_it_falls() -> None:
    harness = ready_harness(4, settings(**LOAD_PROBING))
    for load in [0.0, 10.0] * 20:
        request = harness.send_request()
        answer_health_checks(harness, dict.fromkeys(server_names(4), load))
        if harness.attempts(request):
            harness.advance(int((40 + 40 * load) * MILLISECOND_US))
            harness.end_attempt(request)
    rejected = harness.send_request("amend")
    answer_health_checks(harness, dict.fromkeys(server_names(4), 30.0))
    assert harness.attempts(rejected) == []
    assert harness.actions_of(RejectRequest)[-1].request == rejected
    admitted = harness.send_request("amend")
    answer_health_checks(harness, dict.fromkeys(server_names(4), 1.0))
    assert len(harness.attempts(admitted)) == 1


def test_the_local_zone_is_selected_first_until_loaded_where_crossing_zones_is_expensive() -> None:
    harness = BalancerHarness(settings(**LOAD_PROBING, prices={"cross_zone": 0.1}))
    harness.update_servers(endpoints_in_two_zones(3))
    local = set(server_names(3))
    for _ in range(20):
        for load in (0.0, 3.0):
            request = harness.send_request()
            answer_health_checks(harness, dict.fromkeys(server_names(6), load))
            answer_health_checks(harness, dict.fromkeys(server_names(6), load))
            harness.advance(int((40 + 40 * load) * MILLISECOND_US))
            assert load or harness.server_of(request) in local
            harness.end_attempt(request)
    before = len(harness.action_log)
    request = harness.send_request()
    assert {each.server for _, each in harness.action_log[before:] if isinstance(each, CheckHealth)} == local
    answer_health_checks(harness, dict.fromkeys(local, 8.0))
    answer_health_checks(harness, dict.fromkeys(local, 8.0))
    assert harness.server_of(request) not in local
