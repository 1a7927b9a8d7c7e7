"""The scenarios over which decisions are recorded and digested: settings, servers and traffic."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

MILLISECOND_US = 1_000
SECOND_US = 1_000_000


def service_classes(target_us: int, ordered: bool = False, late_weight: float = 0.0) -> list[dict[str, Any]]:
    """One class of each idempotency and deduplication scope."""
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
    classes.extend({**keyed, "name": scope, "dedup_scope": scope} for scope in ("all", "zone", "cell"))
    return classes


PERMISSIVE = {"max_attempts": 5, "allow_hedging": True, "allow_cancel": True}
RULES = {
    "slow_start_from": 0.2,
    "slow_start_us": 5 * SECOND_US,
    "overload_multiple": 3,
    "overload_window_us": 2 * SECOND_US,
    "max_poll_interval_us": 4 * SECOND_US,
}
BASE: dict[str, Any] = {
    "classes": service_classes(500 * MILLISECOND_US),
    "zone": "east",
    "tick_us": 5 * MILLISECOND_US,
    "limits": PERMISSIVE,
    "rules": RULES,
}
PROBES = {
    "limits": {**PERMISSIVE, "allow_probes": True},
    "report": {"source": "probes", "columns": ["inflight"]},
}


@dataclass(frozen=True)
class Scenario:
    """Settings, and the servers and traffic that they are simulated with."""

    name: str
    settings: dict[str, Any]
    servers: int = 12
    service_us: int = 60 * MILLISECOND_US
    every_us: int = 6 * MILLISECOND_US
    reports: bool = False
    tenants: tuple[str | None, ...] = (None,)
    hung: int = 0  # servers that hang from the start
    failing: int = 0  # servers that fail every request from the start


SCENARIOS = (
    Scenario("permissive", BASE),
    Scenario("cautious", {**BASE, "limits": {"max_attempts": 2}}, service_us=150 * MILLISECOND_US),
    Scenario("no-hedging", {**BASE, "limits": {**PERMISSIVE, "allow_hedging": False}}),
    Scenario("pushed", {**BASE, "discovery": "pushed", "rules": {**RULES, "late_shedding": True}}),
    Scenario("overloaded", BASE, servers=4, service_us=200 * MILLISECOND_US, every_us=5 * MILLISECOND_US),
    Scenario(
        "sparse",
        {**BASE, "sidecar_count": 50},
        servers=8,
        every_us=350 * MILLISECOND_US,
        service_us=250 * MILLISECOND_US,
    ),
    Scenario(
        "sparse-reports",
        BASE,
        servers=8,
        every_us=350 * MILLISECOND_US,
        service_us=300 * MILLISECOND_US,
        reports=True,
    ),
    Scenario("probes", {**BASE, **PROBES}, every_us=40 * MILLISECOND_US),
    Scenario(
        "probes-priced",
        {**BASE, **PROBES, "prices": {"cross_zone": 0.1, "probe": 0.002, "handshake": 0.08}},
        servers=30,
        every_us=20 * MILLISECOND_US,
        service_us=120 * MILLISECOND_US,
    ),
    Scenario(
        "ordered",
        {
            **BASE,
            "classes": service_classes(500 * MILLISECOND_US, ordered=True),
            "rules": {**RULES, "key_cooldown_us": 80 * MILLISECOND_US},
        },
    ),
    Scenario(
        "ordered-probes",
        {
            **BASE,
            **PROBES,
            "classes": service_classes(500 * MILLISECOND_US, ordered=True, late_weight=0.5),
            "rules": {**RULES, "key_cooldown_us": 80 * MILLISECOND_US},
        },
        every_us=30 * MILLISECOND_US,
    ),
    Scenario(
        "tenants",
        {
            **BASE,
            "tenants": [{"name": "a", "share": 1}, {"name": "b", "share": 3}],
            "over_share_weight": 0.2,
        },
        servers=5,
        service_us=120 * MILLISECOND_US,
        reports=True,
        tenants=("a", "b", "c", None),
    ),
    Scenario("reports", {**BASE, "prices": {"cross_zone": 0.03}}, servers=6, reports=True),
    Scenario(
        "connections",
        {**BASE, "sidecar_count": 100, "prices": {"connection": 0.08, "handshake": 0.08, "cross_zone": 0.03}},
        every_us=15 * MILLISECOND_US,
    ),
    Scenario(
        "seconds",
        {
            **BASE,
            "classes": service_classes(4 * SECOND_US, late_weight=0.3),
            "limits": {**PERMISSIVE, "retry_after": True, "max_retry_after_us": 200 * MILLISECOND_US},
        },
        service_us=600 * MILLISECOND_US,
        every_us=30 * MILLISECOND_US,
    ),
    Scenario(
        "100-ms",
        {**BASE, "classes": service_classes(100 * MILLISECOND_US)},
        service_us=15 * MILLISECOND_US,
        every_us=4 * MILLISECOND_US,
    ),
    Scenario("200-servers", {**BASE, "sidecar_count": 20}, servers=200, every_us=3 * MILLISECOND_US),
    Scenario(
        "silent-servers",
        {**BASE, "limits": {**PERMISSIVE, "allow_hedging": False}},
        every_us=12 * MILLISECOND_US,
        service_us=40 * MILLISECOND_US,
        hung=2,
    ),
    Scenario(
        "failing-servers", BASE, every_us=12 * MILLISECOND_US, service_us=40 * MILLISECOND_US, failing=3
    ),
    Scenario("3-servers", BASE, servers=3, every_us=20 * MILLISECOND_US),
)
