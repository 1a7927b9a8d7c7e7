"""An HTTP/1.1 sidecar: a balancer by best-of-k with redraw, and the proxy around it."""

from sidecar.balancer import Balancer
from sidecar.settings import Settings

__all__ = ["Balancer", "Settings"]
__version__ = "0.1.0"
