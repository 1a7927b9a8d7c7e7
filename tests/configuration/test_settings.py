"""Settings: skipped keys, defaults and invalid values."""

from __future__ import annotations

from dataclasses import fields
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from sidecar import Balancer, Settings
from sidecar.balancer.events import RequestArrived
from sidecar.settings import (
    ConfigurationError,
    Discovery,
    Idempotency,
    Limits,
    Prices,
    Rules,
    ServiceClass,
    Tenant,
)
from sidecar.settings.wire_names import WIRE_NAMES, settings_from_wire

WIRE_CLASS = {"name": "a", "giveUpUs": 1_000_000}
MINIMAL = {"classes": [{"name": "a", "deadline_us": 1_000_000}]}


def test_absent_keys_get_conservative_defaults() -> None:
    settings = Settings.from_mapping(MINIMAL)
    assert settings.classes[0].idempotency is Idempotency.UNSAFE
    assert settings.classes[0].latency_target_us == 1_000_000
    assert settings.discovery is Discovery.ON_REQUEST
    assert not settings.limits.allow_hedging
    assert settings.limits.max_attempts == 1
    assert settings.rules.drain_grace_us == 0


def test_unknown_keys_are_skipped_and_null_counts_as_absent() -> None:
    assert Settings.from_mapping(
        {**MINIMAL, "unknown": 1, "limits": {"x": 2}, "rules": None}
    ) == Settings.from_mapping(MINIMAL)


@pytest.mark.parametrize(
    ("mapping", "key"),
    [
        ({}, "classes"),
        ({"classes": 5}, "classes"),
        ({"classes": [{"name": "a"}]}, "classes[0].deadline_us"),
        ({"classes": [{"name": "a", "deadline_us": 0}]}, "classes[0].deadline_us"),
        ({"classes": [{"name": "a", "deadline_us": float("nan")}]}, "classes[0].deadline_us"),
        ({"classes": [{"name": "a", "deadline_us": 9, "idempotency": "maybe"}]}, "classes[0].idempotency"),
        ({"classes": [*MINIMAL["classes"], *MINIMAL["classes"]]}, "classes"),
        ({**MINIMAL, "limits": {"max_attempts": -1}}, "limits.max_attempts"),
        ({**MINIMAL, "limits": {"allow_hedging": 1}}, "limits.allow_hedging"),
        ({**MINIMAL, "rules": {"slow_start_from": 2}}, "rules.slow_start_from"),
        ({**MINIMAL, "rules": {"overload_window_us": "long"}}, "rules.overload_window_us"),
        ({**MINIMAL, "report": {"columns": "util"}}, "report.columns"),
        ({**MINIMAL, "tenants": [3]}, "tenants[0]"),
        ({**MINIMAL, "sidecar_count": 0}, "sidecar_count"),
        ({**MINIMAL, "prices": []}, "prices"),
    ],
)
def test_an_invalid_value_is_named_by_its_key(mapping: dict[str, Any], key: str) -> None:
    with pytest.raises(ConfigurationError) as error:
        Settings.from_mapping(mapping)
    assert str(error.value).startswith(key + ":")


setting_values = (
    st.none() | st.booleans() | st.integers(-5, 10**9) | st.floats() | st.sampled_from(["safe", "cell", "x"])
)


@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.dictionaries(
        st.sampled_from(
            [
                "deadline_us",
                "latency_target_us",
                "priority_weight",
                "idempotency",
                "dedup_scope",
                "dedup_window_us",
                "streaming",
            ]
        ),
        setting_values,
    ),
    st.dictionaries(
        st.sampled_from(
            [
                "max_attempts",
                "allow_hedging",
                "allow_cancel",
                "slow_start_from",
                "slow_start_us",
                "overload_window_us",
            ]
        ),
        setting_values,
    ),
)
def test_any_settings_give_a_working_balancer_or_an_error(kind: dict[str, Any], rest: dict[str, Any]) -> None:
    try:
        given = Settings.from_mapping({"classes": [{"name": "a", **kind}], "limits": rest, "rules": rest})
    except ValueError:
        return
    balancer = Balancer(given, 1)
    assert len(balancer.handle(5_000_000, RequestArrived(1, "a", None, None, 500_000))) > 0


@pytest.mark.parametrize(
    ("mapping", "message"),
    [
        (None, "settings: a mapping is needed"),
        ({"lanes": [{"name": "a"}]}, "settings.lanes[0].giveUpUs: a whole number from 1 is needed"),
        ({"lanes": [WIRE_CLASS, WIRE_CLASS]}, "settings.lanes: duplicate name 'a'"),
        (
            {"lanes": [{**WIRE_CLASS, "repeat": "maybe"}]},
            "settings.lanes[0].repeat: "
            "one of read_like, idempotency_key, non_idempotent is needed, not 'maybe'",
        ),
        (
            {"lanes": [WIRE_CLASS], "guarantees": {"turnGapUs": -1}},
            "settings.guarantees.turnGapUs: a whole number from 0 is needed, not -1",
        ),
        (
            {"lanes": [WIRE_CLASS], "domain": {"warmKeys": 3}},
            "settings.domain.warmKeys: true or false is needed, not 3",
        ),
        (
            {"lanes": [WIRE_CLASS], "report": {"source": 5}},
            "settings.report.source: one of piggyback, pull, silent is needed, not 5",
        ),
    ],
)
def test_an_error_about_settings_from_the_wire_names_the_key_of_the_wire(
    mapping: object, message: str
) -> None:
    with pytest.raises(ConfigurationError) as error:
        settings_from_wire(mapping)
    assert str(error.value) == message


def test_the_wire_has_a_name_for_every_field() -> None:
    models = {"classes": ServiceClass, "tenants": Tenant, "limits": Limits, "rules": Rules, "prices": Prices}
    for section, model in models.items():
        assert set(WIRE_NAMES.keys[section]) == {each.name for each in fields(model)}
    in_report = {"report_source", "report_columns"}
    names = {each.name for each in fields(Settings)} - in_report
    assert set(WIRE_NAMES.keys["settings"]) == names | {"report"}
    assert set(WIRE_NAMES.keys["report"]) == {"source", "columns"}


def test_a_domain_that_is_not_an_object_is_skipped() -> None:
    assert not settings_from_wire({"lanes": [WIRE_CLASS], "domain": "search"}).warm_keys
