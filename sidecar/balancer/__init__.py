"""The balancer: all decisions of a sidecar, as a pure state machine fed with events."""

from sidecar.balancer.balancer import Balancer

__all__ = ["Balancer"]
