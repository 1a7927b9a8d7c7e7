"""Slow start where the clock that start times are written by has been stepped.

A process that has just started may then be listed as started an hour ago, or in an hour.
"""

from __future__ import annotations

import pytest
from helpers import MS, START, S, Stage, names, settings

from sidecar.balancer.events import Endpoint, RegistryUpdated, RegistryUpdateKind, ServerState
from sidecar.balancer.policy.start_times import REMEMBERED_REMOVED_SERVERS
from sidecar.balancer.state import Server

HOUR = 3_600 * S
SLOW_START = 10 * S
WATCH = 4 * S  # how long a watch of the registry waits
COLD = "10.0.0.5:80"
STEPS = [HOUR, -HOUR, 30 * S, -30 * S]


def listed(started_at: int | None, state: ServerState = ServerState.READY) -> Endpoint:
    return Endpoint(COLD, zone="east", state=state, started_at=started_at)


def change(stage: Stage, endpoint: Endpoint) -> None:
    stage.servers([endpoint], RegistryUpdateKind.DELTA)


def nothing_new(stage: Stage) -> None:
    stage.play(RegistryUpdated(RegistryUpdateKind.DELTA))


def record(stage: Stage) -> Server:
    return stage.balancer._context.registry.servers[COLD]


def capacity_share(stage: Stage) -> float:
    stage.wait(0)
    nothing_new(stage)  # moves the balancer's clock on
    return stage.balancer._slow_start.capacity_share(record(stage))


def in_service(listed_servers: list[str] | None = None) -> Stage:
    """A balancer with traffic, whose watch has just ended with nothing new."""
    stage = Stage()
    stage.servers(names(4) if listed_servers is None else listed_servers)
    stage.serve(200, every_us=10 * MS)
    nothing_new(stage)
    stage.wait(1 * S)
    return stage


def targets(started_at_offset_us: int, known_before: bool) -> list[tuple[int, str]]:
    """All that is sent from the start of a server to well after its slow start."""
    stage = in_service(names(5) if known_before else None)
    change(stage, listed(stage.now + started_at_offset_us))
    began = stage.now
    stage.serve(1_500, every_us=10 * MS)
    return [(at, send.server) for at, send in stage.sends() if at >= began]


@pytest.mark.parametrize("known_before", [True, False])
@pytest.mark.parametrize("step_us", STEPS)
def test_a_stepped_clock_changes_nothing_for_a_server_that_has_just_started(
    step_us: int, known_before: bool
) -> None:
    sound = targets(0, known_before)
    assert {server for _, server in sound} == set(names(5))
    assert targets(step_us, known_before) == sound


@pytest.mark.parametrize("step_us", STEPS)
def test_slow_start_after_a_step_ends_in_time_and_does_not_begin_anew(step_us: int) -> None:
    stage = in_service()
    started_at = stage.now + step_us
    change(stage, listed(started_at))
    for passed_us in range(0, SLOW_START, 2 * S):
        assert capacity_share(stage) == pytest.approx(0.2 + 0.8 * passed_us / SLOW_START)
        change(stage, listed(started_at))  # the same process, told again
        stage.servers([*names(4), listed(started_at)])
        stage.wait(2 * S)
    assert capacity_share(stage) == 1.0
    change(stage, listed(started_at))
    assert capacity_share(stage) == 1.0


@pytest.mark.parametrize("step_us", [HOUR, -HOUR])
def test_a_server_listed_again_goes_on_with_the_slow_start_that_it_began(step_us: int) -> None:
    stage = in_service()
    started_at = stage.now + step_us
    change(stage, listed(started_at))
    stage.wait(1 * S)
    change(stage, listed(started_at, ServerState.DRAINING))
    stage.wait(1 * S)
    stage.servers(names(4))  # a complete list leaves out servers that drain
    assert COLD not in stage.balancer._context.registry.servers
    stage.wait(3 * S)
    change(stage, listed(started_at))
    assert capacity_share(stage) == pytest.approx(0.2 + 0.8 * 0.5)


@pytest.mark.parametrize("step_us", [HOUR, -HOUR])
def test_a_server_that_started_during_an_outage_of_the_registry_is_cold_as_it_is_heard_of(
    step_us: int,
) -> None:
    stage = in_service()
    for _ in range(20):
        stage.wait(1 * S)
        stage.play(RegistryUpdated(RegistryUpdateKind.FAILED))
    stage.servers([*names(4), listed(stage.now - 1 * S + step_us)])
    assert capacity_share(stage) == pytest.approx(0.2)


@pytest.mark.parametrize("step_us", [HOUR, -HOUR])
def test_each_of_several_restarts_is_cold_from_when_it_is_heard_of(step_us: int) -> None:
    stage = in_service()
    for _ in range(3):
        change(stage, listed(stage.now + step_us))
        assert capacity_share(stage) == pytest.approx(0.2)
        stage.wait(6 * S)
        assert capacity_share(stage) == pytest.approx(0.2 + 0.8 * 0.6)


