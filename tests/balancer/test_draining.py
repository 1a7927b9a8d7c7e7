"""Draining: draining and removed servers get no requests."""

from __future__ import annotations

from balancer_harness import BalancerHarness, server_names
from ready_balancer import ready_harness, server_without_attempt

from sidecar.balancer.events import AttemptEnded, Outcome, RegistryUpdateKind, ServerState


def test_draining_and_removed_servers_get_no_requests() -> None:
    harness = ready_harness(4)
    harness.drain("10.0.0.1:80")
    harness.update_servers([*server_names(3)[1:], "10.0.0.9:80"])
    for _ in range(100):
        harness.send_request()
    servers_used = {each.server for _, each in harness.attempts()}
    assert servers_used == {"10.0.0.2:80", "10.0.0.3:80", "10.0.0.9:80"}


def test_a_server_is_ready_again_once_it_is_listed_again() -> None:
    harness = BalancerHarness()
    harness.update_servers(["10.0.0.1:80"])
    harness.drain("10.0.0.1:80", ServerState.REMOVED)
    assert harness.attempts(harness.send_request()) == []
    harness.update_servers(["10.0.0.1:80"], RegistryUpdateKind.DELTA)
    assert len(harness.attempts(harness.send_request())) == 1


def test_sending_to_a_draining_or_removed_server_is_blocked() -> None:
    harness = ready_harness(3)
    request = harness.balancer._requests[harness.send_request()]
    server = server_without_attempt(harness, request)
    for state in (ServerState.DRAINING, ServerState.REMOVED):
        harness.drain(server.name, state)
        assert not harness.balancer._send(request, server)
    harness.update_servers([server.name], RegistryUpdateKind.DELTA)
    assert harness.balancer._send(request, harness.balancer._context.registry.servers[server.name])


def test_a_removed_server_is_forgotten_once_its_attempts_have_ended() -> None:
    # Guards against a memory leak where servers are replaced often, and a wrong fraction of ejected servers.
    harness = ready_harness(3)
    request = harness.send_request("pay")
    removed = harness.balancer._requests[request].attempts[0].server
    harness.balancer._outliers.eject(removed, "test")
    others = [each for each in server_names(3) if each != removed.name]
    harness.update_servers(others)
    assert set(harness.balancer._context.registry.servers) == set(server_names(3))
    assert not harness.balancer._outliers.ejected
    harness.handle(AttemptEnded(request, 0, removed.name, Outcome.RESET, 1, False))
    harness.update_servers(others)
    assert set(harness.balancer._context.registry.servers) == set(others)
    assert (
        harness.balancer._context.load.total() == harness.balancer._context.load.within_target_at_ejected == 0
    )
