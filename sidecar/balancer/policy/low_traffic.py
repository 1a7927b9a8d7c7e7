"""How much this balancer's own traffic can tell: by its mean load, step sizes and a subset of the servers."""

from sidecar.balancer.state import ActiveLoad

CONFIDENT_LOAD = 8.0  # where fewer are active than this, their number is chance for a good part
MAX_LOW_TRAFFIC_FACTOR = (
    4.0  # so the fewer, the longer loads are averaged and the larger the steps, up to this
)
MIN_SUBSET_SIZE = 4.0  # a balancer at rest uses this many servers: a choice, yet few enough to know them


def low_traffic_factor(load: ActiveLoad) -> float:
    """How much longer than in a busy balancer it takes here to tell a change from chance."""
    return max(1.0, min(CONFIDENT_LOAD / max(load.mean, 1e-9), MAX_LOW_TRAFFIC_FACTOR))


def subset_size(load: ActiveLoad) -> int:
    """How many servers to use; one more for each active attempt, as many again may be empty."""
    return int(MIN_SUBSET_SIZE + load.mean)
