"""Slow start: a server that is warming up is limited to its quota."""

from __future__ import annotations

import pytest
from balancer_stage import ready_stage
from helpers import MS as MILLISECOND_US
from helpers import S as SECOND_US
from helpers import names
from policy_context import make_context

from sidecar.balancer.events import AttemptEnded, Endpoint, Outcome, RegistryUpdateKind
from sidecar.balancer.policy.slow_start import SlowStart


@pytest.mark.parametrize(
    ("every_us", "burst"), [(10 * MILLISECOND_US, 1), (200 * MILLISECOND_US, 20), (500 * MILLISECOND_US, 1)]
)
def test_a_server_in_slow_start_gets_no_more_than_its_quota(every_us: int, burst: int) -> None:
    stage = ready_stage(6)
    stage.serve(300, every_us=10 * MILLISECOND_US)
    warm_per_s = 100 / 6
    began = stage.now
    warming_up = Endpoint("10.0.0.6:80", zone="east", started_at=began)
    stage.servers([warming_up], RegistryUpdateKind.DELTA)
    while stage.now < began + 10 * SECOND_US:
        requests = [stage.request() for _ in range(burst)]
        stage.wait(every_us)
        for each in requests:
            if stage.sends(each):
                stage.end(each)
    times = [at for at, each in stage.sends() if each.server == "10.0.0.6:80" and at >= began]
    for end in times:
        capacity_share = 0.2 + 0.8 * max(end - 2 * SECOND_US - began, 0) / (10 * SECOND_US)
        inside = sum(1 for at in times if end - 2 * SECOND_US < at <= end)
        assert inside <= max(1.0, 3 * capacity_share * warm_per_s * 2)
    assert times or burst == 1  # one at a time, the fastest server of the subset takes all


def test_warm_capacity_is_measured_by_cost_not_by_request_count() -> None:
    rates = []
    for served_us in (100_000, 20_000):  # overload sheds the expensive ones, and the rest is cheap
        stage = ready_stage(4)
        for _ in range(60):
            stage.wait(20 * MILLISECOND_US)
            stage.end(stage.request(cost_us=served_us))
            stage.request(remaining_us=0, cost_us=200_000 - served_us)  # rejected
        rates.append(stage.balancer._slow_start.capacity_estimate.of_warm_server())
    assert 0.0 < rates[1] < 0.5 * rates[0]


def test_a_warm_server_is_not_limited() -> None:
    stage = ready_stage(2)
    for _ in range(50):
        stage.request()
    assert len({each.server for _, each in stage.sends()}) == 2


def test_failed_connects_start_slow_start_and_dropped_connections_do_not() -> None:
    # Guards against a lossy network, where all servers would be in slow start after a while.
    for outcome, is_warming_up in ((Outcome.RESET, False), (Outcome.CONNECT_FAILED, True)):
        stage = ready_stage(1)
        server = stage.balancer._context.registry.servers[names(1)[0]]
        for _ in range(3):
            request = stage.request("pay")
            stage.play(AttemptEnded(request, 0, server.name, outcome, 1, False))
        assert server.consecutive_failures == 3
        assert stage.balancer._slow_start.is_warming_up(server) is is_warming_up


def test_capacity_in_slow_start_follows_its_budget_and_is_unlimited_afterwards() -> None:
    context = make_context()
    slow_start = SlowStart(context)
    for server in context.registry.ready:
        slow_start.count_success(server, 40.0)
    warming_up = context.registry.ready[0]
    slow_start.start(warming_up, context.now)
    assert slow_start.is_warming_up(warming_up)
    assert not slow_start.has_capacity(warming_up, 1.0)
    context.clock.now += 2 * SECOND_US
    sent = 0
    while slow_start.has_capacity(warming_up, 1.0) and sent < 100:
        warming_up.slow_start_budget -= 1.0
        sent += 1
    # Multiple x capacity_share by now x capacity x window.
    overload = 3 * 0.36 * slow_start.capacity_estimate.of_warm_server() * 2 * SECOND_US
    assert 1 <= sent <= 0.2 * overload
    context.clock.now += context.settings.rules.slow_start_us
    assert not slow_start.is_warming_up(warming_up)
    assert slow_start.has_capacity(warming_up, 1_000.0)


def test_the_capacity_share_rises_linearly_from_its_minimum_to_one() -> None:
    context = make_context()
    slow_start = SlowStart(context)
    warming_up = context.registry.ready[0]
    slow_start.start(warming_up, context.now)
    seen = []
    for _ in range(3):
        seen.append(slow_start.capacity_share(warming_up))
        context.clock.now += context.settings.rules.slow_start_us // 2
    assert seen == pytest.approx([0.2, 0.6, 1.0])
