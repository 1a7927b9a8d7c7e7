"""Correction of statistics for low traffic: with few samples, most of what is observed is chance."""

from sidecar.balancer.state import ActiveLoad

FULL_CONFIDENCE_LOAD = 8.0  # mean attempts in flight; with fewer, their number is to a good part chance
MAX_LOW_TRAFFIC_FACTOR = 4.0  # bounds the factor, so that an idle balancer still follows changes
MIN_MEAN_LOAD = 1e-9  # attempts in flight; avoids a division by zero while idle


def low_traffic_factor(load: ActiveLoad) -> float:
    """How much slower than a busy balancer this one tells a change from chance.

    Averaging spans are stretched and the steps of moving averages enlarged by this factor, as each sample
    stands for more of the time.

    Args:
        load: The attempts in flight of this balancer.

    Returns:
        1.0 from `FULL_CONFIDENCE_LOAD` mean attempts in flight on, up to `MAX_LOW_TRAFFIC_FACTOR` below that.
    """
    factor = FULL_CONFIDENCE_LOAD / max(load.mean, MIN_MEAN_LOAD)
    return max(1.0, min(factor, MAX_LOW_TRAFFIC_FACTOR))
