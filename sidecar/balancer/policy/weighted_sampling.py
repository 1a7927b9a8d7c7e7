"""Weighted random sampling without replacement."""

import random

from sidecar.balancer.state import Server


def sample_by_weight(
    rng: random.Random, servers: list[Server], weights: list[float], count: int
) -> list[Server]:
    """Draw distinct servers with probabilities proportional to their weights.

    The order of the result is random as well, so picking the first of several equal servers is unbiased.

    Args:
        rng: The source of random numbers; one is drawn for each server of the result.
        servers: The servers to draw from.
        weights: Their relative weights, in the same order.
        count: How many to draw; if there are fewer, all of them are drawn.

    Returns:
        The servers drawn, in the order of drawing.
    """
    sample = []
    remaining = list(range(len(servers)))
    total_weight = sum(weights)
    for _ in range(min(count, len(servers))):
        point = rng.random() * total_weight
        position = 0
        while position < len(remaining) - 1 and point >= weights[remaining[position]]:
            point -= weights[remaining[position]]
            position += 1
        index = remaining.pop(position)
        total_weight -= weights[index]
        sample.append(servers[index])
    return sample
