"""The settings of a balancer instance.

Fields that end in `_us` are whole microseconds.  Every default is the cautious choice: whatever the settings
omit is not permitted.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Annotated

MAX_EXACT_INTEGER = 2**53
"""The largest integer up to which a double represents every integer exactly."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """The values that a numeric field may have, both ends included."""

    low: float = 0
    high: float = MAX_EXACT_INTEGER


POSITIVE = Bounds(low=1)
"""The positive whole numbers."""

PositiveInt = Annotated[int, POSITIVE]
PositiveFloat = Annotated[float, Bounds(low=0.001)]
PositiveFraction = Annotated[float, Bounds(low=0.001, high=1.0)]
Fraction = Annotated[float, Bounds(high=1.0)]


@unique
class Idempotency(Enum):
    """Whether the requests of a class may be attempted more than once."""

    SAFE = "safe"
    """May run any number of times."""
    KEYED = "keyed"
    """Carries an idempotency key, by which a group of servers drops duplicates for a limited time."""
    UNSAFE = "unsafe"
    """Must never run twice."""


@unique
class DedupScope(Enum):
    """Which servers drop the duplicates of a request with an idempotency key.

    Attributes:
        ALL: All servers, because they share one record of idempotency keys.
        ZONE: The servers in the zone of the server that received the first attempt.
        CELL: The servers of the same group as the server that received the first attempt.
    """

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@unique
class Discovery(Enum):
    """How changes of the endpoint list reach an instance.

    Attributes:
        PUSHED: They arrive without a request from the instance.
        ON_REQUEST: The instance polls the registry.
    """

    PUSHED = "pushed"
    ON_REQUEST = "on_request"


@unique
class Weights(Enum):
    """What the weight of an endpoint says about its capacity."""

    NONE = "silent"
    """It says nothing."""
    NOMINAL = "nominal"
    """It is the size of the server."""
    ROUGH = "rough"
    """It is approximately the size of the server."""
    LIVE = "live"
    """It is the size of the server, corrected for its current load."""


@unique
class ReportSource(Enum):
    """Where load reports come from."""

    ANSWERS = "answers"
    """Responses carry them."""
    PROBES = "probes"
    """Results of health checks carry them."""
    NONE = "silent"
    """There are none."""


@unique
class WeightBasis(Enum):
    """What the priority weight of a class applies to."""

    REQUEST = "request"
    WORK = "work"


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """One class of requests.

    Attributes:
        name: Name of the class, as in requests.
        deadline_us: How long a client waits for the response in total, in microseconds.
        latency_target_us: Time within which a response has its full value, in microseconds.
        priority_weight: Value of a response within the latency target.
        late_weight: Fraction of that value that a response has after the latency target.
        idempotency: Whether a request may be attempted more than once.
        dedup_scope: Which servers drop duplicates of a request with an idempotency key.
        dedup_window_us: How long they drop such duplicates, in microseconds.
        streaming: Whether responses are streamed.
        latency_target_stretch: Multiple of the request's own work that is added to the latency target.
        ordered_by_key: Whether requests with the same key run one at a time, in order of arrival.
    """

    name: str
    deadline_us: PositiveInt
    latency_target_us: PositiveInt
    priority_weight: float = 1.0
    late_weight: float = 0.0
    idempotency: Idempotency = Idempotency.UNSAFE
    dedup_scope: DedupScope = DedupScope.CELL
    dedup_window_us: int = 0
    streaming: bool = False
    latency_target_stretch: float = 0.0
    ordered_by_key: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant and its share of the whole fleet.

    Attributes:
        name: Name of the tenant, as in requests.
        share: Its share of the service, relative to the other tenants.
        quota_per_s: Requests per second, summed over all sidecars, that count as within its share.
    """

    name: str
    share: float = 1.0
    quota_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits.

    Attributes:
        max_attempts: Maximum number of attempts of one request.
        allow_hedging: Whether two attempts of a request may be in flight at once.
        allow_cancel: Whether attempts may be cancelled.
        allow_probes: Whether servers may be sent health checks.
        allow_messages: Whether instances may send each other messages.
        retry_after: Whether rejections carry a Retry-After.
        max_retry_after_us: The longest Retry-After that clients honour, in microseconds.
        dial_timeout_us: How long connecting to a server may take, in microseconds.
        idle_close_us: Time after which servers close an idle connection, in microseconds.
        streams_per_connection: Number of concurrent requests on one connection.
    """

    max_attempts: int = 1
    allow_hedging: bool = False
    allow_cancel: bool = False
    allow_probes: bool = False
    allow_messages: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    dial_timeout_us: int = 250_000
    idle_close_us: int = 15_000_000
    streams_per_connection: PositiveInt = 1


@dataclass(frozen=True, slots=True)
class Rules:
    """Parameters of the deployment's rules.

    Attributes:
        answer_slack_us: How long after its deadline a response is still accepted, in microseconds.
        max_poll_interval_us: Maximum time between two polls of the endpoint list, in microseconds.  After
            that time, an instance counts as notified of the changes to the list.
        drain_grace_us: How long after the start of its drain a server may still be sent requests, in
            microseconds.
        slow_start_from: Fraction of its capacity at which a server starts.
        slow_start_us: How long a server takes to warm up to its full capacity, in microseconds.
        overload_multiple: Multiple of its current capacity that overloads a server during slow start; the
            server fails if the overload lasts `overload_window_us`.
        overload_window_us: How long a server that is warming up withstands that overload, in microseconds.
        late_shedding: Whether servers may also reject requests that they have begun to process.
        key_cooldown_us: How long no new request with the same key is sent after an attempt that may still be
            running, in microseconds.
    """

    answer_slack_us: int = 0
    max_poll_interval_us: PositiveInt = 10_000_000
    drain_grace_us: int = 0
    slow_start_from: PositiveFraction = 0.1
    slow_start_us: int = 30_000_000
    overload_multiple: PositiveFloat = 1.0
    overload_window_us: PositiveInt = 2_000_000
    late_shedding: bool = False
    key_cooldown_us: int = 0


@dataclass(frozen=True, slots=True)
class Prices:
    """Costs of extra traffic, in points of the service level.

    Unless stated otherwise, each is the cost of one unit per request.

    Attributes:
        cross_zone: Cost of an attempt in another zone.
        probe: Cost of a health check.
        message: Cost of a message to another instance.
        waste: Cost of server work that produced no response.
        handshake: Cost of a new connection.
        connection: Cost of a hundred open connections per server.
    """

    cross_zone: float = 0.0
    probe: float = 0.0
    message: float = 0.0
    waste: float = 0.0
    handshake: float = 0.0
    connection: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one instance.

    Attributes:
        classes: The classes of requests, at least one.
        tenants: The tenants; if there are any, requests of other tenants are invalid.
        zone: The instance's own zone.
        instance_index: Index of this instance, from 0.
        sidecar_count: Number of instances.
        tick_us: Minimum time between two batches of the simulator, in microseconds.
        discovery: How changes of the endpoint list reach the instance.
        weights: What the weight of an endpoint says about its capacity.
        weight_basis: What priority weights apply to.
        over_share_weight: Value of a request beyond its tenant's share, as a fraction of its class's weight.
        report_source: Where load reports come from.
        report_columns: Names of the values in a load report.
        warm_keys: Whether a server that recently served a key serves it again with less work.
        limits: What the deployment permits.
        rules: Parameters of the deployment's rules.
        prices: Costs of extra traffic.
    """

    classes: tuple[ServiceClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: str = ""
    instance_index: int = 0
    sidecar_count: PositiveInt = 1
    tick_us: PositiveInt = 1_000
    discovery: Discovery = Discovery.ON_REQUEST
    weights: Weights = Weights.NONE
    weight_basis: WeightBasis = WeightBasis.REQUEST
    over_share_weight: Fraction = 1.0
    report_source: ReportSource = ReportSource.NONE
    report_columns: tuple[str, ...] = ()
    warm_keys: bool = False
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    prices: Prices = field(default_factory=Prices)

    @staticmethod
    def from_mapping(mapping: Mapping[str, object]) -> Settings:
        """Read settings from plain nested mappings, whose keys are the field names.

        Args:
            mapping: The mapping.  Unknown keys are ignored, and None counts as absent.

        Returns:
            The settings.

        Raises:
            ConfigurationError: A value is invalid; the message names its key.
        """
        from sidecar.settings.parsing import parse_settings  # avoids a circular import

        return parse_settings(mapping)
