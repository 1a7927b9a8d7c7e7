"""The demonstration, and the sample configuration of its sidecar."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import psutil
import pytest

from scale.demo.outcome import DRAINED_SERVER, DemoOutcome, Phase, ServerOutcome
from scale.demo.report import format_outcome
from scale.demo.run import SERVERS
from scale.errors import SidecarError
from scale.http_client import NO_RESPONSE, CallResult
from scale.ports import ReservedAddress
from scale.processes import ProcessGroup
from scale.sidecar_process import (
    SAMPLE_CONFIG,
    sample_config,
    start_sidecar,
    wait_until_ready,
)
from scale.standins.server import ServedBody
from sidecar.configuration import read_config

DEMO_COMMAND = [sys.executable, "-m", "scale", "demo", "--duration", "4", "--rate", "30"]
CONFIGURATION_PAGE = SAMPLE_CONFIG.parents[2] / "docs" / "CONFIGURATION.md"
TIMEOUT_S = 60.0


def test_demo_shows_calls_served_through_a_drain_and_a_kill() -> None:
    ended = subprocess.run(DEMO_COMMAND, capture_output=True, text=True, check=False, timeout=TIMEOUT_S)
    assert ended.returncode == 0, ended.stdout + ended.stderr
    assert "all checks passed" in ended.stdout
    assert "shed 0, failed 0" in ended.stdout


def test_interrupted_demo_stops_its_sidecar() -> None:
    demo = subprocess.Popen(DEMO_COMMAND, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    try:
        assert demo.stdout is not None
        first_line = demo.stdout.readline()
        sidecar = psutil.Process(int(first_line.split("process ")[1].split(",")[0]))
        demo.send_signal(signal.SIGINT)
        assert demo.wait(TIMEOUT_S) != 0
        assert not sidecar.is_running()
        demo.stdout.close()
    finally:
        demo.kill()
        demo.wait()


def result(server: str, at: float, status: int = 200) -> CallResult:
    return CallResult(at, at, at + 0.002, status, ServedBody(server, 1, at, 1000.0).encode())


def outcome(**changes: Any) -> DemoOutcome:
    """Return the outcome of a run without faults: three phases of one second each."""
    calls = [
        *(result(f"s-{number}", 0.5) for number in range(SERVERS)),
        *(result(name, 1.5) for name in ("s-0", "s-2", "s-3")),
        *(result(name, 2.5) for name in ("s-0", "s-3")),
    ]
    phases = [Phase("all up", 1.0), Phase("drained", 2.0), Phase("killed", 3.0)]
    servers = [ServerOutcome(f"s-{number}", 3, 0, 1.0) for number in range(SERVERS)]
    arguments: dict[str, Any] = {
        "results": calls,
        "phases": phases,
        "servers": servers,
        "drain_notified_at": 1.0,
    }
    return DemoOutcome(**(arguments | {"exit_code": 0, "log": ["drained"]} | changes))


def test_outcome_without_fault_is_shown_as_a_table() -> None:
    good = outcome()
    assert good.failed_checks() == []
    assert [dict(each) for each in good.served_by_phase()][2] == {"s-0": 1, "s-3": 1}
    assert "calls: 9, served 9, shed 0, failed 0" in format_outcome(good)


@pytest.mark.parametrize(
    ("changes", "fault"),
    [
        ({"results": [*outcome().results, result("s-0", 2.5, 503)]}, "1 calls were shed"),
        ({"results": [*outcome().results, result("s-0", 2.5, NO_RESPONSE)]}, "1 calls failed"),
        ({"results": outcome().results[:-1]}, "that stayed up got no calls"),
        ({"results": []}, "no calls were made"),
        ({"drain_notified_at": -1.0}, f"s-{DRAINED_SERVER} got calls later than 1 s"),
        ({"exit_code": 1}, "exit code after SIGTERM was 1"),
        ({"exit_code": None}, "exit code after SIGTERM was None"),
    ],
)
def test_failed_check_is_reported(changes: dict[str, Any], fault: str) -> None:
    assert any(fault in each for each in outcome(**changes).failed_checks())


def test_program_starts_from_the_sample_configuration(tmp_path: Path) -> None:
    # No registry listens at the address of discovery.
    with ReservedAddress() as listen, ReservedAddress() as discovery, ProcessGroup() as group:
        sidecar = start_sidecar(group, sample_config(listen.address, discovery.address), tmp_path)
        wait_until_ready(sidecar, listen.address, tmp_path)
    assert sidecar.popen.returncode == 0


def test_sidecar_that_does_not_start_is_reported_with_its_last_line(tmp_path: Path) -> None:
    with ReservedAddress() as listen, ProcessGroup() as group:
        address = listen.address
        sidecar = start_sidecar(group, sample_config(address, address) | {"seed": 7}, tmp_path)
        with pytest.raises(SidecarError, match="seed: a string of hex digits is needed, not 7"):
            wait_until_ready(sidecar, address, tmp_path)


def test_sample_configuration_is_valid() -> None:
    config = read_config({"RELAY_CONFIG": str(SAMPLE_CONFIG)})
    settings = config.settings
    assert [each.name for each in settings.classes] == ["read", "update", "send"]
    assert settings.limits.max_attempts == 4
    assert settings.limits.allow_hedging
    assert settings.rules.drain_grace_us == 1_000_000


def keys_of(value: object) -> set[str]:
    """Return the keys of all mappings within a value."""
    if isinstance(value, dict):
        return set(value).union(*(keys_of(each) for each in value.values()))
    if isinstance(value, list):
        return set().union(*(keys_of(each) for each in value))
    return set()


def test_every_key_of_the_sample_configuration_is_documented() -> None:
    page = CONFIGURATION_PAGE.read_text(encoding="utf-8")
    keys = keys_of(json.loads(SAMPLE_CONFIG.read_text(encoding="utf-8")))
    assert len(keys) > 50
    assert [key for key in sorted(keys) if f"`{key}`" not in page] == []
