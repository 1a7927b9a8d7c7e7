"""Reloads: which configurations are applied, and which are rejected."""

from __future__ import annotations

import json
import logging
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import pytest
from reload_support import OTHER_SETTINGS, make_settings, reader_of

from sidecar.config import Config
from sidecar.configuration import read_config
from sidecar.proxy.registry_messages import RegistryResponse
from sidecar.reload import Applied, Rejected, Reloader, ReloadResult, Unchanged
from sidecar.settings import ConfigurationError

WIRE_CLASS = {"name": "look", "giveUpUs": 2_000_000}


@dataclass
class RecordingApply:
    """Stands in for `Sidecar.reconfigure`: records the configurations, and fails for some versions."""

    failing_versions: set[int | None] = field(default_factory=set)
    calls: list[tuple[Config, Config]] = field(default_factory=list)

    def __call__(self, old: Config, new: Config) -> None:
        self.calls.append((old, new))
        if new.version in self.failing_versions:
            raise RuntimeError("a defect")


INITIAL = Config(
    ("127.0.0.1", 1), ("127.0.0.1", 2), 7, 256, make_settings(), RegistryResponse(0, True, []), 4
)


def test_a_newer_version_takes_effect_and_logs_what_changed(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    apply = RecordingApply()
    reloader = Reloader(INITIAL, apply)
    new = replace(
        INITIAL, version=5, settings=OTHER_SETTINGS, discovery=("127.0.0.1", 3), seed=8, sockets=512
    )
    result = reloader.reload(reader_of(new))
    assert isinstance(result, Applied)
    assert (result.version, result.changed) == (5, ("classes", "discovery address"))
    assert result.needs_restart == ("seed", "sockets")
    assert reloader.active is new
    assert apply.calls == [(INITIAL, new)]
    [line] = [each.getMessage() for each in caplog.records]
    assert line.startswith("configuration version 5 applied in ")
    assert line.endswith("changed: classes, discovery address; needs a restart: seed, sockets")


def test_fields_that_need_a_restart_are_compared_with_the_initial_configuration() -> None:
    reloader = Reloader(INITIAL, RecordingApply())
    reloader.reload(reader_of(replace(INITIAL, version=5, seed=8)))
    result = reloader.reload(reader_of(replace(INITIAL, version=6, seed=8)))
    assert isinstance(result, Applied)
    assert result.needs_restart == ("seed",)
    result = reloader.reload(reader_of(replace(INITIAL, version=7)))
    assert isinstance(result, Applied)
    assert result.needs_restart == ()


@pytest.mark.parametrize("version", [None, 4])
def test_the_same_contents_change_nothing(version: int | None) -> None:
    # A different list of known endpoints changes nothing either: the writer of the file may include the
    # endpoints that it knows at that time.
    initial, apply = replace(INITIAL, version=version), RecordingApply()
    same = replace(initial, cached_endpoints=RegistryResponse(9, True, []))
    assert Reloader(initial, apply).reload(reader_of(same)) == Unchanged(version)
    assert apply.calls == []


@pytest.mark.parametrize("version", [0, 3, 4])
def test_a_version_that_is_not_newer_is_rejected(version: int, caplog: pytest.LogCaptureFixture) -> None:
    apply = RecordingApply()
    reloader = Reloader(INITIAL, apply)
    result = reloader.reload(reader_of(replace(INITIAL, version=version, settings=OTHER_SETTINGS)))
    assert isinstance(result, Rejected)
    assert f"version {version}" in result.reason
    assert reloader.active is INITIAL
    assert apply.calls == []
    assert caplog.messages == [f"reload rejected; keeping the active configuration: {result.reason}"]


def test_a_file_without_a_version_is_always_applied_and_then_any_version() -> None:
    reloader = Reloader(INITIAL, RecordingApply())
    for version, new_settings in ((None, OTHER_SETTINGS), (None, INITIAL.settings), (1, OTHER_SETTINGS)):
        assert isinstance(
            reloader.reload(reader_of(replace(INITIAL, version=version, settings=new_settings))), Applied
        )


def test_a_rollback_needs_a_newer_version() -> None:
    apply = RecordingApply()
    reloader = Reloader(INITIAL, apply)
    reloader.reload(reader_of(replace(INITIAL, version=5, settings=OTHER_SETTINGS)))
    result = reloader.reload(reader_of(replace(INITIAL, version=6)))
    assert isinstance(result, Applied)
    assert result.changed == ("classes",)
    assert apply.calls[-1][1].settings == INITIAL.settings


def test_an_invalid_file_leaves_the_previous_configuration_in_force(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    path, apply = tmp_path / "config.json", RecordingApply()
    lanes = [WIRE_CLASS]
    valid_config: dict[str, Any] = {
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "settings": {"lanes": lanes},
    }

    def read() -> Config:
        return read_config({"RELAY_CONFIG": str(path)})

    def write_and_reload(content: object) -> ReloadResult:
        path.write_text(content if isinstance(content, str) else json.dumps(content), encoding="utf-8")
        return reloader.reload(read)

    path.write_text(json.dumps(valid_config | {"version": 1}), encoding="utf-8")
    reloader = Reloader(read(), apply)
    assert isinstance(write_and_reload(valid_config | {"version": 2, "discovery": "127.0.0.1:3"}), Applied)
    for bad in (
        "",
        json.dumps(valid_config)[:-9],
        "[" * 100_000,
        valid_config | {"version": 9, "settings": {"lanes": []}},
        valid_config | {"version": 9, "settings": {"lanes": lanes, "bounds": {"sendCap": "many"}}},
        *(valid_config | {"version": version} for version in ("9", 9.5, True, -1)),
    ):
        assert isinstance(write_and_reload(bad), Rejected)
    path.unlink()
    assert isinstance(reloader.reload(read), Rejected)
    assert len(caplog.messages) == 10
    assert len(apply.calls) == 1
    assert isinstance(write_and_reload(valid_config | {"version": 3, "discovery": "127.0.0.1:4"}), Applied)
    assert [each.discovery[1] for pair in apply.calls for each in pair] == [2, 3, 3, 4]


def test_an_exception_while_applying_restores_the_previous_configuration() -> None:
    apply = RecordingApply(failing_versions={5})
    reloader = Reloader(INITIAL, apply)
    new = replace(INITIAL, version=5, settings=OTHER_SETTINGS)
    assert isinstance(reloader.reload(reader_of(new)), Rejected)
    assert apply.calls == [(INITIAL, new), (new, INITIAL)]
    assert reloader.active is INITIAL
    assert isinstance(reloader.reload(reader_of(replace(new, version=6))), Applied)


def test_a_reload_reads_no_entry_of_the_last_known_endpoint_list(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    valid_config = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {"lanes": [WIRE_CLASS]}}
    entry = {"name": "s-0", "address": "127.0.0.1:3", "status": "active"}

    def count_entries(known: object, with_entries: bool) -> int:
        path.write_text(json.dumps(valid_config | {"known": known}), encoding="utf-8")
        config = read_config({"RELAY_CONFIG": str(path)}, with_cached_endpoints=with_entries)
        return len(config.cached_endpoints.endpoints)

    known = {"index": 1, "snapshot": True, "endpoints": [entry]}
    assert [count_entries(known, with_entries) for with_entries in (True, False)] == [1, 0]
    invalid_lists: list[object] = [
        [],
        {"index": 1},
        {"index": "1", "endpoints": []},
        {"index": 1, "endpoints": {}},
    ]
    for invalid in invalid_lists:
        with pytest.raises(ConfigurationError):
            count_entries(invalid, with_entries=False)
