"""Contexts, requests and attempts for unit tests of single policies."""

from __future__ import annotations

import random

from balancer_harness import MILLISECOND_US, SECOND_US, START_US, settings

from sidecar.balancer.events import Endpoint, RegistryUpdated, RegistryUpdateKind, TimerFired
from sidecar.balancer.state import Attempt, Context, Request, Server, TrafficKey

TARGET_US = 500 * MILLISECOND_US


def make_context(servers: int = 10, **changes: object) -> Context:
    """A context at START_US with this number of ready servers."""
    context = Context(settings(**changes), random.Random(7), stall_check_interval_targets=0.1)
    context.begin_event(START_US, TimerFired(""))
    endpoints = [Endpoint(f"s{number}", zone="east") for number in range(servers)]
    context.registry.apply(RegistryUpdated(RegistryUpdateKind.SNAPSHOT, endpoints))
    context.load.mean = 16.0  # enough traffic for the subset to contain all servers
    return context


def make_request(context: Context, class_name: str = "look") -> Request:
    """A request of the named class without attempts."""
    service_class = next(each for each in context.settings.classes if each.name == class_name)
    traffic_key = TrafficKey(class_name, None)
    return Request(
        1, service_class, START_US + 2 * SECOND_US, 1.0, traffic_key, may_cross_zones=True, cost_class=1
    )


def start_attempt(context: Context, request: Request, server: Server) -> Attempt:
    """Add an attempt of the request at the server and count it as load."""
    attempt = Attempt(len(request.attempts), server, context.now, 0, 0)
    request.attempts.append(attempt)
    context.load.change_attempts(server, 1)
    return attempt


def add_load(context: Context, attempts: int) -> None:
    """Count this number of attempts as load of the first ready server."""
    server = context.registry.ready[0]
    for _ in range(attempts):
        context.load.change_attempts(server, 1)
