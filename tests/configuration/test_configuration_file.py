"""Error messages about the configuration file."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from sidecar.configuration import read_config
from sidecar.settings import ConfigurationError

SETTINGS = {"lanes": [{"name": "look", "giveUpUs": 2_000_000}]}
VALID_CONFIG: dict[str, object] = {
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "settings": SETTINGS,
}


def error_message(path: Path, content: str, **environ: str) -> str:
    path.write_text(content, encoding="utf-8")
    with pytest.raises(ConfigurationError) as error:
        read_config({"RELAY_CONFIG": str(path), **environ})
    return str(error.value)


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"listen": None}, "listen: an address host:port is needed"),
        ({"listen": "here"}, "listen: an address host:port is needed, not 'here'"),
        ({"discovery": 5}, "discovery: an address host:port is needed, not 5"),
        ({"seed": "xyz"}, "seed: a string of hex digits is needed, not 'xyz'"),
        ({"seed": 7}, "seed: a string of hex digits is needed, not 7"),
        ({"version": 2.0}, "version: a whole number from 0 is needed, not 2.0"),
        ({"limits": {"sockets": 0}}, "limits.sockets: a whole number from 1 is needed, not 0"),
        ({"limits": {"memory_mb": 0}}, "limits.memory_mb: a positive number is needed, not 0"),
        ({"limits": {"memory_mb": "all"}}, "limits.memory_mb: a positive number is needed, not 'all'"),
        ({"known": {"index": 1}}, "known: endpoints: a list is needed"),
        ({"settings": None}, "settings: a mapping is needed"),
        (
            {"settings": SETTINGS | {"guarantees": {"turnGapUs": "long"}}},
            "settings.guarantees.turnGapUs: a whole number from 0 is needed, not 'long'",
        ),
    ],
)
def test_an_error_names_the_key_of_the_file(
    changes: dict[str, object], expected: str, tmp_path: Path
) -> None:
    assert error_message(tmp_path / "config.json", json.dumps(VALID_CONFIG | changes)) == expected


def test_an_error_about_an_address_of_the_environment_names_the_variable(tmp_path: Path) -> None:
    path, without_discovery = tmp_path / "config.json", json.dumps(VALID_CONFIG | {"discovery": None})
    assert error_message(path, json.dumps(VALID_CONFIG), RELAY_LISTEN="here").startswith("RELAY_LISTEN: ")
    assert error_message(path, without_discovery, RELAY_DISCOVERY="here").startswith("RELAY_DISCOVERY: ")


@pytest.mark.parametrize("content", ["", "{", "[" * 100_000, "\x00"])
def test_a_file_that_is_not_json_is_a_typed_error(content: str, tmp_path: Path) -> None:
    assert error_message(tmp_path / "config.json", content).startswith("not JSON: ")


def test_a_file_that_holds_no_object_is_a_typed_error(tmp_path: Path) -> None:
    assert error_message(tmp_path / "config.json", "[]") == "configuration: an object is needed, not []"


def test_a_missing_file_variable_is_named() -> None:
    with pytest.raises(ConfigurationError, match=r"^RELAY_CONFIG names no file$"):
        read_config({})
