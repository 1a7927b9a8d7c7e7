"""Subsetting: the number of ready servers that a balancer uses, by its own traffic."""

from sidecar.balancer.state import ActiveLoad

MIN_SUBSET_SIZE = 4.0  # servers used while idle: enough for a choice, few enough to get samples from each


def subset_size(load: ActiveLoad) -> int:
    """The number of servers to use, which grows by one for each mean attempt in flight.

    Without subsetting, each of many small balancers would hold a connection to each of many servers and get
    few samples from any of them.

    Args:
        load: The attempts in flight of this balancer.

    Returns:
        The size of the subset; it may exceed the number of servers.
    """
    return int(MIN_SUBSET_SIZE + load.mean)
