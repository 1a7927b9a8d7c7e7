"""A real sidecar stays within its memory limit, files included, in each state of its connections."""

from __future__ import annotations

import pytest

from scale.memory.run import MemoryOutcome, run_scenario
from scale.memory.scenario import (
    DataKind,
    Kill,
    MemoryScenario,
    PeerGroup,
    PeerState,
    RegistryFault,
    draw_scenario,
)

LEAST_MEMORY_MB = 32  # the least limit that the platform sets
DURATION_S = 2.5
CI_SEEDS = range(1, 9)
AT_ONCE = 1 << 20
STATES: dict[str, tuple[PeerState, tuple[DataKind, int, int]]] = {
    "body-incomplete": (PeerState.BODY_INCOMPLETE, (DataKind.SHORT_FIELDS, 6, 60_000)),
    "incomplete-behind": (PeerState.INCOMPLETE_BEHIND, (DataKind.SHORT_FIELDS, 6, 60_000)),
    "complete-behind": (PeerState.COMPLETE_BEHIND, (DataKind.SHORT_FIELDS, 6, 100)),
    "in-flight": (PeerState.IN_FLIGHT, (DataKind.SHORT_FIELDS, 6, 60_000)),
    "words-in-flight": (PeerState.IN_FLIGHT, (DataKind.FIELDS_OF_WORDS, 50_000, 100)),
    "response-incomplete": (PeerState.RESPONSE_INCOMPLETE, (DataKind.SHORT_FIELDS, 6, 60_000)),
    "response-unread": (PeerState.RESPONSE_UNREAD, (DataKind.BODY, 6, 100)),
}


def group(state: PeerState, kind: DataKind, field_bytes: int, body_bytes: int, peers: int) -> PeerGroup:
    return PeerGroup(
        state=state,
        kind=kind,
        peers=peers,
        field_bytes=field_bytes,
        body_bytes=body_bytes,
        write_bytes=AT_ONCE,
        pause_s=0.0,
        return_s=0.0,
    )


def scenario(descriptors: int, *groups: PeerGroup, **changes: object) -> MemoryScenario:
    given = MemoryScenario(
        seed=0,
        memory_mb=LEAST_MEMORY_MB,
        descriptors=descriptors,
        duration_s=DURATION_S,
        groups=groups,
        registry=RegistryFault.NONE,
        kills=(),
    )
    return given.model_copy(update=changes)


def check(outcome: MemoryOutcome) -> None:
    assert outcome.failed_checks() == [], outcome.describe()


# Guards against a process over its memory limit while hundreds of peers send, read or wait (issue 39).
@pytest.mark.parametrize(("descriptors", "peers"), [(256, 130), (1024, 480)])
@pytest.mark.parametrize(("state", "data"), STATES.values(), ids=list(STATES))
def test_memory_stays_below_the_least_limit(
    state: PeerState, data: tuple[DataKind, int, int], descriptors: int, peers: int
) -> None:
    check(run_scenario(scenario(descriptors, group(state, *data, peers))))


# Guards against the same while the registry sends megabytes that never become a list.
def test_memory_stays_below_the_least_limit_while_the_registry_sends_too_much() -> None:
    silent = group(PeerState.SILENT, DataKind.BODY, 6, 100, 90)
    check(run_scenario(scenario(256, silent, registry=RegistryFault.LARGE_INCOMPLETE)))


# Guards against the same in a process that starts under a load which has killed another one.
def test_memory_stays_below_the_least_limit_after_a_kill_under_load() -> None:
    half = [
        group(PeerState.BODY_INCOMPLETE, DataKind.SHORT_FIELDS, 6, 60_000, 240),
        group(PeerState.INCOMPLETE_BEHIND, DataKind.SHORT_FIELDS, 6, 60_000, 240),
    ]
    check(run_scenario(scenario(1024, *half, kills=(Kill(at_s=1.0, restart_s=0.3),))))


# Guards against the same in combinations that nobody thought of.
@pytest.mark.parametrize("seed", CI_SEEDS)
def test_memory_stays_below_the_limit_with_random_peers(seed: int) -> None:
    check(run_scenario(draw_scenario(seed, DURATION_S)))


def test_same_seed_draws_the_same_load() -> None:
    assert draw_scenario(7, 1.0) == draw_scenario(7, 1.0)
    assert draw_scenario(7, 1.0) != draw_scenario(8, 1.0)
