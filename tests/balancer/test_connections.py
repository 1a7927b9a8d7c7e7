"""Connections: where they have a price, few are opened and idle ones are closed."""

from __future__ import annotations

from balancer_stage import LOAD_PROBING, answer_health_checks, ready_stage
from helpers import MS as MILLISECOND_US
from helpers import S as SECOND_US
from helpers import names, settings
from policy_context import make_context

from sidecar.balancer.actions import CloseIdleConnections
from sidecar.balancer.events import Endpoint, RegistryUpdated, RegistryUpdateKind
from sidecar.balancer.policy.connections import IdleConnections
from sidecar.balancer.policy.latency_by_load import LatencyByLoad
from sidecar.balancer.state import DecayingRate


def test_an_idle_connection_is_closed_once_it_has_cost_as_much_as_a_handshake() -> None:
    stage = ready_stage(4, settings(sidecar_count=100, prices={"connection": 0.08, "handshake": 0.08}))
    stage.serve(100)  # 50/s here; 1250/s a server from all 100, which share the price
    stage.wait(1 * SECOND_US)
    closed = {each.server for each in stage.said(CloseIdleConnections)}
    assert closed == {each.server for _, each in stage.sends()}


def test_connections_are_not_closed_while_in_use_or_free_of_cost() -> None:
    for prices, every_us in (
        ({"connection": 0.08, "handshake": 0.08}, 2 * MILLISECOND_US),
        ({"handshake": 0.08}, 90 * MILLISECOND_US),
    ):
        stage = ready_stage(2, settings(sidecar_count=2, prices=prices))
        stage.serve(300, every_us=every_us)
        assert stage.said(CloseIdleConnections) == []


def test_a_server_with_an_open_connection_is_preferred_among_equals() -> None:
    stage = ready_stage(4, settings(**LOAD_PROBING, prices={"handshake": 0.08}))
    targets = set()
    for _ in range(12):
        request = stage.request()
        answer_health_checks(stage, dict.fromkeys(names(4), 1.0))
        targets.add(stage.target(request))
        stage.wait(30 * MILLISECOND_US)
        stage.end(request)
    assert len(targets) == 1


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
