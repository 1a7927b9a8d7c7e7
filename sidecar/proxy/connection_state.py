"""The states of a client's connection and how long it may stay in each."""

from __future__ import annotations

from enum import Enum, auto


class ConnectionState(Enum):
    """What a client's connection is doing.

    Attributes:
        READING: New, or a request has begun to arrive.
        IN_FLIGHT: A request has been read and has no response yet.  It alone has no time limit here: the
            request has a deadline of its own.
        READING_PIPELINED: Part of a request, or malformed data, arrived behind a request in flight, which
            may have been answered by now.
        IDLE: Has carried requests, and no further one has begun to arrive.
        CLOSING: The last response is still being delivered.
    """

    READING = auto()
    IN_FLIGHT = auto()
    READING_PIPELINED = auto()
    IDLE = auto()
    CLOSING = auto()


STATE_TIME_LIMITS_S = {
    ConnectionState.READING: 2.0,
    ConnectionState.READING_PIPELINED: 2.0,
    ConnectionState.IDLE: 2.0,
    ConnectionState.CLOSING: 1.0,
}
