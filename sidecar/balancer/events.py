"""Events: what the host reports to the balancer, as slotted dataclasses that the balancer does not modify.

All times and durations are whole microseconds.  Names of durations have the suffix `_us`; times are readings
of the host's clock.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, unique

from sidecar.settings import Settings


@unique
class ServerState(Enum):
    """The state of a server according to the registry."""

    READY = "ready"
    """It accepts requests."""
    DRAINING = "draining"
    """It finishes its requests in flight and gets no new ones."""
    REMOVED = "gone"
    """It is no longer in the registry."""


@unique
class RegistryUpdateKind(Enum):
    """What the endpoint list of a registry update contains."""

    DELTA = "delta"
    """Only the changed endpoints."""
    SNAPSHOT = "snapshot"
    """All endpoints: a server that is not listed has been removed."""
    CACHED = "cached"
    """All endpoints, as they were some time before the sidecar restarted."""
    FAILED = "failed"
    """Nothing, as a call to the registry or the watch failed; the list does not change."""


@unique
class Outcome(Enum):
    """How an attempt or a health check ended."""

    SUCCEEDED = "succeeded"
    """The server responded."""
    ERROR = "error"
    """The server responded with an error or with an invalid response."""
    REJECTED = "rejected"
    """The server rejected the request, as it is at capacity."""
    TIMED_OUT = "timed_out"
    """The server did not respond before the attempt's deadline."""
    CONNECT_FAILED = "connect_failed"
    """No connection could be opened."""
    RESET = "reset"
    """The connection was closed before the response was complete."""
    CANCELLED = "cancelled"
    """The attempt was cancelled before it ended."""
    NOT_SENT = "not_sent"
    """The request was not sent completely, so the server can't have run it."""


@dataclass(slots=True)
class Endpoint:
    """An entry of the endpoint list.

    Attributes:
        name: The server's name.
        zone: The availability zone that it runs in.
        kind: The kind of machine that it runs on; decisions don't depend on it.
        cell: The group of servers with which it shares its record of idempotency keys.
        state: Whether it accepts requests.
        capacity_weight: Its capacity relative to that of other servers.
        started_at: When its process started, on the registry's clock; None if that was long ago.
    """

    name: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: ServerState = ServerState.READY
    capacity_weight: float = 1.0
    started_at: int | None = None


@dataclass(slots=True)
class RegistryUpdated:
    """The registry sent an update, or a call to it failed.

    Attributes:
        kind: What the endpoint list contains.
        endpoints: The endpoint list.
        version: The registry's version of the list; decisions don't depend on it.
    """

    kind: RegistryUpdateKind
    endpoints: Sequence[Endpoint] = ()
    version: int = 0

    def is_empty(self) -> bool:
        """Whether the update reports that nothing has changed."""
        return self.kind is RegistryUpdateKind.DELTA and not self.endpoints


@dataclass(slots=True)
class SettingsChanged:
    """The settings were replaced.

    Requests that arrived before keep their class, deadline and idempotency.  New limits apply to them, too,
    where they are stricter.

    Attributes:
        settings: The settings in force from now on.
    """

    settings: Settings


@dataclass(slots=True)
class RequestArrived:
    """A client sent a request, which has to get exactly one final response.

    Attributes:
        request: The host's number of the request.
        service_class: The name of its service class.
        tenant: The name of its tenant, if it has one.
        ordering_key: Its ordering key, if it has one; only used if its class is ordered by key.
        remaining_us: How long the client still waits for the response, in microseconds.
        cost_us: The client's estimate of the processing time, in microseconds, if it gave one.
        is_client_retry: Whether the client marked the request as a retry; decisions don't depend on it.
        is_write: Whether the client marked the request as a write; decisions don't depend on it.
    """

    request: int
    service_class: str
    tenant: str | None
    ordering_key: int | None
    remaining_us: int
    cost_us: int | None = None
    is_client_retry: bool = False
    is_write: bool = False


@dataclass(slots=True)
class ResponseStarted:
    """The host has begun to stream the response of an attempt to the client.

    Attributes:
        request: The number of the request.
        attempt: The number of the attempt within its request.
        server: The name of the attempt's server.
        elapsed_us: How long the attempt has taken so far, in microseconds.
    """

    request: int
    attempt: int
    server: str
    elapsed_us: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended.

    Attributes:
        request: The number of the request.
        attempt: The number of the attempt within its request.
        server: The name of the attempt's server.
        outcome: How the attempt ended.
        elapsed_us: How long the attempt took, in microseconds.
        answered: Whether the client has its final response, by this attempt or otherwise.
        report: The server's load report, if it sent one: values by field name.
    """

    request: int
    attempt: int
    server: str
    outcome: Outcome
    elapsed_us: int
    answered: bool
    report: Mapping[str, float] | None = None


@dataclass(slots=True)
class ClientDisconnected:
    """The client of a request disconnected, so no response is needed any more.

    Attributes:
        request: The number of the request.
    """

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer is due.

    Attributes:
        token: The token that the timer was set with.
    """

    token: str


@dataclass(slots=True)
class HealthCheckEnded:
    """A health check ended.

    Attributes:
        server: The name of the server.
        outcome: How the health check ended.
        elapsed_us: How long it took, in microseconds.
        report: The server's load report, if it sent one: values by field name.
    """

    server: str
    outcome: Outcome
    elapsed_us: int
    report: Mapping[str, float] | None = None


@dataclass(slots=True)
class MessageReceived:
    """Another balancer sent a message; ignored by the balancer, but the simulator's protocol has this event.

    Attributes:
        sender: The number of the balancer that sent it.
        payload: The content of the message.
    """

    sender: int
    payload: bytes


Event = (
    RegistryUpdated
    | SettingsChanged
    | RequestArrived
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | MessageReceived
)
