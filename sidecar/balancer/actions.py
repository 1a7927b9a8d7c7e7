"""Actions: what the balancer asks its host to do, as slotted dataclasses that must not be modified.

All times and durations are whole microseconds.  Names of durations have the suffix `_us`; times are readings
of the host's clock.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class SendAttempt:
    """Start an attempt; the attempts of a request are numbered from 0 in the order in which they are sent.

    Attributes:
        request: The number of the request.
        server: The name of the server to send it to.
        deadline: The time at which the attempt times out.
        write_by: The time by which the request must be written completely if another attempt was started
            before this one; None if it may be written at any time.
    """

    request: int
    server: str
    deadline: int
    write_by: int | None = None


@dataclass(slots=True)
class RejectRequest:
    """Send the client its final response: the request is rejected, and the client may safely retry it.

    Attributes:
        request: The number of the request.
        retry_after_us: How long the client should wait before it retries, in microseconds; 0 if the response
            does not state it.
    """

    request: int
    retry_after_us: int = 0


@dataclass(slots=True)
class FailRequest:
    """Send the client its final response: the request failed, and a retry by the client may not be safe.

    Attributes:
        request: The number of the request.
    """

    request: int


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt that has not ended.

    Attributes:
        request: The number of the request.
        attempt: The number of the attempt within its request.
    """

    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Send a `TimerFired` event after a delay.

    Attributes:
        delay_us: The delay, in microseconds.
        token: The token to send with the event.
    """

    delay_us: int
    token: str


@dataclass(slots=True)
class CheckHealth:
    """Send a health check to a server.

    Attributes:
        server: The name of the server.
    """

    server: str


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the idle connections to a server.

    Attributes:
        server: The name of the server.
    """

    server: str


@dataclass(slots=True)
class SendMessage:
    """Send a message to other balancers; the balancer does not use it, but the simulator's protocol has it.

    Attributes:
        receiver: The number of the balancer to send it to; None to send it to all of them.
        payload: The content of the message.
    """

    receiver: int | None
    payload: bytes


@dataclass(slots=True)
class WatchRegistry:
    """Start or stop the watch of the endpoint list.

    Attributes:
        enabled: Whether to watch it.
    """

    enabled: bool = True


@dataclass(slots=True)
class FetchRegistry:
    """Fetch the complete endpoint list once; not used by the balancer, but in the simulator's protocol."""


@dataclass(slots=True)
class Log:
    """Write a line to the log.

    Attributes:
        text: The line.
    """

    text: str


Action = (
    SendAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | SetTimer
    | CheckHealth
    | CloseIdleConnections
    | SendMessage
    | WatchRegistry
    | FetchRegistry
    | Log
)
