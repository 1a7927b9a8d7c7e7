"""Slow start of servers whose start times come from a clock that was stepped.

Guards against slow start that is skipped or prolonged: after a step of the clock, the registry may list a
process that has just started with a start time an hour ago, or an hour ahead.
"""

from __future__ import annotations

import pytest
from balancer_harness import MILLISECOND_US, SECOND_US, START_US, BalancerHarness, server_names, settings

from sidecar.balancer.events import Endpoint, RegistryUpdated, RegistryUpdateKind, ServerState
from sidecar.balancer.policy.start_times import RETAINED_REMOVED_SERVERS
from sidecar.balancer.state import Server

HOUR_US = 3_600 * SECOND_US
SLOW_START_US = 10 * SECOND_US
WATCH_WAIT_US = 4 * SECOND_US  # how long a long poll of the registry waits
RESTARTED_SERVER = "10.0.0.5:80"
CLOCK_STEPS_US = [HOUR_US, -HOUR_US, 30 * SECOND_US, -30 * SECOND_US]


def restarted_endpoint(started_at: int | None, state: ServerState = ServerState.READY) -> Endpoint:
    return Endpoint(RESTARTED_SERVER, zone="east", state=state, started_at=started_at)


def apply_delta(harness: BalancerHarness, endpoint: Endpoint) -> None:
    harness.update_servers([endpoint], RegistryUpdateKind.DELTA)


def apply_empty_delta(harness: BalancerHarness) -> None:
    harness.handle(RegistryUpdated(RegistryUpdateKind.DELTA))


def restarted_server(harness: BalancerHarness) -> Server:
    return harness.balancer._context.registry.servers[RESTARTED_SERVER]


def capacity_share(harness: BalancerHarness) -> float:
    harness.advance(0)
    apply_empty_delta(harness)  # advances the balancer's clock
    return harness.balancer._slow_start.capacity_share(restarted_server(harness))


def serving_harness(endpoints: list[str] | None = None) -> BalancerHarness:
    """A balancer under load, whose last poll of the registry returned no changes."""
    harness = BalancerHarness()
    harness.update_servers(server_names(4) if endpoints is None else endpoints)
    harness.serve_requests(200, interval_us=10 * MILLISECOND_US)
    apply_empty_delta(harness)
    harness.advance(1 * SECOND_US)
    return harness


def attempts_after_start(started_at_offset_us: int, known_before: bool) -> list[tuple[int, str]]:
    """All attempts from the start of a server to well after its slow start."""
    harness = serving_harness(server_names(5) if known_before else None)
    apply_delta(harness, restarted_endpoint(harness.now + started_at_offset_us))
    began_at = harness.now
    harness.serve_requests(1_500, interval_us=10 * MILLISECOND_US)
    return [(at, send.server) for at, send in harness.attempts() if at >= began_at]


@pytest.mark.parametrize("known_before", [True, False])
@pytest.mark.parametrize("step_us", CLOCK_STEPS_US)
def test_clock_step_does_not_affect_a_server_that_has_just_started(step_us: int, known_before: bool) -> None:
    expected = attempts_after_start(0, known_before)
    assert {server for _, server in expected} == set(server_names(5))
    assert attempts_after_start(step_us, known_before) == expected


@pytest.mark.parametrize("step_us", CLOCK_STEPS_US)
def test_slow_start_after_a_clock_step_ends_on_time_and_does_not_restart(step_us: int) -> None:
    harness = serving_harness()
    started_at = harness.now + step_us
    apply_delta(harness, restarted_endpoint(started_at))
    for elapsed_us in range(0, SLOW_START_US, 2 * SECOND_US):
        assert capacity_share(harness) == pytest.approx(0.2 + 0.8 * elapsed_us / SLOW_START_US)
        apply_delta(harness, restarted_endpoint(started_at))  # the same process is listed again
        harness.update_servers([*server_names(4), restarted_endpoint(started_at)])
        harness.advance(2 * SECOND_US)
    assert capacity_share(harness) == 1.0
    apply_delta(harness, restarted_endpoint(started_at))
    assert capacity_share(harness) == 1.0


@pytest.mark.parametrize("step_us", [HOUR_US, -HOUR_US])
def test_a_server_listed_again_resumes_its_slow_start(step_us: int) -> None:
    harness = serving_harness()
    started_at = harness.now + step_us
    apply_delta(harness, restarted_endpoint(started_at))
    harness.advance(1 * SECOND_US)
    apply_delta(harness, restarted_endpoint(started_at, ServerState.DRAINING))
    harness.advance(1 * SECOND_US)
    harness.update_servers(server_names(4))  # a complete endpoint list omits draining servers
    assert RESTARTED_SERVER not in harness.balancer._context.registry.servers
    harness.advance(3 * SECOND_US)
    apply_delta(harness, restarted_endpoint(started_at))
    assert capacity_share(harness) == pytest.approx(0.2 + 0.8 * 0.5)


@pytest.mark.parametrize("step_us", [HOUR_US, -HOUR_US])
def test_a_server_that_started_during_a_registry_outage_begins_slow_start_when_first_listed(
    step_us: int,
) -> None:
    harness = serving_harness()
    for _ in range(20):
        harness.advance(1 * SECOND_US)
        harness.handle(RegistryUpdated(RegistryUpdateKind.FAILED))
    harness.update_servers([*server_names(4), restarted_endpoint(harness.now - 1 * SECOND_US + step_us)])
    assert capacity_share(harness) == pytest.approx(0.2)


