"""The gates of the balancer, as its parts call them."""

from collections.abc import Callable

from sidecar.balancer.state import Request, Server

SendCallback = Callable[[Request, Server], bool]
"""Sends an attempt of the request to the server if the rules allow it; returns whether it was sent."""

FinishCallback = Callable[[Request], None]
"""Gives the client the balancer's own final response, unless the request has one."""
