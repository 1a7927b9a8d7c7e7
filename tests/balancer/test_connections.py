"""Connections: where they have a price, few are opened and idle ones are closed."""

from __future__ import annotations

from balancer_harness import MILLISECOND_US, SECOND_US, server_names, settings
from policy_context import make_context
from ready_balancer import LOAD_PROBING, answer_health_checks, ready_harness

from sidecar.balancer.actions import CloseIdleConnections
from sidecar.balancer.events import Endpoint, RegistryUpdated, RegistryUpdateKind
from sidecar.balancer.policy.connections import IdleConnections
from sidecar.balancer.policy.latency_by_load import LatencyByLoad
from sidecar.balancer.state import DecayingRate


def test_an_idle_connection_is_closed_once_it_has_cost_as_much_as_a_handshake() -> None:
    harness = ready_harness(4, settings(sidecar_count=100, prices={"connection": 0.08, "handshake": 0.08}))
    # The price is charged per request: 50/s from this sidecar are 1250/s per server from all 100 sidecars.
    harness.serve_requests(100)
    harness.advance(1 * SECOND_US)
    closed = {each.server for each in harness.actions_of(CloseIdleConnections)}
    assert closed == {each.server for _, each in harness.attempts()}


def test_connections_are_not_closed_while_in_use_or_free_of_cost() -> None:
    for prices, interval_us in (
        ({"connection": 0.08, "handshake": 0.08}, 2 * MILLISECOND_US),
        ({"handshake": 0.08}, 90 * MILLISECOND_US),
    ):
        harness = ready_harness(2, settings(sidecar_count=2, prices=prices))
        harness.serve_requests(300, interval_us=interval_us)
        assert harness.actions_of(CloseIdleConnections) == []


def test_a_server_with_an_open_connection_is_preferred_among_equals() -> None:
    harness = ready_harness(4, settings(**LOAD_PROBING, prices={"handshake": 0.08}))
    servers_used = set()
    for _ in range(12):
        request = harness.send_request()
        answer_health_checks(harness, dict.fromkeys(server_names(4), 1.0))
        servers_used.add(harness.server_of(request))
        harness.advance(30 * MILLISECOND_US)
        harness.end_attempt(request)
    assert len(servers_used) == 1


def test_idle_connections_are_not_closed_for_a_replaced_server_record() -> None:
    context = make_context(prices={"connection": 0.08, "handshake": 0.08})
    connections = IdleConnections(context, DecayingRate(SECOND_US), LatencyByLoad())
    server = context.registry.ready[0]
    connections.add(server)
    assert connections.close_due(server) == server.idle_close_due
    context.registry.forget(server)
    context.registry.apply(RegistryUpdated(RegistryUpdateKind.DELTA, [Endpoint(server.name)]))
    assert connections.close_due(server) is None
    connections.close(server)
    assert context.actions == [CloseIdleConnections(server.name)]
    assert connections.close_due(server) is None
