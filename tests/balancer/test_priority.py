"""Priority of traffic by the weight of its class and the quota of its tenant."""

from __future__ import annotations

import pytest
from balancer_harness import SAFE, UNSAFE
from policy_context import make_context, make_request

from sidecar.balancer.policy.priority import TrafficPriorities
from sidecar.balancer.state import Context, Traffic, TrafficKey


def count_arrivals(
    context: Context, priorities: TrafficPriorities, count: int, class_name: str, tenant: str | None = None
) -> Traffic:
    """Count this number of requests of the class and tenant, and return their traffic."""
    request = make_request(context, class_name)
    request.traffic_key = TrafficKey(class_name, tenant)
    for _ in range(count - 1):
        priorities.count_arrival(request)
    return priorities.count_arrival(request)


def test_all_traffic_of_one_weight_has_the_median_priority() -> None:
    context = make_context(classes=[SAFE, UNSAFE | {"priority_weight": SAFE.get("priority_weight", 1.0)}])
    priorities = TrafficPriorities(context)
    for name in ("look", "pay"):
        assert priorities.priority(count_arrivals(context, priorities, 5, name)) == pytest.approx(0.5)


def test_priority_is_the_share_of_traffic_with_a_lower_weight() -> None:
    context = make_context(classes=[SAFE | {"priority_weight": 1.0}, UNSAFE | {"priority_weight": 2.0}])
    priorities = TrafficPriorities(context)
    low = count_arrivals(context, priorities, 30, "look")
    high = count_arrivals(context, priorities, 10, "pay")
    assert priorities.priority(low) == pytest.approx(0.375)  # half of its own share of 0.75
    assert priorities.priority(high) == pytest.approx(0.875)


def test_a_tenant_beyond_its_quota_has_the_lower_priority() -> None:
    tenants = [{"name": "a", "share": 1.0}, {"name": "b", "share": 1.0}]
    context = make_context(tenants=tenants, over_share_weight=0.1)
    priorities = TrafficPriorities(context)
    beyond_quota = count_arrivals(context, priorities, 30, "look", tenant="a")
    within_quota = count_arrivals(context, priorities, 10, "look", tenant="b")
    assert priorities.priority(beyond_quota) < priorities.priority(within_quota)
