"""Reads HTTP/1.1 requests of a client connection, one at a time; pipelined data is kept unread."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import h11

from sidecar.proxy.incremental_parser import IncrementalParser
from sidecar.proxy.request_errors import BodyTooLargeError
from sidecar.proxy.request_head import RequestHead
from sidecar.proxy.syntax_check import DEFAULT_MAX_MATCH_BYTES

MAX_BODY_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A complete request.

    Attributes:
        head: The request line and the headers.
        body: The complete body.
    """

    head: RequestHead
    body: bytes

    @property
    def byte_count(self) -> int:
        """The size of its data."""
        return self.head.byte_count + len(self.body)

    @property
    def path(self) -> bytes:
        """The path without the query."""
        return self.head.target.partition(b"?")[0]

    @property
    def request_id(self) -> str:
        """The first value of the header with the request id, or an empty string."""
        return self.head.values.get(b"x-call-id", b"").decode("latin-1")


class RequestReader:
    """Reads one request of a connection; `start_next` proceeds to the next one.

    Attributes:
        has_backlog: Whether the last call that parsed data left some that can be parsed now.
    """

    def __init__(
        self, write: Callable[[bytes], None], max_match_bytes: int = DEFAULT_MAX_MATCH_BYTES
    ) -> None:
        """Create a reader.

        Args:
            write: Sends an interim response to the client.
            max_match_bytes: How much memory it may take to match a line, in bytes.
        """
        self._max_match_bytes = max_match_bytes
        self.has_backlog = False
        self._write = write
        self._parser = self._new_parser()
        self._head: RequestHead | None = None
        self._head_bytes = 0
        self._body = bytearray()
        self._body_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        """The memory that the received data and the request take until the request is answered."""
        return self._parser.buffered_bytes + self._head_bytes + self._body_bytes

    @property
    def unread(self) -> bytes:
        """The received data that has not been parsed as part of the request."""
        return self._parser.unparsed

    @property
    def unread_bytes(self) -> int:
        """The size of `unread`."""
        return self._parser.buffered_bytes

    @property
    def has_head(self) -> bool:
        """Whether the head of a request that has not been answered has been read."""
        return self._head is not None

    @property
    def is_head_request(self) -> bool:
        """Whether the request has the method HEAD, so that its response has no body."""
        return self._head is not None and self._head.method == b"HEAD"

    @property
    def is_complete(self) -> bool:
        """Whether the request was read completely and its connection may carry another one."""
        return self._parser.connection.their_state is h11.DONE

    def has_partial_request(self) -> bool:
        """Return whether part of a request that has not been answered has arrived."""
        return self.has_head or self.unread_bytes > 0

    def receive(self, data: bytes) -> None:
        """Add received data."""
        self._parser.receive(data)

    def read(self, max_events: int | None = None) -> ReceivedRequest | None:
        """Parse the received data, at most to the end of the request.

        Args:
            max_events: How many events to parse at most; None: as many as the request may take at once.

        Returns:
            The request, or None while it is incomplete.

        Raises:
            RequestError: The request is not allowed.
            h11.RemoteProtocolError: The data is not a valid request.
        """
        self.has_backlog = False
        for _ in range(self._parser.event_limit(max_events)):
            event = self._parser.next_event()
            if isinstance(event, h11.Request):
                self._begin(event)
            elif isinstance(event, h11.Data):
                self._add_body(event.data)
            else:
                return self._complete() if isinstance(event, h11.EndOfMessage) else None
        self.has_backlog = True
        return None

    def discard_request(self) -> None:
        """Discard the request, which has been answered."""
        self._head, self._body = None, bytearray()
        self._head_bytes = self._body_bytes = 0

    def discard_all(self) -> None:
        """Discard the request and all received data, as nothing more is read on the connection."""
        self.discard_request()
        self.discard_unread()

    def discard_unread(self) -> None:
        """Discard the received data that has not been parsed, as nothing more is read on the connection."""
        if self.unread_bytes:
            self._parser = self._new_parser()

    def start_next(self) -> None:
        """Proceed to the next request, which begins with the unread data."""
        unread = self.unread
        self._parser = self._new_parser()
        self._parser.receive(unread)

    def _new_parser(self) -> IncrementalParser:
        """Return a parser for one request."""
        return IncrementalParser(h11.SERVER, self._max_match_bytes)

    def _complete(self) -> ReceivedRequest:
        assert self._head is not None  # h11 emits it first
        request = ReceivedRequest(self._head, bytes(self._body))
        self._body = bytearray()  # the request has the only copy
        return request

    def _begin(self, event: h11.Request) -> None:
        self._head = RequestHead.from_event(event)
        self._head_bytes = self._head.byte_count
        if self._head.content_length > MAX_BODY_BYTES:
            raise BodyTooLargeError
        if self._parser.connection.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._parser.connection.send(continue_response) or b"")

    def _add_body(self, data: bytes | bytearray) -> None:
        self._body += data
        self._body_bytes += len(data)
        if self._body_bytes > MAX_BODY_BYTES:
            raise BodyTooLargeError
