"""The registry's messages: its endpoint list, either complete or only the changes since a version."""

from __future__ import annotations

import logging
import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from sidecar.balancer.events import Endpoint, ServerState
from sidecar.proxy.addresses import Address, parse_address

log = logging.getLogger(__name__)

ENTRIES_KEY = "endpoints"
_STATES_BY_STATUS = {
    "active": ServerState.READY,
    "leaving": ServerState.DRAINING,
    "left": ServerState.REMOVED,
}
_UNKNOWN_STATE = ServerState.DRAINING  # of any other status: such a server gets no new requests


class InvalidEndpointError(ValueError):
    """An entry of the endpoint list is invalid."""

    def __init__(self, key: str, expected: str) -> None:
        super().__init__(f"{key}: {expected} is needed")


class InvalidRegistryResponseError(ValueError):
    """A response of the registry is not an endpoint list."""

    def __init__(self, key: str, expected: str) -> None:
        super().__init__(f"{key}: {expected} is needed")


@dataclass(slots=True)
class ResolvedEndpoint:
    """An entry of the endpoint list.

    Attributes:
        endpoint: The entry as the balancer gets it.
        address: Address that the server listens on, as seen from this sidecar; None if the server gets no new
            requests and its entry has no valid address.
    """

    endpoint: Endpoint
    address: Address | None


@dataclass(slots=True)
class RegistryResponse:
    """An endpoint list.

    Attributes:
        version: Version of the list.
        is_complete: Whether it holds all endpoints; otherwise it holds those that have changed.
        endpoints: Its entries.
    """

    version: int
    is_complete: bool
    endpoints: list[ResolvedEndpoint]


def parse_registry_response(value: object) -> RegistryResponse:
    """Parse an endpoint list; an invalid entry is logged and skipped.

    Args:
        value: The decoded JSON.

    Raises:
        InvalidRegistryResponseError: It is not an endpoint list.
    """
    entries = value.get(ENTRIES_KEY) if isinstance(value, Mapping) else None
    if not isinstance(entries, list):
        return build_registry_response(value, None)
    parsed = (parse_entry(entry) for entry in entries)
    return build_registry_response(value, [each for each in parsed if each is not None])


def build_registry_response(value: object, endpoints: list[ResolvedEndpoint] | None) -> RegistryResponse:
    """Return an endpoint list.

    Args:
        value: The decoded JSON; its entries need not be part of it.
        endpoints: The parsed entries; None: there is no list of them.

    Raises:
        InvalidRegistryResponseError: It is not an endpoint list.
    """
    if not isinstance(value, Mapping):
        raise InvalidRegistryResponseError("response", "an object")
    if endpoints is None:
        raise InvalidRegistryResponseError(ENTRIES_KEY, "a list")
    version = value.get("index")
    if type(version) is not int:
        raise InvalidRegistryResponseError("index", "an integer")
    return RegistryResponse(version, value.get("snapshot") is True, endpoints)


def parse_entry(entry: object) -> ResolvedEndpoint | None:
    """Parse an entry of the endpoint list; log an invalid one and return None."""
    try:
        return _parse_endpoint(entry)
    except InvalidEndpointError as error:
        log.warning("registry: invalid entry skipped: %s: %.120r", error, entry)
        return None


def _parse_endpoint(entry: object) -> ResolvedEndpoint:
    if not isinstance(entry, Mapping):
        raise InvalidEndpointError("entry", "an object")
    state = _parse_state(entry)
    endpoint = Endpoint(
        name=_parse_name(entry),
        zone=_parse_text(entry, "zone"),
        kind=_parse_text(entry, "type"),
        cell=_parse_integer(entry, "group"),
        state=state,
        capacity_weight=_parse_weight(entry),
        started_at=_parse_started_at(entry),
    )
    return ResolvedEndpoint(endpoint, _parse_address(entry, state))


def _parse_name(entry: Mapping[str, Any]) -> str:
    name = _parse_text(entry, "name")
    if not name:
        raise InvalidEndpointError("name", "a non-empty string")
    return name


def _parse_text(entry: Mapping[str, Any], key: str) -> str:
    value = entry.get(key, "")
    if not isinstance(value, str):
        raise InvalidEndpointError(key, "a string")
    return value


def _parse_integer(entry: Mapping[str, Any], key: str) -> int:
    value = entry.get(key, 0)
    if type(value) is not int:
        raise InvalidEndpointError(key, "an integer")
    return value


def _parse_weight(entry: Mapping[str, Any]) -> float:
    value = entry.get("weight", 1.0)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidEndpointError("weight", "a number")
    try:
        weight = float(value)
    except OverflowError:
        weight = math.inf
    if not math.isfinite(weight):
        raise InvalidEndpointError("weight", "a finite number")
    return weight


def _parse_started_at(entry: Mapping[str, Any]) -> int | None:
    """Return when the server's process started, in microseconds of Unix time; None: long ago."""
    since_ms = _parse_integer(entry, "since_ms")
    if since_ms < 0:
        raise InvalidEndpointError("since_ms", "a non-negative number of milliseconds")
    return since_ms * 1000 or None


def _parse_state(entry: Mapping[str, Any]) -> ServerState:
    if "status" not in entry or isinstance(entry["status"], list | dict):
        raise InvalidEndpointError("status", "a string")
    return _STATES_BY_STATUS.get(entry["status"], _UNKNOWN_STATE)


def _parse_address(entry: Mapping[str, Any], state: ServerState) -> Address | None:
    """Return the address that the server listens on.

    A server that gets no new requests needs no address: if its entry were skipped for the lack of one, the
    server would stay in use.
    """
    try:
        return parse_address(str(entry.get("address")))
    except ValueError as error:
        if state is ServerState.READY:
            raise InvalidEndpointError("address", "host:port") from error
        return None
