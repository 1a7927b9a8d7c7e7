"""The balancer: a deterministic state machine that makes all decisions of a sidecar from events."""

from sidecar.balancer.balancer import Balancer

__all__ = ["Balancer"]
