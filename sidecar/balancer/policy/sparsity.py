"""How much this balancer's own traffic can tell: by its mean load, step sizes and a subset of the servers."""

from sidecar.balancer.state import ActiveLoad

FEW_ACTIVE = 8.0  # where fewer are active than this, their number is chance for a good part
MAX_SPARSITY = 4.0  # so the fewer, the longer loads are averaged and the larger the steps, up to this
SUBSET_AT_REST = 4.0  # a balancer at rest uses this many servers: a choice, yet few enough to know them


def sparsity(load: ActiveLoad) -> float:
    """How much longer than in a busy balancer it takes here to tell a change from chance."""
    return max(1.0, min(FEW_ACTIVE / max(load.mean, 1e-9), MAX_SPARSITY))


def subset_size(load: ActiveLoad) -> int:
    """How many servers to use; one more for each active attempt, as many again may be empty."""
    return int(SUBSET_AT_REST + load.mean)
