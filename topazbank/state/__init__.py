"""What the balancer keeps between events: plain records, the registry's copy, timers, running statistics.

Nothing here decides: what follows from this state, and every constant of that, is in `topazbank.policy`.
"""

from topazbank.state.context import Context
from topazbank.state.load import ActiveLoad
from topazbank.state.records import Attempt, Backoff, Flow, KeyQueue, Request, Server, Traffic
from topazbank.state.statistics import DecayingRate, LinearFit

__all__ = [
    "ActiveLoad",
    "Attempt",
    "Backoff",
    "Context",
    "DecayingRate",
    "Flow",
    "KeyQueue",
    "LinearFit",
    "Request",
    "Server",
    "Traffic",
]
