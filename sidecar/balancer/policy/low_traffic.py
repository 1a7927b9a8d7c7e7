"""Correction of statistics for low traffic, where most of what the few samples show is chance."""

from sidecar.balancer.state import ActiveLoad

FULL_CONFIDENCE_LOAD = 8.0  # mean attempts in flight; with fewer, much of the current number is chance
MAX_LOW_TRAFFIC_FACTOR = 4.0  # upper bound, so that an idle balancer still reacts to changes
MIN_MEAN_LOAD = 1e-9  # attempts in flight; avoids a division by zero while idle


def low_traffic_factor(load: ActiveLoad) -> float:
    """How much longer than a busy balancer this one needs to distinguish a change from chance.

    Averaging spans are stretched by this factor.  The steps of moving averages are enlarged by it, as each
    sample represents a longer time.

    Args:
        load: The attempts in flight of this balancer.

    Returns:
        A factor from 1.0, at `FULL_CONFIDENCE_LOAD` mean attempts in flight or more, to
        `MAX_LOW_TRAFFIC_FACTOR`.
    """
    factor = FULL_CONFIDENCE_LOAD / max(load.mean, MIN_MEAN_LOAD)
    return max(1.0, min(factor, MAX_LOW_TRAFFIC_FACTOR))
