"""Slow start of servers whose start times come from a clock that was stepped.

The registry may then list a process that has just started as started an hour ago, or in an hour.
"""

from __future__ import annotations

import pytest
from helpers import MS, START, S, Stage, names, settings

from sidecar.balancer.events import Endpoint, RegistryUpdated, RegistryUpdateKind, ServerState
from sidecar.balancer.policy.start_times import REMEMBERED_REMOVED_SERVERS
from sidecar.balancer.state import Server

HOUR_US = 3_600 * S
SLOW_START_US = 10 * S
WATCH_WAIT_US = 4 * S  # how long a long poll of the registry waits
RESTARTED_SERVER = "10.0.0.5:80"
CLOCK_STEPS_US = [HOUR_US, -HOUR_US, 30 * S, -30 * S]


def restarted_endpoint(started_at: int | None, state: ServerState = ServerState.READY) -> Endpoint:
    return Endpoint(RESTARTED_SERVER, zone="east", state=state, started_at=started_at)


def apply_delta(stage: Stage, endpoint: Endpoint) -> None:
    stage.servers([endpoint], RegistryUpdateKind.DELTA)


def apply_empty_delta(stage: Stage) -> None:
    stage.play(RegistryUpdated(RegistryUpdateKind.DELTA))


def restarted_server(stage: Stage) -> Server:
    return stage.balancer._context.registry.servers[RESTARTED_SERVER]


def capacity_share(stage: Stage) -> float:
    stage.wait(0)
    apply_empty_delta(stage)  # advances the balancer's clock
    return stage.balancer._slow_start.capacity_share(restarted_server(stage))


def serving_stage(endpoints: list[str] | None = None) -> Stage:
    """A balancer under load, whose last poll of the registry returned no changes."""
    stage = Stage()
    stage.servers(names(4) if endpoints is None else endpoints)
    stage.serve(200, every_us=10 * MS)
    apply_empty_delta(stage)
    stage.wait(1 * S)
    return stage


def attempts_after_start(started_at_offset_us: int, known_before: bool) -> list[tuple[int, str]]:
    """All attempts from the start of a server to well after its slow start."""
    stage = serving_stage(names(5) if known_before else None)
    apply_delta(stage, restarted_endpoint(stage.now + started_at_offset_us))
    began_at = stage.now
    stage.serve(1_500, every_us=10 * MS)
    return [(at, send.server) for at, send in stage.sends() if at >= began_at]


@pytest.mark.parametrize("known_before", [True, False])
@pytest.mark.parametrize("step_us", CLOCK_STEPS_US)
def test_clock_step_does_not_affect_a_server_that_has_just_started(step_us: int, known_before: bool) -> None:
    expected = attempts_after_start(0, known_before)
    assert {server for _, server in expected} == set(names(5))
    assert attempts_after_start(step_us, known_before) == expected


@pytest.mark.parametrize("step_us", CLOCK_STEPS_US)
def test_slow_start_after_a_clock_step_ends_on_time_and_does_not_restart(step_us: int) -> None:
    stage = serving_stage()
    started_at = stage.now + step_us
    apply_delta(stage, restarted_endpoint(started_at))
    for passed_us in range(0, SLOW_START_US, 2 * S):
        assert capacity_share(stage) == pytest.approx(0.2 + 0.8 * passed_us / SLOW_START_US)
        apply_delta(stage, restarted_endpoint(started_at))  # the same process, notified again
        stage.servers([*names(4), restarted_endpoint(started_at)])
        stage.wait(2 * S)
    assert capacity_share(stage) == 1.0
    apply_delta(stage, restarted_endpoint(started_at))
    assert capacity_share(stage) == 1.0


@pytest.mark.parametrize("step_us", [HOUR_US, -HOUR_US])
def test_a_server_listed_again_resumes_its_slow_start(step_us: int) -> None:
    stage = serving_stage()
    started_at = stage.now + step_us
    apply_delta(stage, restarted_endpoint(started_at))
    stage.wait(1 * S)
    apply_delta(stage, restarted_endpoint(started_at, ServerState.DRAINING))
    stage.wait(1 * S)
    stage.servers(names(4))  # a complete endpoint list omits draining servers
    assert RESTARTED_SERVER not in stage.balancer._context.registry.servers
    stage.wait(3 * S)
    apply_delta(stage, restarted_endpoint(started_at))
    assert capacity_share(stage) == pytest.approx(0.2 + 0.8 * 0.5)


@pytest.mark.parametrize("step_us", [HOUR_US, -HOUR_US])
def test_a_server_that_started_during_a_registry_outage_begins_slow_start_when_first_listed(
    step_us: int,
) -> None:
    stage = serving_stage()
    for _ in range(20):
        stage.wait(1 * S)
        stage.play(RegistryUpdated(RegistryUpdateKind.FAILED))
    stage.servers([*names(4), restarted_endpoint(stage.now - 1 * S + step_us)])
    assert capacity_share(stage) == pytest.approx(0.2)


@pytest.mark.parametrize("step_us", [HOUR_US, -HOUR_US])
def test_each_of_several_restarts_begins_slow_start_when_first_listed(step_us: int) -> None:
    stage = serving_stage()
    for _ in range(3):
        apply_delta(stage, restarted_endpoint(stage.now + step_us))
        assert capacity_share(stage) == pytest.approx(0.2)
        stage.wait(6 * S)
        assert capacity_share(stage) == pytest.approx(0.2 + 0.8 * 0.6)


