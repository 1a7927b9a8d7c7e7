"""The scenarios for which decisions are recorded and digested: settings, servers and traffic."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

MILLISECOND_US = 1_000
SECOND_US = 1_000_000


def service_classes(target_us: int, ordered: bool = False, late_weight: float = 0.0) -> list[dict[str, Any]]:
    """Service classes of each idempotency and each deduplication scope."""
    common = {
        "deadline_us": 4 * target_us,
        "latency_target_us": target_us,
        "dedup_window_us": 2 * target_us,
        "late_weight": late_weight,
        "ordered_by_key": ordered,
    }
    classes = [
        {**common, "name": "read", "idempotency": "safe", "priority_weight": 1},
        {
            **common,
            "name": "quick",
            "idempotency": "safe",
            "priority_weight": 5,
            "latency_target_us": target_us // 2,
        },
        {**common, "name": "pay", "idempotency": "unsafe", "priority_weight": 10},
    ]
    keyed = {**common, "idempotency": "keyed", "priority_weight": 3}
    classes.extend(
        {**keyed, "name": dedup_scope, "dedup_scope": dedup_scope} for dedup_scope in ("all", "zone", "cell")
    )
    return classes


PERMISSIVE_LIMITS = {"max_attempts": 5, "allow_hedging": True, "allow_cancel": True}
RULES = {
    "slow_start_from": 0.2,
    "slow_start_us": 5 * SECOND_US,
    "overload_multiple": 3,
    "overload_window_us": 2 * SECOND_US,
    "max_poll_interval_us": 4 * SECOND_US,
}
BASE_SETTINGS: dict[str, Any] = {
    "classes": service_classes(500 * MILLISECOND_US),
    "zone": "east",
    "tick_us": 5 * MILLISECOND_US,
    "limits": PERMISSIVE_LIMITS,
    "rules": RULES,
}
PROBE_SETTINGS = {
    "limits": {**PERMISSIVE_LIMITS, "allow_probes": True},
    "report": {"source": "probes", "columns": ["inflight"]},
}


@dataclass(frozen=True)
class Scenario:
    """Settings, and the servers and traffic with which they are simulated.

    Attributes:
        name: The name, which also seeds the random generator.
        settings: The settings of the balancer, as a mapping.
        server_count: The number of servers at the start.
        service_time_us: The typical service time of a server of usual speed without load, in microseconds.
        arrival_interval_us: The mean time between random steps, most of which are arrivals, in microseconds.
        has_load_reports: Whether responses carry a load report.
        tenants: The tenants of requests; None for requests without a tenant.
        hung_servers: The number of servers that hang from the start.
        failing_servers: The number of servers that fail every request from the start.
    """

    name: str
    settings: dict[str, Any]
    server_count: int = 12
    service_time_us: int = 60 * MILLISECOND_US
    arrival_interval_us: int = 6 * MILLISECOND_US
    has_load_reports: bool = False
    tenants: tuple[str | None, ...] = (None,)
    hung_servers: int = 0
    failing_servers: int = 0


SCENARIOS = (
    Scenario("permissive", BASE_SETTINGS),
    Scenario(
        "cautious", {**BASE_SETTINGS, "limits": {"max_attempts": 2}}, service_time_us=150 * MILLISECOND_US
    ),
    Scenario("no-hedging", {**BASE_SETTINGS, "limits": {**PERMISSIVE_LIMITS, "allow_hedging": False}}),
    Scenario("pushed", {**BASE_SETTINGS, "discovery": "pushed", "rules": {**RULES, "late_shedding": True}}),
    Scenario(
        "overloaded",
        BASE_SETTINGS,
        server_count=4,
        service_time_us=200 * MILLISECOND_US,
        arrival_interval_us=5 * MILLISECOND_US,
    ),
    Scenario(
        "sparse",
        {**BASE_SETTINGS, "sidecar_count": 50},
        server_count=8,
        arrival_interval_us=350 * MILLISECOND_US,
        service_time_us=250 * MILLISECOND_US,
    ),
    Scenario(
        "sparse-reports",
        BASE_SETTINGS,
        server_count=8,
        arrival_interval_us=350 * MILLISECOND_US,
        service_time_us=300 * MILLISECOND_US,
        has_load_reports=True,
    ),
    Scenario("probes", {**BASE_SETTINGS, **PROBE_SETTINGS}, arrival_interval_us=40 * MILLISECOND_US),
    Scenario(
        "probes-priced",
        {**BASE_SETTINGS, **PROBE_SETTINGS, "prices": {"cross_zone": 0.1, "probe": 0.002, "handshake": 0.08}},
        server_count=30,
        arrival_interval_us=20 * MILLISECOND_US,
        service_time_us=120 * MILLISECOND_US,
    ),
    Scenario(
        "ordered",
        {
            **BASE_SETTINGS,
            "classes": service_classes(500 * MILLISECOND_US, ordered=True),
            "rules": {**RULES, "key_cooldown_us": 80 * MILLISECOND_US},
        },
    ),
    Scenario(
        "ordered-probes",
        {
            **BASE_SETTINGS,
            **PROBE_SETTINGS,
            "classes": service_classes(500 * MILLISECOND_US, ordered=True, late_weight=0.5),
            "rules": {**RULES, "key_cooldown_us": 80 * MILLISECOND_US},
        },
        arrival_interval_us=30 * MILLISECOND_US,
    ),
    Scenario(
        "tenants",
        {
            **BASE_SETTINGS,
            "tenants": [{"name": "a", "share": 1}, {"name": "b", "share": 3}],
            "over_share_weight": 0.2,
        },
        server_count=5,
        service_time_us=120 * MILLISECOND_US,
        has_load_reports=True,
        tenants=("a", "b", "c", None),
    ),
    Scenario(
        "reports", {**BASE_SETTINGS, "prices": {"cross_zone": 0.03}}, server_count=6, has_load_reports=True
    ),
    Scenario(
        "connections",
        {
            **BASE_SETTINGS,
            "sidecar_count": 100,
            "prices": {"connection": 0.08, "handshake": 0.08, "cross_zone": 0.03},
        },
        arrival_interval_us=15 * MILLISECOND_US,
    ),
    Scenario(
        "seconds",
        {
            **BASE_SETTINGS,
            "classes": service_classes(4 * SECOND_US, late_weight=0.3),
            "limits": {**PERMISSIVE_LIMITS, "retry_after": True, "max_retry_after_us": 200 * MILLISECOND_US},
        },
        service_time_us=600 * MILLISECOND_US,
        arrival_interval_us=30 * MILLISECOND_US,
    ),
    Scenario(
        "100-ms",
        {**BASE_SETTINGS, "classes": service_classes(100 * MILLISECOND_US)},
        service_time_us=15 * MILLISECOND_US,
        arrival_interval_us=4 * MILLISECOND_US,
    ),
    Scenario(
        "200-servers",
        {**BASE_SETTINGS, "sidecar_count": 20},
        server_count=200,
        arrival_interval_us=3 * MILLISECOND_US,
    ),
    Scenario(
        "silent-servers",
        {**BASE_SETTINGS, "limits": {**PERMISSIVE_LIMITS, "allow_hedging": False}},
        arrival_interval_us=12 * MILLISECOND_US,
        service_time_us=40 * MILLISECOND_US,
        hung_servers=2,
    ),
    Scenario(
        "failing-servers",
        BASE_SETTINGS,
        arrival_interval_us=12 * MILLISECOND_US,
        service_time_us=40 * MILLISECOND_US,
        failing_servers=3,
    ),
    Scenario("3-servers", BASE_SETTINGS, server_count=3, arrival_interval_us=20 * MILLISECOND_US),
)
