"""The balancer's state between events: records, its copy of the registry, timers and running statistics.

These modules make no decisions: those and their constants are in `sidecar.balancer.policy`.
"""

from sidecar.balancer.state.context import Context
from sidecar.balancer.state.load import ActiveLoad
from sidecar.balancer.state.records import Attempt, Backoff, KeyQueue, Request, Server, Traffic, TrafficKey
from sidecar.balancer.state.statistics import DecayingRate, LinearFit

__all__ = [
    "ActiveLoad",
    "Attempt",
    "Backoff",
    "Context",
    "DecayingRate",
    "KeyQueue",
    "LinearFit",
    "Request",
    "Server",
    "Traffic",
    "TrafficKey",
]
