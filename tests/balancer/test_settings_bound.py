"""Tables and rates that adapt to changes of the settings."""

from __future__ import annotations

import math

import pytest

from sidecar.balancer.state.settings_bound import SettingsBoundState

SECOND_US = 1_000_000


def test_entries_that_are_no_longer_kept_are_removed_from_tables() -> None:
    kept = {"read", "batch"}
    bound = SettingsBoundState()
    table: dict[str, int] = bound.new_table(lambda name: name in kept)
    table.update({"read": 1, "batch": 2})
    bound.settings_changed()
    assert table == {"read": 1, "batch": 2}
    kept.remove("batch")
    bound.settings_changed()
    assert table == {"read": 1}


def test_a_rate_keeps_its_value_when_its_span_changes() -> None:
    span_us = 4.0 * SECOND_US
    bound = SettingsBoundState()
    rate = bound.new_rate(lambda: span_us)
    rate.add(0, 8.0)
    before = rate.per_us(0)
    span_us = 2.0 * SECOND_US
    bound.settings_changed()
    assert rate.per_us(0) == pytest.approx(before)
    assert rate.per_us(2 * SECOND_US) == pytest.approx(before / math.e)
