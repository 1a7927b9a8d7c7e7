"""The registry's state: endpoints, versions and a bounded log of changes, serialized once each."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass, replace
from enum import StrEnum

MAXIMUM_CHANGES = 8_192  # changed entries kept: a delta that reaches back further becomes a snapshot


class EndpointStatus(StrEnum):
    """What the registry says of an endpoint; LEFT stands among changes alone."""

    ACTIVE = "active"
    LEAVING = "leaving"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An entry of the registry, in the fields and units of its protocol."""

    name: str
    address: str  # host:port
    zone: str = ""
    type: str = ""
    group: int = 0
    status: EndpointStatus = EndpointStatus.ACTIVE
    weight: float = 1.0
    since_ms: int = 0  # Unix time of its start; 0: long ago


@dataclass(frozen=True, slots=True)
class Change:
    """An entry as it became by a version."""

    version: int
    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class SerializedResponse:
    """What a call is told, serialized."""

    body: bytes
    is_snapshot: bool


class ChangeLog:
    """Endpoints by name, each change of them a version; a commit of many entries is one version."""

    def __init__(self, endpoints: Iterable[Endpoint] = (), length: int = MAXIMUM_CHANGES) -> None:
        self._endpoints = {each.name: each for each in endpoints}
        self._changes: deque[Change] = deque()
        self._length = length
        self._version = 1
        self._oldest_delta_base = 1  # the oldest version from which a delta can be told
        self._snapshot: SerializedResponse | None = None
        self._deltas: dict[
            int, SerializedResponse
        ] = {}  # by the version they start from, up to the present one
        self.on_commit: Callable[[], None] = lambda: None

    @property
    def version(self) -> int:
        """The present version."""
        return self._version

    def endpoints(self) -> list[Endpoint]:
        """All endpoints that have not left, the longest known first."""
        return list(self._endpoints.values())

    def endpoint(self, name: str) -> Endpoint:
        """The endpoint of this name; raise KeyError if there is none."""
        return self._endpoints[name]

    def commit(self, changed: Iterable[Endpoint]) -> int:
        """Put entries into force as one new version and return it; with no entries nothing changes."""
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
        """Add or replace an endpoint."""
        return self.commit([endpoint])

    def drain(self, names: Iterable[str]) -> int:
        """Mark endpoints as leaving; raise KeyError on an unknown name."""
        return self.commit([replace(self._endpoints[name], status=EndpointStatus.LEAVING) for name in names])

    def remove(self, names: Iterable[str]) -> int:
        """Let endpoints go; raise KeyError on an unknown name."""
        return self.commit([replace(self._endpoints[name], status=EndpointStatus.LEFT) for name in names])

    def restart(self, names: Iterable[str], since_ms: int) -> int:
        """Mark endpoints as started anew at a Unix time; raise KeyError on an unknown name."""
        restarted = (
            replace(self._endpoints[name], status=EndpointStatus.ACTIVE, since_ms=since_ms) for name in names
        )
        return self.commit(restarted)

    def drop_changes(self) -> None:
        """Lose the log, as a registry that was started anew: whoever asks next is told the whole list."""
        self._version += 1
        self._changes.clear()
        self._oldest_delta_base = self._version
        self._snapshot = None
        self._deltas.clear()

    def snapshot(self) -> SerializedResponse:
        """The whole list, in the protocol's form."""
        if self._snapshot is None:
            self._snapshot = _serialize(self._version, True, self._endpoints.values())
        return self._snapshot

    def delta_since(self, version: int) -> SerializedResponse:
        """What changed after a version; the whole list where the log does not reach back so far."""
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
        """Drop whole versions from the far end: half of a version's entries would be a false delta."""
        while len(self._changes) > self._length:
            dropped = self._changes[0].version
            while self._changes and self._changes[0].version == dropped:
                self._changes.popleft()
            self._oldest_delta_base = dropped


def _serialize(version: int, is_snapshot: bool, endpoints: Iterable[Endpoint]) -> SerializedResponse:
    payload = {"index": version, "snapshot": is_snapshot, "endpoints": [asdict(each) for each in endpoints]}
    return SerializedResponse(json.dumps(payload, separators=(",", ":")).encode(), is_snapshot)
