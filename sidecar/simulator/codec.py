"""The codec of the simulator's wire protocol: decodes lines into messages, and encodes actions into lines.

Each line is a JSON array that starts with the name of its message.  Additional values at the end are ignored.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from sidecar.balancer.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    FetchRegistry,
    Log,
    RejectRequest,
    SendAttempt,
    SendMessage,
    SetTimer,
    WatchRegistry,
)
from sidecar.balancer.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    Event,
    HealthCheckEnded,
    MessageReceived,
    Outcome,
    RegistryUpdateKind,
    RequestArrived,
    ResponseStarted,
    ServerState,
    TimerFired,
)
from sidecar.settings import ConfigurationError
from sidecar.settings.wire_names import settings_from_wire
from sidecar.simulator.errors import (
    ExpectedType,
    InvalidJsonError,
    InvalidMessageError,
    InvalidSettingsError,
    InvalidValueError,
    MissingValuesError,
    ShortEndpointError,
    UnknownEnumValueError,
    UnknownMessageError,
)
from sidecar.simulator.messages import (
    EndpointPage,
    EventReceived,
    InstanceStarted,
    InstanceStopped,
    Message,
    RegistryUpdateReceived,
)

BATCH_START = "FRAME"
BATCH_END = "COMMIT"
BATCH_DONE = '["DONE"]'
"""The last line of the reply to a batch."""

_REGISTRY_UPDATE_KINDS = {
    "delta": RegistryUpdateKind.DELTA,
    "full": RegistryUpdateKind.SNAPSHOT,
    "cached": RegistryUpdateKind.CACHED,
    "failed": RegistryUpdateKind.FAILED,
}
_SERVER_STATES = {
    "ready": ServerState.READY,
    "draining": ServerState.DRAINING,
    "gone": ServerState.REMOVED,
}
_OUTCOMES = {
    "delivered": Outcome.SUCCEEDED,
    "app_error": Outcome.ERROR,
    "shed": Outcome.REJECTED,
    "expired": Outcome.TIMED_OUT,
    "dial_failed": Outcome.CONNECT_FAILED,
    "dropped": Outcome.RESET,
    "revoked": Outcome.CANCELLED,
    "unused": Outcome.NOT_SENT,
}
# Bits of a request's flags.
_HAS_COST_HINT = 1
_IS_CLIENT_RETRY = 2
_IS_WRITE = 4

_ALL_INSTANCES = -1  # as the receiver of a message
_MIN_ENDPOINT_VALUES = 6  # in an entry of an endpoint list
_MAX_ERROR_TEXT_LENGTH = 500

_EnumMember = TypeVar("_EnumMember")
_encode_json = json.JSONEncoder(separators=(",", ":")).encode


@dataclass(slots=True)
class WireMessage:
    """A message whose values have not been checked.

    Attributes:
        name: Name of the message.
        values: All values of the message, the first of which is its name.
    """

    name: object
    values: list[object]

    def require_values(self, count: int) -> None:
        """Raise MissingValuesError if there are fewer values than `count`, which includes the name."""
        if len(self.values) < count:
            raise MissingValuesError(self.name, count - 1, len(self.values) - 1)


# -- Decoding


def parse_line(line: str) -> WireMessage:
    """Parse a line as a message without checking its values.

    Args:
        line: The line, with or without its newline.

    Returns:
        The message, for `decode_batch_start` or `decode_message`.

    Raises:
        WireError: The line is not a message.
    """
    try:
        values = json.loads(line)
    except (ValueError, RecursionError):
        raise InvalidJsonError from None
    if not isinstance(values, list) or not values:
        raise InvalidMessageError
    return WireMessage(values[0], values)


def decode_batch_start(message: WireMessage) -> int:
    """Return the time of a batch in microseconds, from the message that starts it.

    Raises:
        WireError: The values of the message are invalid.
    """
    message.require_values(2)
    _, now_us, *_ = message.values
    return _integer(now_us)


def decode_message(message: WireMessage) -> Message:
    """Decode a message inside a batch.

    Args:
        message: Any message except the start or the end of a batch.

    Returns:
        The decoded message.

    Raises:
        WireError: The name is unknown, or the values of the message are invalid.
    """
    name = message.name
    if not isinstance(name, str):
        raise UnknownMessageError(name)
    event_decoder = _EVENT_DECODERS.get(name)
    if event_decoder is not None:
        min_values, decode_event = event_decoder
        message.require_values(min_values)
        return EventReceived(_string(message.values[1]), decode_event(message.values))
    message_decoder = _MESSAGE_DECODERS.get(name)
    if message_decoder is None:
        raise UnknownMessageError(name)
    min_values, decode = message_decoder
    message.require_values(min_values)
    return decode(message.values)


def _decode_page(values: list[object]) -> EndpointPage:
    _, number, entries, *_ = values
    if not isinstance(entries, list):
        raise InvalidValueError(ExpectedType.ENDPOINT_LIST, entries)
    return EndpointPage(_integer(number), [_endpoint(entry) for entry in entries])


def _decode_instance_started(values: list[object]) -> InstanceStarted:
    _, instance, seed, raw_settings, *_ = values
    try:
        settings = settings_from_wire(raw_settings)
    except ConfigurationError as error:
        raise InvalidSettingsError(error) from error
    return InstanceStarted(_string(instance), _integer(seed), settings)


def _decode_instance_stopped(values: list[object]) -> InstanceStopped:
    _, instance, *_ = values
    return InstanceStopped(_string(instance))


def _decode_registry_update(values: list[object]) -> RegistryUpdateReceived:
    _, instance, kind_name, page, version, *_ = values
    kind = _enum_member(kind_name, _REGISTRY_UPDATE_KINDS)
    if kind is RegistryUpdateKind.FAILED:
        return RegistryUpdateReceived(_string(instance), kind)
    return RegistryUpdateReceived(_string(instance), kind, _integer(page), _integer(version))


def _decode_request_arrived(values: list[object]) -> RequestArrived:
    _, _, request, service_class, tenant, key, remaining_us, cost_us, flags, *_ = values
    flags = _integer(flags)
    return RequestArrived(
        request=_integer(request),
        service_class=_string(service_class),
        tenant=None if tenant is None or tenant == 0 else _string(tenant),  # like null, 0 means none
        ordering_key=_optional_integer(key),
        remaining_us=_integer(remaining_us),
        cost_us=_optional_integer(cost_us) if flags & _HAS_COST_HINT else None,
        is_client_retry=bool(flags & _IS_CLIENT_RETRY),
        is_write=bool(flags & _IS_WRITE),
    )


def _decode_response_started(values: list[object]) -> ResponseStarted:
    _, _, request, attempt, elapsed_us, server, *_ = values
    return ResponseStarted(
        request=_integer(request),
        attempt=_integer(attempt),
        server=_string(server),
        elapsed_us=_integer(elapsed_us),
    )


def _decode_attempt_ended(values: list[object]) -> AttemptEnded:
    _, _, request, attempt, server, outcome, elapsed_us, answered, *optional = values
    return AttemptEnded(
        request=_integer(request),
        attempt=_integer(attempt),
        server=_string(server),
        outcome=_enum_member(outcome, _OUTCOMES),
        elapsed_us=_integer(elapsed_us),
        answered=_boolean(answered),
        report=_load_report(optional[0]) if optional else None,
    )


def _decode_client_disconnected(values: list[object]) -> ClientDisconnected:
    _, _, request, *_ = values
    return ClientDisconnected(_integer(request))


def _decode_timer_fired(values: list[object]) -> TimerFired:
    _, _, token, *_ = values
    return TimerFired(_string(token))


def _decode_health_check_ended(values: list[object]) -> HealthCheckEnded:
    _, _, elapsed_us, outcome, server, *optional = values
    return HealthCheckEnded(
        server=_string(server),
        outcome=_enum_member(outcome, _OUTCOMES),
        elapsed_us=_integer(elapsed_us),
        report=_load_report(optional[0]) if optional else None,
    )


def _decode_message_received(values: list[object]) -> MessageReceived:
    _, _, sender, payload, *_ = values
    return MessageReceived(_integer(sender), _payload(payload))


# By the name of the message: its minimum number of values, the name included, and their decoder.
_EVENT_DECODERS: dict[str, tuple[int, Callable[[list[object]], Event]]] = {
    "WORK_ITEM": (9, _decode_request_arrived),
    "FIRST": (6, _decode_response_started),
    "ATTEMPT_END": (8, _decode_attempt_ended),
    "CLIENT_GONE": (3, _decode_client_disconnected),
    "WAKE": (3, _decode_timer_fired),
    "SAMPLED": (5, _decode_health_check_ended),
    "MEMO": (4, _decode_message_received),
}
_MESSAGE_DECODERS: dict[str, tuple[int, Callable[[list[object]], Message]]] = {
    "PAGE": (3, _decode_page),
    "BEGIN": (4, _decode_instance_started),
    "EXIT": (2, _decode_instance_stopped),
    "TARGETS": (5, _decode_registry_update),
}


# -- Values


def _integer(value: object) -> int:
    if type(value) is not int:
        raise InvalidValueError(ExpectedType.INTEGER, value)
    return value


def _optional_integer(value: object) -> int | None:
    return None if value is None else _integer(value)


def _string(value: object) -> str:
    if type(value) is not str:
        raise InvalidValueError(ExpectedType.STRING, value)
    return value


def _boolean(value: object) -> bool:
    if type(value) is not bool:
        raise InvalidValueError(ExpectedType.BOOLEAN, value)
    return value


def _number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidValueError(ExpectedType.NUMBER, value)
    return value


def _enum_member(value: object, members: Mapping[str, _EnumMember]) -> _EnumMember:
    member = members.get(value) if isinstance(value, str) else None
    if member is None:
        raise UnknownEnumValueError(value)
    return member


def _payload(value: object) -> bytes:
    try:
        return bytes.fromhex(_string(value))
    except ValueError:
        raise InvalidValueError(ExpectedType.HEX_DIGITS, value) from None


def _load_report(value: object) -> Mapping[str, float] | None:
    if value is None:
        return None
    if not isinstance(value, dict):
        raise InvalidValueError(ExpectedType.LOAD_REPORT, value)
    for metric_value in value.values():
        _number(metric_value)
    return value


def _endpoint(entry: object) -> Endpoint:
    if not isinstance(entry, list):
        raise InvalidValueError(ExpectedType.ENDPOINT, entry)
    if len(entry) < _MIN_ENDPOINT_VALUES:
        raise ShortEndpointError(_MIN_ENDPOINT_VALUES, len(entry))
    name, zone, kind, cell, state, capacity_weight, *optional = entry
    started_at = _optional_integer(optional[0]) if optional else None
    return Endpoint(
        name=_string(name),
        zone=_string(zone),
        kind=_string(kind),
        cell=_integer(cell),
        state=_enum_member(state, _SERVER_STATES),
        capacity_weight=float(_number(capacity_weight)),
        started_at=started_at or None,  # like null, 0 means long ago
    )


# -- Encoding

# By the type of the action: the name of its message, and the encoder of the values after the instance.
_ACTION_ENCODERS: dict[type[Action], tuple[str, Callable[[Any], list[object]]]] = {
    SendAttempt: ("ASSIGN", lambda action: [action.request, action.server, action.deadline]),
    RejectRequest: ("NOT_NOW", lambda action: [action.request, action.retry_after_us]),
    FailRequest: ("SURRENDER", lambda action: [action.request]),
    CancelAttempt: ("ABORT_ATTEMPT", lambda action: [action.request, action.attempt]),
    SetTimer: ("REMIND", lambda action: [action.delay_us, action.token]),
    CheckHealth: ("CHECK", lambda action: [action.server]),
    CloseIdleConnections: ("SHUT_IDLE", lambda action: [action.server]),
    SendMessage: ("POST", lambda action: [_receiver(action), action.payload.hex()]),
    WatchRegistry: ("FOLLOW", lambda action: [action.enabled]),
    FetchRegistry: ("REFRESH", lambda _: []),
    Log: ("REMARK", lambda action: [action.text]),
}


def _receiver(action: SendMessage) -> int:
    return _ALL_INSTANCES if action.receiver is None else action.receiver


def encode_action(instance: str, action: Action) -> str:
    """Return the line, without its newline, for an action of an instance."""
    name, encode_values = _ACTION_ENCODERS[type(action)]
    return _encode_json([name, instance, *encode_values(action)])


def encode_internal_error(instance: str, error: Exception) -> str:
    """Return the line, without its newline, for an exception that the balancer of an instance raised."""
    text = f"{type(error).__name__}: {error}"[:_MAX_ERROR_TEXT_LENGTH]
    return json.dumps(["INTERNAL_ERROR", instance, text])
