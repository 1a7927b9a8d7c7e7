"""What a whole fleet of balancers sends to a cold server, each knowing only its own part."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Iterator

import pytest
from helpers import MS, START, S, names

from topazbank import Balancer, Settings
from topazbank.interface import (
    AttemptEnded,
    Endpoint,
    Event,
    Outcome,
    RegistryUpdated,
    RegistryUpdateKind,
    RequestArrived,
    Send,
    SetTimer,
    TimerFired,
)

RULES: dict[str, float] = {
    "slow_start_from": 0.3,
    "slow_start_us": 8_900 * MS,
    "overload_multiple": 4.0,
    "overload_window_us": 1 * S,
}
SERVERS = 14
LOAD_PER_S = 168.0  # on the fleet
CAPACITY_PER_S = LOAD_PER_S / SERVERS / 0.6  # of a warm server
WARM_UP_US = 6 * S
SPAN_US = 16 * S
SERVED_US = 5 * MS


def settings(fleet: int) -> Settings:
    look = {
        "name": "look",
        "deadline_us": 2 * S,
        "latency_target_us": 250 * MS,
        "worth": 1,
        "idempotency": "safe",
    }
    limits = {"max_attempts": 6, "allow_hedging": True, "allow_cancel": True}
    return Settings.from_mapping(
        {"classes": [look], "zone": "east", "group_size": fleet, "limits": limits, "rules": RULES}
    )


def arrivals(fleet: int, traffic: str, chance: random.Random) -> Iterator[tuple[int, int]]:
    """When requests come, and at which balancer."""
    parts = [min(chance.paretovariate(1.3), 5.0) if traffic == "uneven" else 1.0 for _ in range(fleet)]
    if traffic == "at once":  # all balancers have saved up what they may
        every_us = int(fleet / LOAD_PER_S * S)
        for at in range(0, SPAN_US, every_us):
            yield from ((at + index, index) for index in range(fleet))
        return
    for index, part in enumerate(parts):
        moment = 0.0
        while (moment := moment + chance.expovariate(LOAD_PER_S * part / sum(parts) / S)) < SPAN_US:
            yield int(moment), index


def sent_to(cold: list[str], fleet: int, traffic: str, remain: list[str]) -> dict[str, list[int]]:
    """When the fleet sent to each server that started cold, from its start on; `remain` are listed then."""
    balancers = [Balancer(settings(fleet), seed) for seed in range(fleet)]
    order = itertools.count()
    events: list[tuple[int, int, int, Event]] = []

    def add(at: int, index: int, event: Event) -> None:
        heapq.heappush(events, (at, next(order), index, event))

    started = START + WARM_UP_US
    for index in range(fleet):
        listed = [Endpoint(each, zone="east") for each in names(SERVERS)]
        add(START, index, RegistryUpdated(RegistryUpdateKind.SNAPSHOT, listed, 1))
        news = [Endpoint(each, zone="east", started_at=started if each in cold else None) for each in remain]
        add(started, index, RegistryUpdated(RegistryUpdateKind.SNAPSHOT, news, 2))
    for ident, (at, index) in enumerate(arrivals(fleet, traffic, random.Random(fleet))):
        add(START + at, index, RequestArrived(ident, "look", None, None, 2 * S))
    sent: dict[str, list[int]] = {each: [] for each in cold}
    while events:
        now, _, index, event = heapq.heappop(events)
        for action in balancers[index].handle(now, event):
            if isinstance(action, Send):
                ended = AttemptEnded(
                    action.request, 0, action.server, Outcome.DELIVERED, SERVED_US, answered=True
                )
                add(now + SERVED_US, index, ended)
                if action.server in sent and now >= started:
                    sent[action.server].append(now - started)
            elif isinstance(action, SetTimer):
                add(now + action.in_us, index, TimerFired(action.token))
    return sent


def most_of_bound(sent: list[int]) -> float:
    """The largest part of N + 2 x root of N + 2 that came in any span; N: what is allowed at its start."""
    worst = 0.0
    for first, since in enumerate(sent):
        share = RULES["slow_start_from"] + (1.0 - RULES["slow_start_from"]) * since / RULES["slow_start_us"]
        budget = RULES["overload_multiple"] * share * CAPACITY_PER_S * RULES["overload_window_us"] / S
        count = sum(at < since + RULES["overload_window_us"] for at in sent[first:])
        worst = max(worst, count / (budget + 2.0 * math.sqrt(budget) + 2.0))
    return worst


@pytest.mark.parametrize("which", ["one cold", "all cold", "one cold and no other left"])
@pytest.mark.parametrize("traffic", ["even", "uneven", "at once"])
@pytest.mark.parametrize("fleet", [20, 30, 200])
def test_the_fleet_s_sum_stays_within_a_cold_server_s_budget(fleet: int, traffic: str, which: str) -> None:
    every = names(SERVERS)
    cold = every if which == "all cold" else every[:1]
    remain = every[:1] if "no other" in which else every
    sent = sent_to(cold, fleet, traffic, remain)
    while_cold = [[at for at in each if at < RULES["slow_start_us"]] for each in sent.values()]
    assert max(map(most_of_bound, while_cold)) < 1.0
    if traffic != "at once" and fleet <= 30:  # of 200, hardly one has had a whole request's room by the end
        assert all(while_cold)  # it is not left alone either
