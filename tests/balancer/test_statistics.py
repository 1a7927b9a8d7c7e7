"""Decaying rates and linear fits."""

from __future__ import annotations

import math

import pytest

from sidecar.balancer.state import DecayingRate, LinearFit


def test_a_decaying_rate_falls_by_a_factor_of_e_in_its_time_constant() -> None:
    rate = DecayingRate(1_000.0)
    rate.add(5_000, 10.0)
    assert rate.per_us(5_000) == pytest.approx(0.01)
    assert rate.per_us(6_000) == pytest.approx(0.01 / math.e)


def test_a_linear_fit_needs_enough_observations_and_never_decreases() -> None:
    rising, falling = LinearFit(0.03, 5.0), LinearFit(0.03, 5.0)
    for x in range(4):
        rising.add(x, 2.0 * x)
    assert rising.predict(1.0) is None
    assert rising.x_per_y() is None
    for x in range(100):
        rising.add(x % 10, 2.0 * (x % 10))
        falling.add(x % 10, 20.0 - x % 10)
    low, high = rising.predict(0.0), rising.predict(9.0)
    assert low is not None
    assert high is not None
    assert high - low > 12.0
    assert falling.predict(0.0) == falling.predict(9.0)
