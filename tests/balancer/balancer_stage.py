"""Stages with ready servers, their traffic and their endpoints, for several test files of the balancer."""

from __future__ import annotations

from helpers import MS as MILLISECOND_US
from helpers import Stage, names

from sidecar.balancer.actions import CheckHealth
from sidecar.balancer.events import Endpoint, HealthCheckEnded, Outcome
from sidecar.balancer.state import Request, Server
from sidecar.settings import Settings


def ready_stage(servers: int, given: Settings | None = None, seed: int = 7) -> Stage:
    """A stage whose balancer knows so many ready servers."""
    stage = Stage(given, seed=seed)
    stage.servers(names(servers))
    return stage


def serve_one_at_a_time(
    stage: Stage, count: int, taking_us: int = 50 * MILLISECOND_US, every_us: int = 400 * MILLISECOND_US
) -> None:
    """Traffic without concurrency: each request is answered before the next one arrives."""
    for _ in range(count):
        request = stage.request()
        stage.wait(taking_us)
        if stage.sends(request):
            stage.end(request)
        stage.wait(every_us - taking_us)


LOAD_PROBING = {
    "limits": {"allow_probes": True},
    "report": {"source": "probes", "columns": ["inflight"]},
}


def server_without_attempt(stage: Stage, request: Request) -> Server:
    """A server other than that of the request's first attempt."""
    servers = stage.balancer._context.registry.servers.values()
    return next(each for each in servers if each is not request.attempts[0].server)


def answer_health_checks(stage: Stage, load: dict[str, float], unresponsive: str = "") -> None:
    """Answer the health checks sent at this moment, each with the load of its server."""
    stage.wait(2 * MILLISECOND_US)
    checked = [
        each.server
        for at, each in stage.log
        if isinstance(each, CheckHealth) and at == stage.now - 2 * MILLISECOND_US
    ]
    for server in checked:
        if server != unresponsive:
            report = {"inflight": load.get(server, 0.0)}
            stage.play(HealthCheckEnded(server, Outcome.SUCCEEDED, 2 * MILLISECOND_US, report))


def two_zones(servers_each: int) -> list[Endpoint]:
    """So many servers in the local zone, and as many in another one."""
    servers = names(2 * servers_each)
    return [
        Endpoint(name, zone="east" if index < servers_each else "west") for index, name in enumerate(servers)
    ]
