"""The states of a client connection, and their time limits."""

from __future__ import annotations

from enum import Enum, auto


class ConnectionState(Enum):
    """The state of a client connection.

    Attributes:
        READING: The connection is new, or a request has begun to arrive.
        IN_FLIGHT: A request has been read and not been answered.  Only this state has no time limit, as the
            request has its own deadline.
        READING_PIPELINED: Part of a request, or malformed data, has arrived behind a request in flight,
            which may have been answered since.
        IDLE: The connection has carried requests, and no further one has begun to arrive.
        DELIVERING: The last response is still being delivered: it has not been fully written, or the
            connection has been half-closed after it.
    """

    READING = auto()
    IN_FLIGHT = auto()
    READING_PIPELINED = auto()
    IDLE = auto()
    DELIVERING = auto()


STATE_TIME_LIMITS_S = {
    ConnectionState.READING: 2.0,
    ConnectionState.READING_PIPELINED: 2.0,
    ConnectionState.IDLE: 2.0,
    ConnectionState.DELIVERING: 1.0,
}
