"""When the sidecar reports that it is ready."""

from __future__ import annotations

import pytest
from proxy_harness import run_scenario, running_proxy, wait_until

from sidecar.proxy import loop_lag


def test_readiness_waits_for_an_event_loop_on_time(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against late responses to the first clients: a platform may throttle a program for the CPU time
    # that its start took.
    async def scenario() -> None:
        monkeypatch.setattr(loop_lag, "SETTLED_AFTER_S", 600.0)
        monkeypatch.setattr(loop_lag, "_CHECK_INTERVAL_S", 0.01)
        monkeypatch.setattr(loop_lag, "_LAG_WARNING_S", -1.0)  # every check finds the event loop late
        async with running_proxy(settled=False) as proxy:
            await wait_until(lambda: caplog.text.count("late") > 2)
            assert (await proxy.send_request(path="/health/ready"))[0] == 503
            monkeypatch.setattr(loop_lag, "_LAG_WARNING_S", 600.0)
            await wait_until(lambda: proxy.sidecar.is_ready())
            assert (await proxy.send_request(path="/health/ready"))[0] == 200

    run_scenario(scenario())


def test_sidecar_is_ready_in_time_on_a_machine_that_always_lags(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(loop_lag, "SETTLED_AFTER_S", 0.05)
        monkeypatch.setattr(loop_lag, "_LAG_WARNING_S", -1.0)
        async with running_proxy(settled=False) as proxy:
            await wait_until(lambda: proxy.sidecar.is_ready())

    run_scenario(scenario())
