"""The scenarios over which decisions are recorded and digested: settings, servers and traffic."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

MS = 1_000
S = 1_000_000


def service_classes(target_us: int, ordered: bool = False, late_worth: float = 0.0) -> list[dict[str, Any]]:
    """One class of each idempotency and deduplication scope."""
    common = {
        "deadline_us": 4 * target_us,
        "latency_target_us": target_us,
        "dedup_window_us": 2 * target_us,
        "late_worth": late_worth,
        "ordered_by_key": ordered,
    }
    classes = [
        {**common, "name": "read", "idempotency": "safe", "worth": 1},
        {**common, "name": "quick", "idempotency": "safe", "worth": 5, "latency_target_us": target_us // 2},
        {**common, "name": "pay", "idempotency": "unsafe", "worth": 10},
    ]
    for scope in ("all", "zone", "cell"):
        classes.append({**common, "name": scope, "idempotency": "keyed", "dedup_scope": scope, "worth": 3})
    return classes


PERMISSIVE = {"max_attempts": 5, "allow_hedging": True, "allow_cancel": True}
RULES = {
    "slow_start_from": 0.2,
    "slow_start_us": 5 * S,
    "overload_multiple": 3,
    "overload_window_us": 2 * S,
    "ask_within_us": 4 * S,
}
BASE: dict[str, Any] = {
    "classes": service_classes(500 * MS),
    "zone": "east",
    "tick_us": 5 * MS,
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
    service_us: int = 60 * MS
    every_us: int = 6 * MS
    reports: bool = False
    tenants: tuple[str | None, ...] = (None,)
    hung: int = 0  # servers that hang from the start
    failing: int = 0  # servers that fail every request from the start


SCENARIOS = (
    Scenario("permissive", BASE),
    Scenario("cautious", {**BASE, "limits": {"max_attempts": 2}}, service_us=150 * MS),
    Scenario("no-hedging", {**BASE, "limits": {**PERMISSIVE, "allow_hedging": False}}),
    Scenario("pushed", {**BASE, "discovery": "pushed", "rules": {**RULES, "late_shedding": True}}),
    Scenario("overloaded", BASE, servers=4, service_us=200 * MS, every_us=5 * MS),
    Scenario("sparse", {**BASE, "group_size": 50}, servers=8, every_us=350 * MS, service_us=250 * MS),
    Scenario("sparse-reports", BASE, servers=8, every_us=350 * MS, service_us=300 * MS, reports=True),
    Scenario("probes", {**BASE, **PROBES}, every_us=40 * MS),
    Scenario(
        "probes-priced",
        {**BASE, **PROBES, "prices": {"cross_zone": 0.1, "probe": 0.002, "handshake": 0.08}},
        servers=30,
        every_us=20 * MS,
        service_us=120 * MS,
    ),
    Scenario(
        "ordered",
        {
            **BASE,
            "classes": service_classes(500 * MS, ordered=True),
            "rules": {**RULES, "key_rest_us": 80 * MS},
        },
    ),
    Scenario(
        "ordered-probes",
        {
            **BASE,
            **PROBES,
            "classes": service_classes(500 * MS, ordered=True, late_worth=0.5),
            "rules": {**RULES, "key_rest_us": 80 * MS},
        },
        every_us=30 * MS,
    ),
    Scenario(
        "tenants",
        {
            **BASE,
            "tenants": [{"name": "a", "share": 1}, {"name": "b", "share": 3}],
            "over_share_worth": 0.2,
        },
        servers=5,
        service_us=120 * MS,
        reports=True,
        tenants=("a", "b", "c", None),
    ),
    Scenario("reports", {**BASE, "prices": {"cross_zone": 0.03}}, servers=6, reports=True),
    Scenario(
        "connections",
        {**BASE, "group_size": 100, "prices": {"connection": 0.08, "handshake": 0.08, "cross_zone": 0.03}},
        every_us=15 * MS,
    ),
    Scenario(
        "seconds",
        {
            **BASE,
            "classes": service_classes(4 * S, late_worth=0.3),
            "limits": {**PERMISSIVE, "retry_after": True, "max_retry_after_us": 200 * MS},
        },
        service_us=600 * MS,
        every_us=30 * MS,
    ),
    Scenario("100-ms", {**BASE, "classes": service_classes(100 * MS)}, service_us=15 * MS, every_us=4 * MS),
    Scenario("200-servers", {**BASE, "group_size": 20}, servers=200, every_us=3 * MS),
    Scenario(
        "silent-servers",
        {**BASE, "limits": {**PERMISSIVE, "allow_hedging": False}},
        every_us=12 * MS,
        service_us=40 * MS,
        hung=2,
    ),
    Scenario("failing-servers", BASE, every_us=12 * MS, service_us=40 * MS, failing=3),
    Scenario("3-servers", BASE, servers=3, every_us=20 * MS),
)