def test_a_readmitted_server_whose_clock_was_stepped_does_not_repeat_slow_start() -> None:
    stage = serving_stage()
    apply_delta(stage, restarted_endpoint(stage.now - HOUR_US))
    stage.wait(SLOW_START_US)
    outliers, server = stage.balancer._outliers, restarted_server(stage)
    outliers.eject(server, "test")
    outliers.readmit(server)
    assert capacity_share(stage) == 1.0


def test_start_times_of_the_first_endpoint_lists_are_taken_as_they_are() -> None:
    """A balancer without an earlier update can't tell an old process from a stepped clock."""
    stage = Stage()
    stage.servers([*names(4), restarted_endpoint(START - HOUR_US)], RegistryUpdateKind.CACHED)
    assert current_capacity_share(stage) == 1.0
    stage.wait(1 * S)
    stage.servers([*names(4), restarted_endpoint(START - 60 * S)])  # it restarted while this process was down
    assert current_capacity_share(stage) == 1.0


def current_capacity_share(stage: Stage) -> float:
    return stage.balancer._slow_start.capacity_share(restarted_server(stage))


@pytest.mark.parametrize("kind", [RegistryUpdateKind.CACHED, RegistryUpdateKind.SNAPSHOT])
def test_a_start_time_in_the_future_in_the_first_endpoint_list_costs_one_slow_start_only(
    kind: RegistryUpdateKind,
) -> None:
    """The local clock was an hour behind when this process started."""
    stage = Stage()
    stage.servers([*names(4), restarted_endpoint(START + HOUR_US)], kind)
    assert current_capacity_share(stage) == pytest.approx(0.2)
    stage.wait(5 * S)
    stage.servers([*names(4), restarted_endpoint(START + HOUR_US)])
    assert current_capacity_share(stage) == pytest.approx(0.6)
    stage.wait(5 * S)
    assert capacity_share(stage) == 1.0


def test_with_a_correct_clock_a_late_endpoint_list_changes_no_start_time() -> None:
    stage = serving_stage()
    for delay_us in (0, 3 * S, SLOW_START_US - 1 * S, SLOW_START_US):
        started_at = stage.now - delay_us
        apply_delta(stage, restarted_endpoint(started_at))
        assert restarted_server(stage).slow_start_since == started_at
        stage.wait(WATCH_WAIT_US)


def test_with_a_correct_clock_a_registry_outage_of_any_length_changes_no_start_time() -> None:
    stage = serving_stage()
    began_at = stage.now
    stage.wait(600 * S)
    stage.play(RegistryUpdated(RegistryUpdateKind.FAILED))
    stage.servers([*names(4), restarted_endpoint(began_at + 5 * S)])
    assert capacity_share(stage) == 1.0


def test_a_long_running_server_that_is_listed_again_has_no_slow_start() -> None:
    """A partition removed it from the endpoint list; its process is the same as before."""
    stage = serving_stage()
    apply_delta(stage, restarted_endpoint(stage.now))
    stage.wait(30 * S)
    started_at = restarted_server(stage).started_at
    apply_delta(stage, restarted_endpoint(started_at, ServerState.REMOVED))
    assert RESTARTED_SERVER not in stage.balancer._context.registry.servers
    stage.wait(30 * S)
    apply_delta(stage, restarted_endpoint(started_at))
    assert capacity_share(stage) == 1.0


def test_a_server_without_a_start_time_has_no_slow_start_whenever_it_joins() -> None:
    stage = serving_stage()
    apply_delta(stage, restarted_endpoint(None))
    assert capacity_share(stage) == 1.0


def test_with_a_correct_clock_an_outage_behind_a_pushing_agent_changes_no_start_time() -> None:
    stage = Stage(settings(discovery="pushed"))
    stage.servers(names(4))
    stage.wait(1 * S)
    began_at = stage.now
    for _ in range(10):
        stage.wait(WATCH_WAIT_US)
        apply_empty_delta(stage)
    stage.servers([*names(4), restarted_endpoint(began_at + 5 * S)])
    assert capacity_share(stage) == 1.0


def test_an_old_process_first_listed_much_too_late_costs_one_slow_start_only() -> None:
    """It is indistinguishable from a new process whose clock was stepped."""
    stage = serving_stage()
    apply_delta(stage, restarted_endpoint(stage.now - 3 * SLOW_START_US))
    assert capacity_share(stage) == pytest.approx(0.2)
    stage.wait(SLOW_START_US)
    assert capacity_share(stage) == 1.0


def test_start_times_of_removed_servers_take_bounded_memory() -> None:
    stage = serving_stage()
    for number in range(3_000):
        replaced = Endpoint(f"10.1.0.{number}:80", zone="east", started_at=stage.now)
        apply_delta(stage, replaced)
        apply_delta(stage, Endpoint(replaced.server, state=ServerState.REMOVED))
    apply_delta(stage, restarted_endpoint(stage.now))
    assert len(stage.balancer._start_times._start_times) <= 2 * REMEMBERED_REMOVED_SERVERS + 5
