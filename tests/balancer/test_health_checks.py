"""Load probing: health checks that report load break ties between servers where they are cheap."""

from __future__ import annotations

from balancer_stage import LOAD_PROBING, answer_health_checks, ready_stage, two_zones
from helpers import MS as MILLISECOND_US
from helpers import Stage, names, settings

from sidecar.balancer.actions import CheckHealth, RejectRequest


def test_a_tie_is_broken_by_the_lowest_load_in_health_checks() -> None:
    stage = ready_stage(4, settings(**LOAD_PROBING))
    for least_loaded in names(4):
        request = stage.request()
        assert stage.sends(request) == []
        answer_health_checks(stage, {each: 0.0 if each == least_loaded else 5.0 for each in names(4)})
        assert stage.target(request) == least_loaded
        stage.end(request)


def test_own_requests_in_flight_take_precedence_over_health_checks() -> None:
    stage = ready_stage(2, settings(**LOAD_PROBING))
    first = stage.request()
    answer_health_checks(stage, {})
    second = stage.request()
    answer_health_checks(stage, {each: 0.0 if each == stage.target(first) else 9.0 for each in names(2)})
    assert stage.target(second) != stage.target(first)


def test_a_server_that_does_not_answer_its_health_check_is_not_selected() -> None:
    stage = ready_stage(4, settings(**LOAD_PROBING))
    for _ in range(10):
        request = stage.request()
        answer_health_checks(stage, dict.fromkeys(names(4), 7.0), unresponsive="10.0.0.1:80")
        stage.wait(50 * MILLISECOND_US)
        assert stage.target(request) != "10.0.0.1:80"
        stage.end(request)


def test_a_request_is_sent_where_no_health_check_is_answered() -> None:
    stage = ready_stage(4, settings(**LOAD_PROBING))
    request = stage.request()
    stage.wait(50 * MILLISECOND_US)
    assert len(stage.sends(request)) == 1


def test_no_health_check_is_sent_where_it_is_disabled_expensive_or_redundant() -> None:
    for changes in (
        {"prices": {"probe": 0.05}},
        {"report": {"source": "answers", "columns": ["inflight"]}},
        {"limits": {"allow_probes": False}},
    ):
        stage = ready_stage(4, settings(**{**LOAD_PROBING, **changes}))
        assert len(stage.sends(stage.request())) == 1
        assert stage.said(CheckHealth) == []


def test_high_load_in_health_checks_sheds_requests_until_it_falls() -> None:
    stage = ready_stage(4, settings(**LOAD_PROBING))
    for load in [0.0, 10.0] * 20:
        request = stage.request()
        answer_health_checks(stage, dict.fromkeys(names(4), load))
        if stage.sends(request):
            stage.wait(int((40 + 40 * load) * MILLISECOND_US))
            stage.end(request)
    rejected = stage.request("amend")
    answer_health_checks(stage, dict.fromkeys(names(4), 30.0))
    assert stage.sends(rejected) == []
    assert stage.said(RejectRequest)[-1].request == rejected
    admitted = stage.request("amend")
    answer_health_checks(stage, dict.fromkeys(names(4), 1.0))
    assert len(stage.sends(admitted)) == 1


def test_the_local_zone_is_selected_first_until_loaded_where_crossing_zones_is_expensive() -> None:
    stage = Stage(settings(**LOAD_PROBING, prices={"cross_zone": 0.1}))
    stage.servers(two_zones(3))
    local = set(names(3))
    for _ in range(20):
        for load in (0.0, 3.0):
            request = stage.request()
            answer_health_checks(stage, dict.fromkeys(names(6), load))
            answer_health_checks(stage, dict.fromkeys(names(6), load))
            stage.wait(int((40 + 40 * load) * MILLISECOND_US))
            assert load or stage.target(request) in local
            stage.end(request)
    before = len(stage.log)
    request = stage.request()
    assert {each.server for _, each in stage.log[before:] if isinstance(each, CheckHealth)} == local
    answer_health_checks(stage, dict.fromkeys(local, 8.0))
    answer_health_checks(stage, dict.fromkeys(local, 8.0))
    assert stage.target(request) not in local