@pytest.mark.parametrize("step_us", [HOUR_US, -HOUR_US])
def test_each_of_several_restarts_begins_slow_start_when_first_listed(step_us: int) -> None:
    harness = serving_harness()
    for _ in range(3):
        apply_delta(harness, restarted_endpoint(harness.now + step_us))
        assert capacity_share(harness) == pytest.approx(0.2)
        harness.advance(6 * SECOND_US)
        assert capacity_share(harness) == pytest.approx(0.2 + 0.8 * 0.6)


def test_a_readmitted_server_whose_clock_was_stepped_does_not_repeat_slow_start() -> None:
    harness = serving_harness()
    apply_delta(harness, restarted_endpoint(harness.now - HOUR_US))
    harness.advance(SLOW_START_US)
    outliers, server = harness.balancer._outliers, restarted_server(harness)
    outliers.eject(server, "test")
    outliers.readmit(server)
    assert capacity_share(harness) == 1.0


def test_start_times_of_the_first_endpoint_lists_are_taken_as_they_are() -> None:
    """Without an earlier update, a balancer can't distinguish an old process from a stepped clock."""
    harness = BalancerHarness()
    harness.update_servers(
        [*server_names(4), restarted_endpoint(START_US - HOUR_US)], RegistryUpdateKind.CACHED
    )
    assert current_capacity_share(harness) == 1.0
    harness.advance(1 * SECOND_US)
    # The server restarted while this process was down.
    harness.update_servers([*server_names(4), restarted_endpoint(START_US - 60 * SECOND_US)])
    assert current_capacity_share(harness) == 1.0


def current_capacity_share(harness: BalancerHarness) -> float:
    return harness.balancer._slow_start.capacity_share(restarted_server(harness))


@pytest.mark.parametrize("kind", [RegistryUpdateKind.CACHED, RegistryUpdateKind.SNAPSHOT])
def test_a_start_time_in_the_future_in_the_first_endpoint_list_costs_one_slow_start_only(
    kind: RegistryUpdateKind,
) -> None:
    """The local clock was an hour behind when this process started."""
    harness = BalancerHarness()
    harness.update_servers([*server_names(4), restarted_endpoint(START_US + HOUR_US)], kind)
    assert current_capacity_share(harness) == pytest.approx(0.2)
    harness.advance(5 * SECOND_US)
    harness.update_servers([*server_names(4), restarted_endpoint(START_US + HOUR_US)])
    assert current_capacity_share(harness) == pytest.approx(0.6)
    harness.advance(5 * SECOND_US)
    assert capacity_share(harness) == 1.0


def test_with_a_correct_clock_a_late_endpoint_list_changes_no_start_time() -> None:
    harness = serving_harness()
    for delay_us in (0, 3 * SECOND_US, SLOW_START_US - 1 * SECOND_US, SLOW_START_US):
        started_at = harness.now - delay_us
        apply_delta(harness, restarted_endpoint(started_at))
        assert restarted_server(harness).slow_start_since == started_at
        harness.advance(WATCH_WAIT_US)


def test_with_a_correct_clock_a_registry_outage_of_any_length_changes_no_start_time() -> None:
    harness = serving_harness()
    began_at = harness.now
    harness.advance(600 * SECOND_US)
    harness.handle(RegistryUpdated(RegistryUpdateKind.FAILED))
    harness.update_servers([*server_names(4), restarted_endpoint(began_at + 5 * SECOND_US)])
    assert capacity_share(harness) == 1.0


def test_a_long_running_server_that_is_listed_again_has_no_slow_start() -> None:
    """A partition removed it from the endpoint list; its process is the same as before."""
    harness = serving_harness()
    apply_delta(harness, restarted_endpoint(harness.now))
    harness.advance(30 * SECOND_US)
    started_at = restarted_server(harness).started_at
    apply_delta(harness, restarted_endpoint(started_at, ServerState.REMOVED))
    assert RESTARTED_SERVER not in harness.balancer._context.registry.servers
    harness.advance(30 * SECOND_US)
    apply_delta(harness, restarted_endpoint(started_at))
    assert capacity_share(harness) == 1.0


def test_a_server_without_a_start_time_has_no_slow_start_whenever_it_joins() -> None:
    harness = serving_harness()
    apply_delta(harness, restarted_endpoint(None))
    assert capacity_share(harness) == 1.0


def test_with_a_correct_clock_an_outage_behind_a_pushing_agent_changes_no_start_time() -> None:
    harness = BalancerHarness(settings(discovery="pushed"))
    harness.update_servers(server_names(4))
    harness.advance(1 * SECOND_US)
    began_at = harness.now
    for _ in range(10):
        harness.advance(WATCH_WAIT_US)
        apply_empty_delta(harness)
    harness.update_servers([*server_names(4), restarted_endpoint(began_at + 5 * SECOND_US)])
    assert capacity_share(harness) == 1.0


def test_an_old_process_first_listed_much_too_late_costs_one_slow_start_only() -> None:
    """It is indistinguishable from a new process whose clock was stepped."""
    harness = serving_harness()
    apply_delta(harness, restarted_endpoint(harness.now - 3 * SLOW_START_US))
    assert capacity_share(harness) == pytest.approx(0.2)
    harness.advance(SLOW_START_US)
    assert capacity_share(harness) == 1.0


def test_start_times_of_removed_servers_take_bounded_memory() -> None:
    harness = serving_harness()
    for number in range(3_000):
        replaced = Endpoint(f"10.1.0.{number}:80", zone="east", started_at=harness.now)
        apply_delta(harness, replaced)
        apply_delta(harness, Endpoint(replaced.name, state=ServerState.REMOVED))
    apply_delta(harness, restarted_endpoint(harness.now))
    assert len(harness.balancer._start_times._start_times) <= 2 * RETAINED_REMOVED_SERVERS + 5
