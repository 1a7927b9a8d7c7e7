"""Slow start: a server that is warming up is limited to its quota."""

from __future__ import annotations

import pytest
from balancer_harness import MILLISECOND_US, SECOND_US, server_names
from policy_context import make_context
from ready_balancer import ready_harness

from sidecar.balancer.events import AttemptEnded, Endpoint, Outcome, RegistryUpdateKind
from sidecar.balancer.policy.slow_start import SlowStart


@pytest.mark.parametrize(
    ("interval_us", "burst"),
    [(10 * MILLISECOND_US, 1), (200 * MILLISECOND_US, 20), (500 * MILLISECOND_US, 1)],
)
def test_a_server_in_slow_start_gets_no_more_than_its_quota(interval_us: int, burst: int) -> None:
    harness = ready_harness(6)
    harness.serve_requests(300, interval_us=10 * MILLISECOND_US)
    warm_rate_per_s = 100 / 6
    began_at = harness.now
    warming_up = Endpoint("10.0.0.6:80", zone="east", started_at=began_at)
    harness.update_servers([warming_up], RegistryUpdateKind.DELTA)
    while harness.now < began_at + 10 * SECOND_US:
        requests = [harness.send_request() for _ in range(burst)]
        harness.advance(interval_us)
        for each in requests:
            if harness.attempts(each):
                harness.end_attempt(each)
    send_times = [at for at, each in harness.attempts() if each.server == "10.0.0.6:80" and at >= began_at]
    for end in send_times:
        capacity_share = 0.2 + 0.8 * max(end - 2 * SECOND_US - began_at, 0) / (10 * SECOND_US)
        sent_in_window = sum(1 for at in send_times if end - 2 * SECOND_US < at <= end)
        assert sent_in_window <= max(1.0, 3 * capacity_share * warm_rate_per_s * 2)
    assert send_times or burst == 1  # one at a time, all requests go to the fastest server of the subset


def test_warm_capacity_is_measured_by_cost_not_by_request_count() -> None:
    rates = []
    # In the second round, expensive requests are shed and cheap ones are served.
    for served_us in (100_000, 20_000):
        harness = ready_harness(4)
        for _ in range(60):
            harness.advance(20 * MILLISECOND_US)
            harness.end_attempt(harness.send_request(cost_us=served_us))
            harness.send_request(remaining_us=0, cost_us=200_000 - served_us)  # rejected
        rates.append(harness.balancer._slow_start.capacity_estimate.of_warm_server())
    assert 0.0 < rates[1] < 0.5 * rates[0]


def test_a_warm_server_is_not_limited() -> None:
    harness = ready_harness(2)
    for _ in range(50):
        harness.send_request()
    assert len({each.server for _, each in harness.attempts()}) == 2


def test_failed_connects_start_slow_start_and_dropped_connections_do_not() -> None:
    # Guards against all servers being in slow start after a while in a lossy network.
    for outcome, is_warming_up in ((Outcome.RESET, False), (Outcome.CONNECT_FAILED, True)):
        harness = ready_harness(1)
        server = harness.balancer._context.registry.servers[server_names(1)[0]]
        for _ in range(3):
            request = harness.send_request("pay")
            harness.handle(AttemptEnded(request, 0, server.name, outcome, 1, False))
        assert server.consecutive_failures == 3
        assert harness.balancer._slow_start.is_warming_up(server) is is_warming_up


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
    # Overload multiple x current capacity share x capacity of a warm server x overload window.
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
    shares = []
    for _ in range(3):
        shares.append(slow_start.capacity_share(warming_up))
        context.clock.now += context.settings.rules.slow_start_us // 2
    assert shares == pytest.approx([0.2, 0.6, 1.0])
