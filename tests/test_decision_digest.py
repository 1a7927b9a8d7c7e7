"""Decision digests are determined by the seed."""

from __future__ import annotations

import pytest
from decision_digest import Recorder
from decision_scenarios import SCENARIOS, Scenario

EVENTS = 300


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_the_digest_is_determined_by_the_seed(scenario: Scenario) -> None:
    first = Recorder(scenario, seed=1).run(EVENTS)
    assert Recorder(scenario, seed=1).run(EVENTS) == first
    assert Recorder(scenario, seed=2).run(EVENTS) != first
