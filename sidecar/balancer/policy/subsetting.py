"""Subsetting: how many of the ready servers a balancer uses, given its own traffic."""

from sidecar.balancer.state import ActiveLoad

MIN_SUBSET_SIZE = 4.0  # servers used while idle: enough for a choice, few enough to have samples of each


def subset_size(load: ActiveLoad) -> int:
    """The number of servers to use: one more for each attempt in flight on average.

    Without subsetting, each of many small balancers would hold a connection to each of many servers and have
    hardly any samples of any of them.

    Args:
        load: The attempts in flight of this balancer.

    Returns:
        The size of the subset; it may exceed the number of servers.
    """
    return int(MIN_SUBSET_SIZE + load.mean)
