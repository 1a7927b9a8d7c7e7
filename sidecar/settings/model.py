"""The settings of a service, as an instance of the balancer gets them.

Fields that end in `_us` are whole microseconds.  Every default is the cautious choice: what the settings
leave out is taken as not permitted.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Annotated

MAX_EXACT_INTEGER = 2**53
"""Every whole number up to this one survives a double."""


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
    """Has an idempotency key, by which a group of servers drops duplicates for a while."""
    UNSAFE = "unsafe"
    """Must never run twice."""


@unique
class DedupScope(Enum):
    """Which servers drop the duplicates of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@unique
class Discovery(Enum):
    """How changes of the endpoint list reach an instance."""

    PUSHED = "pushed"
    ON_REQUEST = "on_request"


@unique
class Weights(Enum):
    """What the weight of an endpoint says about its capacity."""

    NONE = "silent"
    """Nothing."""
    NOMINAL = "nominal"
    """Its size."""
    ROUGH = "rough"
    """About its size."""
    LIVE = "live"
    """Its size, corrected for its present load."""


@unique
class ReportSource(Enum):
    """Where load reports come from."""

    ANSWERS = "answers"
    """They come with responses."""
    PROBES = "probes"
    """They come with the results of health checks."""
    NONE = "silent"
    """There are none."""


@unique
class WeightBasis(Enum):
    """What the priority weight of a class is counted for."""

    REQUEST = "request"
    WORK = "work"


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """One class of requests.

    Attributes:
        name: Name of the class, as requests give it.
        deadline_us: How long a client waits in all, in microseconds.
        latency_target_us: A response within this time, in microseconds, has its full value.
        priority_weight: Value of one request in time.
        late_weight: Part of that value which a response has after the latency target.
        idempotency: Whether a request may be attempted more than once.
        dedup_scope: Which servers drop duplicates of a request with an idempotency key.
        dedup_window_us: For how long they do, in microseconds.
        streaming: Whether responses are streamed.
        latency_target_stretch: The latency target grows by this many times the request's own work.
        ordered_by_key: Whether requests with one key run one at a time, in the order of their arrival.
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
    """One tenant and its part of the whole fleet.

    Attributes:
        name: Name of the tenant, as requests give it.
        share: Its part of the service, relative to the other tenants.
        quota_per_s: Requests per second, over all sidecars, that count as within its share.
    """

    name: str
    share: float = 1.0
    quota_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits.

    Attributes:
        max_attempts: Attempts of one request at most.
        allow_hedging: Whether two attempts of a request may be in flight at once.
        allow_cancel: Whether an attempt may be cancelled.
        allow_probes: Whether servers may be sent health checks.
        allow_messages: Whether instances may send each other messages.
        retry_after: Whether a rejected client gets a Retry-After.
        max_retry_after_us: The longest Retry-After that clients honour, in microseconds.
        dial_timeout_us: How long a new connection to a server may take, in microseconds.
        idle_close_us: After how long servers close an idle connection, in microseconds.
        streams_per_connection: Requests that one connection carries at once.
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
    """The figures of the deployment's rules.

    Attributes:
        answer_slack_us: How long after its deadline a response is still accepted, in microseconds.
        max_poll_interval_us: How long an instance may go without asking for the endpoint list before its
            changes count as notified, in microseconds.
        drain_grace_us: How long after it began to drain a server may still be sent requests, in microseconds.
        slow_start_from: Part of its capacity with which a server starts.
        slow_start_us: How long it takes to warm up to all of it, in microseconds.
        overload_multiple: A server that is warming up fails under this many times its capacity ...
        overload_window_us: ... for this long, in microseconds.
        late_shedding: Whether servers also reject work that they had begun.
        key_cooldown_us: How long a key rests after an attempt that may still be running, in microseconds.
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
    """What extra traffic costs, in points of service for one of each a request.

    Attributes:
        cross_zone: An attempt in another zone.
        probe: A health check.
        message: A message to another instance.
        waste: Work of a server that gave no response.
        handshake: A new connection.
        connection: A hundred open connections per server.
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
        tenants: The tenants; where there are some, a request may name no other.
        zone: The instance's own zone.
        instance_index: Number of this instance, from 0.
        sidecar_count: How many instances there are.
        tick_us: Least time between two batches of the simulator, in microseconds.
        discovery: How changes of the endpoint list reach the instance.
        weights: What the weight of an endpoint says about its capacity.
        weight_basis: What priority weights are counted for.
        over_share_weight: Value of a request above its tenant's share, as a part of its class's weight.
        report_source: Where load reports come from.
        report_columns: Names of the figures in a load report.
        warm_keys: Whether a server that lately served a key serves it again with less work.
        limits: What the deployment permits.
        rules: The figures of the deployment's rules.
        prices: What extra traffic costs.
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
        """Read settings from plain nested mappings, whose keys are the names of the fields.

        Args:
            mapping: The mapping.  Keys that aren't known are skipped, and None counts as absent.

        Returns:
            The settings.

        Raises:
            ConfigurationError: A value makes no sense; the message names its key.
        """
        from sidecar.settings.parsing import parse_settings  # here, as that module needs this one

        return parse_settings(mapping)
