"""Tables and rates that follow changes of the settings."""

from __future__ import annotations

import math

import pytest

from sidecar.balancer.state.settings_bound import SettingsBoundState

SECOND_US = 1_000_000


def test_tables_lose_the_entries_that_are_not_kept() -> None:
    kept = {"read", "batch"}
    bound = SettingsBoundState()
    table: dict[str, int] = bound.new_table(lambda name: name in kept)
    table.update({"read": 1, "batch": 2})
    bound.settings_changed()
    assert table == {"read": 1, "batch": 2}
    kept.remove("batch")
    bound.settings_changed()
    assert table == {"read": 1}


def test_rates_go_on_at_their_value_over_their_new_span() -> None:
    span_us = 4.0 * SECOND_US
    bound = SettingsBoundState()
    rate = bound.new_rate(lambda: span_us)
    rate.add(0, 8.0)
    before = rate.per_us(0)
    span_us = 2.0 * SECOND_US
    bound.settings_changed()
    assert rate.per_us(0) == pytest.approx(before)
    assert rate.per_us(2 * SECOND_US) == pytest.approx(before / math.e)
