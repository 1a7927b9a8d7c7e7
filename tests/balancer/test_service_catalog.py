"""The classes and tenants in the settings, and what is assumed about unknown ones."""

from __future__ import annotations

import pytest

from sidecar.balancer.state import TrafficKey
from sidecar.balancer.state.service_catalog import ServiceCatalog
from sidecar.settings import ServiceClass, Settings, Tenant

SECOND_US = 1_000_000

CLASSES = (
    ServiceClass("read", deadline_us=2 * SECOND_US, latency_target_us=SECOND_US),
    ServiceClass("batch", deadline_us=9 * SECOND_US, latency_target_us=4 * SECOND_US, ordered_by_key=True),
)
CATALOG = ServiceCatalog(Settings(classes=CLASSES, tenants=(Tenant("t1", share=3.0), Tenant("t2"))))


def test_targets_and_shares_are_those_of_all_classes_and_tenants() -> None:
    assert CATALOG.longest_target_us == 4 * SECOND_US
    assert CATALOG.shortest_target_us == SECOND_US
    assert CATALOG.tenant_shares == {"t1": 3.0, "t2": 1.0}
    assert CATALOG.total_share == 4.0


def test_an_unknown_class_gets_the_strictest_assumptions() -> None:
    assert CATALOG.class_named("read", 5) is CLASSES[0]
    unknown = CATALOG.class_named("other", 0)
    assert unknown == ServiceClass("other", deadline_us=1, latency_target_us=1, ordered_by_key=True)


@pytest.mark.parametrize(
    ("traffic_key", "is_known"),
    [
        (TrafficKey("read", None), True),
        (TrafficKey("read", "t1"), True),
        (TrafficKey("read", "other"), False),
        (TrafficKey("other", "t1"), False),
    ],
)
def test_a_traffic_key_is_known_where_its_class_and_tenant_are(
    traffic_key: TrafficKey, is_known: bool
) -> None:
    assert CATALOG.has_traffic_key(traffic_key) is is_known
