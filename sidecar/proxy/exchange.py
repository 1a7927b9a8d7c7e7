"""One attempt or health check: its request, its response, and the single `Outcome` that it ends with."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol

from sidecar.balancer.events import Outcome
from sidecar.proxy.http_messages import EncodedMessage, Response
from sidecar.proxy.server_connection import ServerConnection
from sidecar.proxy.sockets import is_connected

if TYPE_CHECKING:
    from sidecar.proxy.pooled_servers import PooledServer

# With these outcomes the response is no longer awaited, and what has not been written is never written.
_ABORTING_OUTCOMES = (Outcome.TIMED_OUT, Outcome.CANCELLED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class RequestEncoder(Protocol):
    """Encodes a request at the moment when it is written, because it states the remaining time."""

    def encode(self, remaining_s: float, /) -> EncodedMessage | None:
        """Encode the request.

        This is called when a connection is ready, and again before the last byte of a long request.

        Args:
            remaining_s: Seconds until the deadline, at least 0.

        Returns:
            The encoded request, or None if it is not wanted any more.
        """


class OutcomeCallback(Protocol):
    """A callback that is called exactly once, when an exchange ends."""

    def __call__(self, outcome: Outcome, response: Response | None, /) -> None:
        """Handle the outcome, and the complete response if there is one."""


@dataclass(frozen=True, slots=True)
class EncodedRequest:
    """A request that is the same whenever it is written.

    Attributes:
        data: The encoded request.
    """

    data: bytes

    def encode(self, _remaining_s: float, /) -> EncodedMessage:
        """Return the request."""
        return EncodedMessage(self.data)


@dataclass(frozen=True, slots=True)
class DeferredRequest:
    """A request that a function encodes when it is written.

    Attributes:
        encode: Encodes the request, as `RequestEncoder.encode` does.
    """

    encode: Callable[[float], EncodedMessage | None]


class Exchange:
    """One attempt or health check, from its dial to its outcome.

    Attributes:
        server: The server that it is sent to.
        generation: The generation of the server when the exchange was created.
        deadline: Event loop time at which it ends in any case.
        connection: The connection that its request is written to; None until then.
        write_started_at: Event loop time at which writing its request began.
        idle_s: Seconds that its connection had been idle; None: the connection is new.
        dial_task: Its dial while that is in progress.
        connecting_socket: The socket that its dial is connecting.
        has_local_failure: Whether its dial has failed for a cause on this machine, and is retried.
        timers: Timers that are cancelled when it ends.
    """

    def __init__(
        self, server: PooledServer, encoder: RequestEncoder, deadline: float, on_outcome: OutcomeCallback
    ) -> None:
        """Create an exchange; nothing is dialed or written yet.

        Args:
            server: The server that it is sent to.
            encoder: Encodes its request.
            deadline: Event loop time at which it ends in any case.
            on_outcome: Called exactly once when it ends.
        """
        self.server = server
        self.generation = server.generation
        self.deadline = deadline
        self.connection: ServerConnection | None = None
        self.write_started_at = 0.0
        self.idle_s: float | None = None
        self.dial_task: asyncio.Task[bool] | None = None
        self.connecting_socket: socket.socket | None = None
        self.has_local_failure = False
        self.timers: list[asyncio.TimerHandle] = []
        self._encoder: RequestEncoder | None = encoder  # None: it has ended, and keeps no request
        self._on_outcome: OutcomeCallback | None = on_outcome

    def has_ended(self) -> bool:
        """Return whether it has ended."""
        return self._on_outcome is None

    def is_request_written(self) -> bool:
        """Return whether the last byte of its request has been handed to the kernel."""
        return self.connection is not None and self.connection.is_request_written

    def encode_request(self, now: float) -> EncodedMessage | None:
        """Encode its request at an event loop time; return None if it is not wanted any more."""
        if self._encoder is None:
            return None
        return self._encoder.encode(max(self.deadline - now, 0.0))

    def check_still_wanted(self) -> bool:
        """Return whether the last byte of a long request may be written; end the exchange if not."""
        if self.encode_request(asyncio.get_running_loop().time()) is None:
            self.end(Outcome.NOT_SENT)
        return not self.has_ended()

    def on_deadline(self) -> None:
        """End it, whatever its progress."""
        self.end(Outcome.TIMED_OUT if self.is_request_written() else self._unwritten_outcome())

    def on_dial_timeout(self) -> None:
        """End it if its dial has not succeeded.

        A dial has succeeded if the kernel says so, even if the event loop has not processed it yet: a busy
        sidecar must not mistake its own lag for an unreachable server.  The deadline still applies.
        """
        if self.connection is not None:
            return
        if self.connecting_socket is None or not is_connected(self.connecting_socket):
            self.end(self._unwritten_outcome())

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        """End the exchange and report its outcome; only the first call has an effect."""
        on_outcome, self._on_outcome = self._on_outcome, None
        if on_outcome is None:
            return
        self._encoder = None
        for timer in self.timers:
            timer.cancel()
        self.server.dialing_exchanges.discard(self)
        if outcome in _ABORTING_OUTCOMES:
            self._abort()
        on_outcome(outcome, response)

    def _abort(self) -> None:
        if self.connection is not None:
            self.connection.shutdown_and_abort()
        if self.dial_task is not None:
            self.dial_task.cancel()

    def _unwritten_outcome(self) -> Outcome:
        """Return the outcome if the request was not written in time."""
        if self.connection is None and self.has_local_failure:
            return Outcome.NOT_SENT
        return Outcome.CONNECT_FAILED


def classify_outcome(
    response: Response | None, is_request_written: bool, has_protocol_error: bool
) -> Outcome:
    """Return the outcome of an exchange whose connection has reported the end of the request.

    An outcome that says that the request never ran is returned only if that is certain.

    Args:
        response: The complete response; None: there is none.
        is_request_written: Whether the last byte of the request has been handed to the kernel.  A server
            starts to process a request when it has the last byte: an earlier response belongs to another
            request.
        has_protocol_error: Whether the response is malformed, or more than one was received.  A rejection
            followed by more bytes proves nothing, as one of the two may answer the previous request.
    """
    if response is not None and response.is_rejection() and not has_protocol_error:
        return Outcome.REJECTED
    if not is_request_written:
        return Outcome.CONNECT_FAILED
    if response is None:
        # The server is reachable, even though its response is malformed.
        return Outcome.ERROR if has_protocol_error else Outcome.RESET
    return Outcome.SUCCEEDED if response.status == HTTPStatus.OK else Outcome.ERROR
