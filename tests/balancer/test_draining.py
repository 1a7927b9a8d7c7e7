"""Draining: draining and removed servers get no requests."""

from __future__ import annotations

from balancer_stage import ready_stage, server_without_attempt
from helpers import Stage, names

from sidecar.balancer.events import AttemptEnded, Outcome, RegistryUpdateKind, ServerState


def test_draining_and_removed_servers_get_no_requests() -> None:
    stage = ready_stage(4)
    stage.drain("10.0.0.1:80")
    stage.servers([*names(3)[1:], "10.0.0.9:80"])
    for _ in range(100):
        stage.request()
    targets = {each.server for _, each in stage.sends()}
    assert targets == {"10.0.0.2:80", "10.0.0.3:80", "10.0.0.9:80"}


def test_a_server_is_ready_again_once_it_is_listed_again() -> None:
    stage = Stage()
    stage.servers(["10.0.0.1:80"])
    stage.drain("10.0.0.1:80", ServerState.REMOVED)
    assert stage.sends(stage.request()) == []
    stage.servers(["10.0.0.1:80"], RegistryUpdateKind.DELTA)
    assert len(stage.sends(stage.request())) == 1


def test_sending_to_a_draining_or_removed_server_is_blocked() -> None:
    stage = ready_stage(3)
    request = stage.balancer._requests[stage.request()]
    server = server_without_attempt(stage, request)
    for state in (ServerState.DRAINING, ServerState.REMOVED):
        stage.drain(server.name, state)
        assert not stage.balancer._send(request, server)
    stage.servers([server.name], RegistryUpdateKind.DELTA)
    assert stage.balancer._send(request, stage.balancer._context.registry.servers[server.name])


def test_a_removed_server_is_forgotten_once_its_attempts_have_ended() -> None:
    # Bounds memory where servers are replaced often, and keeps the ejected fraction of the servers right.
    stage = ready_stage(3)
    request = stage.request("pay")
    removed = stage.balancer._requests[request].attempts[0].server
    stage.balancer._outliers.eject(removed, "test")
    others = [each for each in names(3) if each != removed.name]
    stage.servers(others)
    assert set(stage.balancer._context.registry.servers) == set(names(3))
    assert not stage.balancer._outliers.ejected
    stage.play(AttemptEnded(request, 0, removed.name, Outcome.RESET, 1, False))
    stage.servers(others)
    assert set(stage.balancer._context.registry.servers) == set(others)
    assert stage.balancer._context.load.total() == stage.balancer._context.load.at_ejected == 0
