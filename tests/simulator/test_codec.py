"""The codec: decoded messages, exact encodings of actions, and typed errors."""

from __future__ import annotations

import json

import pytest

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
from sidecar.simulator.codec import decode_message, encode_action, encode_internal_error, parse_line
from sidecar.simulator.errors import (
    InvalidSettingsError,
    InvalidValueError,
    MissingValuesError,
    ShortEndpointError,
    UnknownEnumValueError,
    UnknownMessageError,
    WireError,
)
from sidecar.simulator.messages import (
    EndpointPage,
    EventReceived,
    InstanceStopped,
    Message,
    RegistryUpdateReceived,
)


def decode(*values: object) -> Message:
    return decode_message(parse_line(json.dumps(values)))


@pytest.mark.parametrize(
    ("values", "event"),
    [
        (
            ("WORK_ITEM", "a", 5, "look", "acme", 9, 900, 70, 7),
            RequestArrived(5, "look", "acme", 9, 900, cost_us=70, is_client_retry=True, is_write=True),
        ),
        (("WORK_ITEM", "a", 5, "look", 0, None, 900, 70, 0), RequestArrived(5, "look", None, None, 900)),
        (("FIRST", "a", 5, 1, 300, "s:1"), ResponseStarted(5, 1, "s:1", 300)),
        (
            ("ATTEMPT_END", "a", 5, 1, "s:1", "shed", 300, False, {"util": 0.5}),
            AttemptEnded(5, 1, "s:1", Outcome.REJECTED, 300, False, {"util": 0.5}),
        ),
        (
            ("ATTEMPT_END", "a", 5, 1, "s:1", "delivered", 300, True),
            AttemptEnded(5, 1, "s:1", Outcome.SUCCEEDED, 300, True),
        ),
        (("CLIENT_GONE", "a", 5, "a value to come"), ClientDisconnected(5)),
        (("WAKE", "a", "token"), TimerFired("token")),
        (
            ("SAMPLED", "a", 300, "dropped", "s:1", {"util": 1}),
            HealthCheckEnded("s:1", Outcome.RESET, 300, {"util": 1}),
        ),
        (("MEMO", "a", 2, "00ff"), MessageReceived(2, b"\x00\xff")),
    ],
)
def test_an_event_is_decoded_from_its_values(values: tuple[object, ...], event: Event) -> None:
    assert decode(*values) == EventReceived("a", event)


def test_other_messages_are_decoded_from_their_values() -> None:
    entries = [["s:1", "east", "box", 3, "draining", 2, 7], ["s:2", "", "", 0, "gone", 0.5, 0]]
    endpoints = [
        Endpoint("s:1", "east", "box", 3, ServerState.DRAINING, 2.0, 7),
        Endpoint("s:2", "", "", 0, ServerState.REMOVED, 0.5, None),
    ]
    assert decode("PAGE", 4, entries) == EndpointPage(4, endpoints)
    assert decode("EXIT", "a") == InstanceStopped("a")
    full = RegistryUpdateReceived("a", RegistryUpdateKind.SNAPSHOT, page=4, version=9)
    assert decode("TARGETS", "a", "full", 4, 9) == full
    failed = RegistryUpdateReceived("a", RegistryUpdateKind.FAILED)
    assert decode("TARGETS", "a", "failed", None, None) == failed


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (SendAttempt(5, "s:1", 99), '["ASSIGN","a",5,"s:1",99]'),
        (RejectRequest(5, 70), '["NOT_NOW","a",5,70]'),
        (FailRequest(5), '["SURRENDER","a",5]'),
        (CancelAttempt(5, 1), '["ABORT_ATTEMPT","a",5,1]'),
        (SetTimer(70, "token"), '["REMIND","a",70,"token"]'),
        (CheckHealth("s:1"), '["CHECK","a","s:1"]'),
        (CloseIdleConnections("s:1"), '["SHUT_IDLE","a","s:1"]'),
        (SendMessage(None, b"\x00\xff"), '["POST","a",-1,"00ff"]'),
        (SendMessage(2, b""), '["POST","a",2,""]'),
        (WatchRegistry(False), '["FOLLOW","a",false]'),
        (FetchRegistry(), '["REFRESH","a"]'),
        (Log("gr\u00fcn"), '["REMARK","a","gr\\u00fcn"]'),
    ],
)
def test_an_action_has_an_exact_encoding(action: Action, line: str) -> None:
    assert encode_action("a", action) == line


def test_an_internal_error_is_encoded_with_a_truncated_text() -> None:
    assert encode_internal_error("a", KeyError("x")) == '["INTERNAL_ERROR", "a", "KeyError: \'x\'"]'
    assert len(json.loads(encode_internal_error("a", ValueError("x" * 9_000)))[2]) == 500


@pytest.mark.parametrize(
    ("values", "error"),
    [
        (("NEWS", "a"), UnknownMessageError),
        ((5, "a"), UnknownMessageError),
        (("WAKE",), MissingValuesError),
        (("WAKE", "a", 5), InvalidValueError),
        (("CLIENT_GONE", "a", True), InvalidValueError),
        (("ATTEMPT_END", "a", 5, 0, "s:1", "delivered", 1, True, {"util": "x"}), InvalidValueError),
        (("SAMPLED", "a", 1, [], "s:1"), UnknownEnumValueError),
        (("PAGE", 0, 5), InvalidValueError),
        (("PAGE", 0, [["s:1"]]), ShortEndpointError),
        (("BEGIN", "a", 7, {}), InvalidSettingsError),
    ],
)
def test_an_invalid_message_raises_a_typed_error(values: tuple[object, ...], error: type[WireError]) -> None:
    with pytest.raises(error):
        decode(*values)
