"""Reads the configuration of a sidecar from a JSON file and environment variables.

RELAY_CONFIG is the path of the file.  RELAY_LISTEN overrides the `listen` of the file.  RELAY_DISCOVERY is
used only if the file has no `discovery`.
"""

from __future__ import annotations

import json
import math
from collections.abc import Mapping

from sidecar.config import DEFAULT_MEMORY_MB, Config
from sidecar.proxy.addresses import Address, parse_address
from sidecar.proxy.registry_messages import RegistryResponse, parse_registry_response
from sidecar.settings import ConfigurationError, InvalidSettingError
from sidecar.settings.wire_names import settings_from_wire

READ_ERRORS = (OSError, ConfigurationError)
"""The exceptions of `read_config`: the file can't be read, or its contents are invalid."""

_FILE_VARIABLE = "RELAY_CONFIG"
_LISTEN_VARIABLE = "RELAY_LISTEN"
_DISCOVERY_VARIABLE = "RELAY_DISCOVERY"
_DEFAULT_SEED = "0"
_DEFAULT_SOCKETS = 1024


class NoConfigurationFileError(ConfigurationError):
    """The environment doesn't name a configuration file."""

    def __init__(self) -> None:
        super().__init__(f"{_FILE_VARIABLE} names no file")


class ConfigurationSyntaxError(ConfigurationError):
    """The configuration file isn't JSON."""

    def __init__(self, reason: Exception) -> None:
        """Create the error from the exception of the JSON parser."""
        super().__init__(f"not JSON: {reason}")


class InvalidEndpointListError(ConfigurationError):
    """The cached endpoint list isn't in the format of the registry's responses."""

    def __init__(self, key: str, reason: Exception) -> None:
        """Create the error from the exception that parsing the list at `key` raised."""
        super().__init__(f"{key}: {reason}")


def read_config(environ: Mapping[str, str], *, with_cached_endpoints: bool = True) -> Config:
    """Read the configuration that the environment names.

    Args:
        environ: Environment variables.
        with_cached_endpoints: Whether to read the entries of the cached endpoint list (`known`).  Only the
            start needs them; on a reload, parsing thousands of entries would delay the requests being served.

    Returns:
        The configuration.

    Raises:
        OSError: The file can't be read.
        ConfigurationError: The contents of the file are invalid; the message names the key.
    """
    document = _read_json_object(environ.get(_FILE_VARIABLE))
    return Config(
        listen=_listen_address(document, environ),
        discovery=_discovery_address(document, environ),
        seed=_seed(document.get("seed", _DEFAULT_SEED)),
        sockets=_sockets(document.get("limits")),
        settings=settings_from_wire(document.get("settings")),
        cached_endpoints=_cached_endpoints(document.get("known"), with_cached_endpoints),
        memory_mb=_memory_mb(document.get("limits")),
        version=_version(document.get("version")),
    )


def _read_json_object(path: str | None) -> dict[str, object]:
    if not path:
        raise NoConfigurationFileError
    with open(path, encoding="utf-8") as file:
        try:
            document = json.load(file)
        except (ValueError, RecursionError) as error:
            raise ConfigurationSyntaxError(error) from error
    if not isinstance(document, dict):
        raise InvalidSettingError("configuration", "an object", document)
    return document


def _listen_address(document: Mapping[str, object], environ: Mapping[str, str]) -> Address:
    from_environment = environ.get(_LISTEN_VARIABLE)
    if from_environment:
        return _address(from_environment, _LISTEN_VARIABLE)
    return _address(document.get("listen"), "listen")


def _discovery_address(document: Mapping[str, object], environ: Mapping[str, str]) -> Address:
    from_environment = environ.get(_DISCOVERY_VARIABLE)
    if from_environment and not document.get("discovery"):
        return _address(from_environment, _DISCOVERY_VARIABLE)
    return _address(document.get("discovery"), "discovery")


def _address(value: object, key: str) -> Address:
    expected = "an address host:port"
    if not isinstance(value, str):
        raise InvalidSettingError(key, expected, value)
    try:
        return parse_address(value)
    except ValueError:
        raise InvalidSettingError(key, expected, value) from None


def _seed(value: object) -> int:
    expected = "a string of hex digits"
    if not isinstance(value, str):
        raise InvalidSettingError("seed", expected, value)
    try:
        return int(value, 16)
    except ValueError:
        raise InvalidSettingError("seed", expected, value) from None


def _cached_endpoints(value: object, with_entries: bool) -> RegistryResponse:
    if value is None:
        return RegistryResponse(0, True, [])
    if not with_entries and isinstance(value, dict) and isinstance(value.get("endpoints"), list):
        value = value | {"endpoints": []}
    try:
        return parse_registry_response(value)
    except ValueError as error:
        raise InvalidEndpointListError("known", error) from error


def _version(value: object) -> int | None:
    if value is None:
        return None
    return _integer(value, "version", low=0)


def _sockets(limits: object) -> int:
    value = limits.get("sockets", _DEFAULT_SOCKETS) if isinstance(limits, dict) else _DEFAULT_SOCKETS
    return _integer(value, "limits.sockets", low=1)


def _memory_mb(limits: object) -> float:
    value = limits.get("memory_mb") if isinstance(limits, dict) else None
    if value is None:
        return DEFAULT_MEMORY_MB
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < math.inf:
        raise InvalidSettingError("limits.memory_mb", "a positive number", value)
    return float(value)


def _integer(value: object, key: str, low: int) -> int:
    """Return a whole number; unlike in the settings, neither 2.0 nor null is accepted."""
    if type(value) is not int or value < low:
        raise InvalidSettingError(key, f"a whole number from {low}", value)
    return value
