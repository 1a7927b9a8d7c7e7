"""The state that the balancer keeps between events: records, the registry's copy, timers, running statistics.

Nothing here decides: `sidecar.balancer.policy` holds the decisions and every constant they depend on.
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