def test_a_readmitted_server_whose_clock_was_stepped_does_not_start_slowly_once_more() -> None:
    stage = in_service()
    change(stage, listed(stage.now - HOUR))
    stage.wait(SLOW_START)
    outliers, server = stage.balancer._outliers, record(stage)
    outliers.eject(server, "test")
    outliers.readmit(server)
    assert capacity_share(stage) == 1.0


def test_start_times_of_the_first_lists_are_taken_as_they_are() -> None:
    """A balancer that has heard nothing before can't tell an old process from a stepped clock."""
    stage = Stage()
    stage.servers([*names(4), listed(START - HOUR)], RegistryUpdateKind.CACHED)
    assert capacity_share_without_contact(stage) == 1.0
    stage.wait(1 * S)
    stage.servers([*names(4), listed(START - 60 * S)])  # it restarted while this process was down
    assert capacity_share_without_contact(stage) == 1.0


def capacity_share_without_contact(stage: Stage) -> float:
    return stage.balancer._slow_start.capacity_share(record(stage))


@pytest.mark.parametrize("kind", [RegistryUpdateKind.CACHED, RegistryUpdateKind.SNAPSHOT])
def test_a_first_list_from_the_future_is_cold_for_one_slow_start_only(kind: RegistryUpdateKind) -> None:
    """This machine's own clock was an hour behind as this process began."""
    stage = Stage()
    stage.servers([*names(4), listed(START + HOUR)], kind)
    assert capacity_share_without_contact(stage) == pytest.approx(0.2)
    stage.wait(5 * S)
    stage.servers([*names(4), listed(START + HOUR)])
    assert capacity_share_without_contact(stage) == pytest.approx(0.6)
    stage.wait(5 * S)
    assert capacity_share(stage) == 1.0


def test_with_a_sound_clock_a_list_that_is_late_changes_no_start_time() -> None:
    stage = in_service()
    for late_us in (0, 3 * S, SLOW_START - 1 * S, SLOW_START):
        started_at = stage.now - late_us
        change(stage, listed(started_at))
        assert record(stage).slow_start_since == started_at
        stage.wait(WATCH)


def test_with_a_sound_clock_an_outage_of_any_length_changes_no_start_time() -> None:
    stage = in_service()
    began = stage.now
    stage.wait(600 * S)
    stage.play(RegistryUpdated(RegistryUpdateKind.FAILED))
    stage.servers([*names(4), listed(began + 5 * S)])
    assert capacity_share(stage) == 1.0


def test_a_server_that_has_run_for_long_and_is_listed_again_is_warm() -> None:
    """A partition took it from the list; its process is the one known before."""
    stage = in_service()
    change(stage, listed(stage.now))
    stage.wait(30 * S)
    started_at = record(stage).started_at
    change(stage, listed(started_at, ServerState.REMOVED))
    assert COLD not in stage.balancer._context.registry.servers
    stage.wait(30 * S)
    change(stage, listed(started_at))
    assert capacity_share(stage) == 1.0


def test_a_server_that_started_long_ago_by_the_list_is_warm_whenever_it_joins() -> None:
    stage = in_service()
    change(stage, listed(None))
    assert capacity_share(stage) == 1.0


def test_with_a_sound_clock_an_outage_behind_an_agent_that_pushes_lists_changes_no_start_time() -> None:
    stage = Stage(settings(discovery="pushed"))
    stage.servers(names(4))
    stage.wait(1 * S)
    began = stage.now
    for _ in range(10):
        stage.wait(WATCH)
        nothing_new(stage)
    stage.servers([*names(4), listed(began + 5 * S)])
    assert capacity_share(stage) == 1.0


def test_an_old_process_first_heard_of_much_too_late_costs_one_slow_start_and_no_more() -> None:
    """It can't be told from a new one whose clock was stepped."""
    stage = in_service()
    change(stage, listed(stage.now - 3 * SLOW_START))
    assert capacity_share(stage) == pytest.approx(0.2)
    stage.wait(SLOW_START)
    assert capacity_share(stage) == 1.0


def test_start_times_of_servers_that_are_gone_take_bounded_memory() -> None:
    stage = in_service()
    for number in range(3_000):
        replaced = Endpoint(f"10.1.0.{number}:80", zone="east", started_at=stage.now)
        change(stage, replaced)
        change(stage, Endpoint(replaced.server, state=ServerState.REMOVED))
    change(stage, listed(stage.now))
    assert len(stage.balancer._start_times._start_times) <= 2 * REMEMBERED_REMOVED_SERVERS + 5
