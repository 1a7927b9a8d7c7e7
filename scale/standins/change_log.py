"""The endpoints in a registry, a bounded log of their changes, and the responses built from both."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass, replace
from enum import StrEnum

MAXIMUM_LOG_ENTRIES = 8_192  # a caller that needs older changes gets a snapshot


class EndpointStatus(StrEnum):
    """The status of an endpoint; LEFT occurs only in deltas."""

    ACTIVE = "active"
    LEAVING = "leaving"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An entry of the registry, with the fields and units of the registry protocol."""

    name: str
    address: str  # host:port
    zone: str = ""
    type: str = ""
    group: int = 0
    status: EndpointStatus = EndpointStatus.ACTIVE
    weight: float = 1.0
    since_ms: int = 0  # Unix time of the server's start; 0: unknown, treated as long ago


@dataclass(frozen=True, slots=True)
class Change:
    """An endpoint's state after a change, and the version that made the change."""

    version: int
    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class SerializedResponse:
    """The JSON body of a response."""

    body: bytes
    is_snapshot: bool


class ChangeLog:
    """The endpoints and a bounded log of their changes; each commit creates one version.

    Responses are cached until the next commit, because all callers with the same version get the same one.

    Attributes:
        on_commit: Called after each commit.
    """

    def __init__(self, endpoints: Iterable[Endpoint] = (), max_length: int = MAXIMUM_LOG_ENTRIES) -> None:
        self._endpoints = {each.name: each for each in endpoints}
        self._changes: deque[Change] = deque()
        self._max_length = max_length
        self._version = 1
        self._oldest_delta_base = 1  # the oldest version from which the log can produce a delta
        self._snapshot: SerializedResponse | None = None
        # Deltas to the current version, keyed by the version from which they start.
        self._deltas: dict[int, SerializedResponse] = {}
        self.on_commit: Callable[[], None] = lambda: None

    @property
    def version(self) -> int:
        """The current version."""
        return self._version

    def endpoints(self) -> list[Endpoint]:
        """Return all endpoints that have not left, in the order in which they were first added."""
        return list(self._endpoints.values())

    def endpoint(self, name: str) -> Endpoint:
        """Return an endpoint by its name.

        Raises:
            KeyError: No endpoint has this name.
        """
        return self._endpoints[name]

    def commit(self, changed: Iterable[Endpoint]) -> int:
        """Commit entries as one new version.

        Returns:
            The new version; without entries nothing is committed, and this is the current version.
        """
        entries = list(changed)
        if not entries:
            return self._version
        self._version += 1
        for endpoint in entries:
            if endpoint.status is EndpointStatus.LEFT:
                self._endpoints.pop(endpoint.name, None)
            else:
                self._endpoints[endpoint.name] = endpoint
            self._changes.append(Change(self._version, endpoint))
        self._trim()
        self._snapshot = None
        self._deltas.clear()
        self.on_commit()
        return self._version

    def add(self, endpoint: Endpoint) -> int:
        """Add or replace an endpoint; return the new version."""
        return self.commit([endpoint])

    def drain(self, names: Iterable[str]) -> int:
        """Mark endpoints as leaving; return the new version.

        Raises:
            KeyError: A name is unknown.
        """
        return self.commit([replace(self._endpoints[name], status=EndpointStatus.LEAVING) for name in names])

    def remove(self, names: Iterable[str]) -> int:
        """Remove endpoints; return the new version.

        Raises:
            KeyError: A name is unknown.
        """
        return self.commit([replace(self._endpoints[name], status=EndpointStatus.LEFT) for name in names])

    def restart(self, names: Iterable[str], since_ms: int) -> int:
        """Mark endpoints as restarted at a Unix time in milliseconds; return the new version.

        Raises:
            KeyError: A name is unknown.
        """
        restarted = (
            replace(self._endpoints[name], status=EndpointStatus.ACTIVE, since_ms=since_ms) for name in names
        )
        return self.commit(restarted)

    def drop_changes(self) -> None:
        """Drop the log, as a restarting registry does: the next response to each caller is a snapshot.

        The version is increased, so that callers that were up to date get a snapshot, too.
        """
        self._version += 1
        self._changes.clear()
        self._oldest_delta_base = self._version
        self._snapshot = None
        self._deltas.clear()

    def snapshot(self) -> SerializedResponse:
        """Return all endpoints, encoded as in the registry protocol."""
        if self._snapshot is None:
            self._snapshot = _serialize(self._version, True, self._endpoints.values())
        return self._snapshot

    def delta_since(self, version: int) -> SerializedResponse:
        """Return the changes after a version, or a snapshot if the log no longer holds all of them."""
        if not self._oldest_delta_base <= version <= self._version:
            return self.snapshot()
        delta = self._deltas.get(version)
        if delta is None:
            delta = self._deltas[version] = _serialize(self._version, False, self._changed_after(version))
        return delta

    def _changed_after(self, version: int) -> Iterable[Endpoint]:
        latest: dict[str, Endpoint] = {}
        for change in reversed(self._changes):
            if change.version <= version:
                break
            latest.setdefault(change.endpoint.name, change.endpoint)
        return latest.values()

    def _trim(self) -> None:
        """Drop the oldest versions until the log is short enough.

        A version is dropped with all its entries: a delta with only some of them would be incomplete.
        """
        while len(self._changes) > self._max_length:
            dropped = self._changes[0].version
            while self._changes and self._changes[0].version == dropped:
                self._changes.popleft()
            self._oldest_delta_base = dropped


def _serialize(version: int, is_snapshot: bool, endpoints: Iterable[Endpoint]) -> SerializedResponse:
    payload = {"index": version, "snapshot": is_snapshot, "endpoints": [asdict(each) for each in endpoints]}
    return SerializedResponse(json.dumps(payload, separators=(",", ":")).encode(), is_snapshot)
