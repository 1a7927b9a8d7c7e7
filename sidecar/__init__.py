"""An HTTP/1.1 load balancing sidecar.

It consists of a best-of-k balancer, which draws new candidates for each attempt, and the proxy around it.
"""

from sidecar.balancer import Balancer
from sidecar.settings import Settings

__all__ = ["Balancer", "Settings"]
__version__ = "0.1.0"
