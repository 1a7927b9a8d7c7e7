"""Cost classes of new requests."""

from __future__ import annotations

import pytest

from sidecar.balancer.lifecycle.request_factory import MAX_COST_CLASS, MIN_COST_CLASS, cost_class


@pytest.mark.parametrize(
    ("relative_cost", "expected"),
    [(1e-6, MIN_COST_CLASS), (0.5, 0), (0.99, 0), (1.0, 1), (2.0, 2), (7.9, 3), (1e6, MAX_COST_CLASS)],
)
def test_cost_classes_are_powers_of_two_within_bounds(relative_cost: float, expected: int) -> None:
    assert cost_class(relative_cost) == expected
