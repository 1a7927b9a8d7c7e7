"""Steps of the machine's wall clock do not change measured spans of time."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

import pytest
from proxy_harness import never_respond, respond_ok, run_scenario, running_proxy, wait_until

from sidecar.logs import RateLimitFilter
from sidecar.proxy.clock import Clock

HOUR_S = 3600.0
STEPS_S = [-HOUR_S, -3.0, 3.0, HOUR_S]
StepFunction = Callable[[float], None]


@pytest.fixture
def step_wall_clock(monkeypatch: pytest.MonkeyPatch) -> StepFunction:
    """Return a function that steps the wall clock; the monotonic clock is not affected."""
    real_s, real_ns = time.time, time.time_ns

    def step_by(span_s: float) -> None:
        monkeypatch.setattr(time, "time", lambda: real_s() + span_s)
        monkeypatch.setattr(time, "time_ns", lambda: real_ns() + int(span_s * 1e9))

    return step_by


@pytest.mark.parametrize("span_s", STEPS_S)
def test_clock_runs_on_through_a_step(span_s: float, step_wall_clock: StepFunction) -> None:
    clock = Clock()
    began_us, before_us = time.monotonic_ns() // 1000, clock.now()
    step_wall_clock(span_s)
    after_us, ended_us = clock.now(), time.monotonic_ns() // 1000
    assert 0 <= after_us - before_us <= ended_us - began_us + 1
    assert clock.to_loop_time(after_us) == pytest.approx(time.monotonic(), abs=1.0)


@pytest.mark.parametrize("is_stepped_before_start", [True, False])
@pytest.mark.parametrize("span_s", STEPS_S)
def test_deadline_is_kept_through_a_step(
    span_s: float, is_stepped_before_start: bool, step_wall_clock: StepFunction
) -> None:
    async def scenario() -> None:
        if is_stepped_before_start:
            step_wall_clock(span_s)
        async with running_proxy(respond_ok) as proxy:
            assert (await proxy.send_request())[0] == 200
            proxy.servers[0].script = never_respond
            response_task = asyncio.create_task(proxy.send_request(kind="pay", body=b"x", budget="0.4"))
            await wait_until(lambda: len(proxy.server_requests()) == 2)
            if not is_stepped_before_start:
                step_wall_clock(span_s)
            assert (await response_task)[0] == 500
            assert float(proxy.server_requests()[1][1]["x-budget"]) <= 0.4

    run_scenario(scenario())


@pytest.mark.parametrize("span_s", STEPS_S)
def test_rate_limit_of_log_lines_holds_and_ends_in_time_after_a_step(span_s: float) -> None:
    rate_limit = RateLimitFilter(2)
    created_s = [7.0, 7.1, 7.2, 7.3 + span_s, 7.4 + span_s, 7.5 + span_s, 8.4 + span_s]
    is_passed = [rate_limit.filter(logging.makeLogRecord({"created": at})) for at in created_s]
    assert is_passed == [True, True, False, True, True, False, True]
