"""Callbacks of the balancer that send attempts and final responses."""

from collections.abc import Callable

from sidecar.balancer.state import Request, Server

SendCallback = Callable[[Request, Server], bool]
"""Sends an attempt of the request to the server if the rules allow it; returns whether it was sent."""

FinishCallback = Callable[[Request], None]
"""Rejects or fails the request, unless it is answered already."""
