"""Harnesses with ready servers, traffic and endpoints, shared by the tests of the balancer."""

from __future__ import annotations

from balancer_harness import MILLISECOND_US, BalancerHarness, server_names

from sidecar.balancer.actions import CheckHealth
from sidecar.balancer.events import Endpoint, HealthCheckEnded, Outcome
from sidecar.balancer.state import Request, Server
from sidecar.settings import Settings


def ready_harness(servers: int, initial_settings: Settings | None = None, seed: int = 7) -> BalancerHarness:
    """A harness whose balancer knows this number of ready servers."""
    harness = BalancerHarness(initial_settings, seed=seed)
    harness.update_servers(server_names(servers))
    return harness


def serve_one_at_a_time(
    harness: BalancerHarness,
    count: int,
    service_time_us: int = 50 * MILLISECOND_US,
    interval_us: int = 400 * MILLISECOND_US,
) -> None:
    """Send requests one at a time: each is answered before the next one arrives."""
    for _ in range(count):
        request = harness.send_request()
        harness.advance(service_time_us)
        if harness.attempts(request):
            harness.end_attempt(request)
        harness.advance(interval_us - service_time_us)


LOAD_PROBING = {
    "limits": {"allow_probes": True},
    "report": {"source": "probes", "columns": ["inflight"]},
}


def server_without_attempt(harness: BalancerHarness, request: Request) -> Server:
    """A server other than that of the request's first attempt."""
    servers = harness.balancer._context.registry.servers.values()
    return next(each for each in servers if each is not request.attempts[0].server)


def answer_health_checks(harness: BalancerHarness, load: dict[str, float], unresponsive: str = "") -> None:
    """Answer the health checks sent at the current time, each with the load of its server."""
    harness.advance(2 * MILLISECOND_US)
    checked = [
        each.server
        for at, each in harness.action_log
        if isinstance(each, CheckHealth) and at == harness.now - 2 * MILLISECOND_US
    ]
    for server in checked:
        if server != unresponsive:
            report = {"inflight": load.get(server, 0.0)}
            harness.handle(HealthCheckEnded(server, Outcome.SUCCEEDED, 2 * MILLISECOND_US, report))


def endpoints_in_two_zones(servers_each: int) -> list[Endpoint]:
    """This number of servers in the local zone, and the same number in another zone."""
    servers = server_names(2 * servers_each)
    return [
        Endpoint(name, zone="east" if index < servers_each else "west") for index, name in enumerate(servers)
    ]
