"""Parses HTTP/1.1 messages in steps of bounded cost.

The cost of parsing depends on the number of chunks and header lines rather than on the number of bytes, and
one read of 64 KiB may hold 11,000 chunks.
"""

from __future__ import annotations

import sys

import h11

from sidecar.proxy.syntax_check import DEFAULT_MAX_MATCH_BYTES, SyntaxCheck, is_chunked

_MAX_SECTION_BYTES = 64 * 1024  # of a head, a trailer section or the line ahead of a chunk
# One step parses a whole head or trailer section.  A small piece keeps the lines in it near their limit.
_PIECE_BYTES = 4 * 1024
# How many events of a message its connection may parse at once; the shared parsing queue paces the rest.
_IMMEDIATE_EVENTS = 32
_LONG_HEAD_BYTES = 16 * 1024  # matching its lines may take milliseconds; it takes a turn
_EMPTY_LINE = b"\n\r\n"
_MAX_REASON_LENGTH = 200  # characters of h11's reason for an error, which may quote a whole line
_HEADS = (h11.Request, h11.Response)

Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class IncrementalParser:
    """Parses one message; feeds h11 with a small piece of the received data at a time.

    Attributes:
        connection: The h11 connection; data for it must pass through this parser.
    """

    def __init__(
        self, our_role: type[h11.CLIENT | h11.SERVER], max_match_bytes: int = DEFAULT_MAX_MATCH_BYTES
    ) -> None:
        """Create a parser that has received no data.

        Args:
            our_role: h11.SERVER to parse a request, h11.CLIENT to parse a response.
            max_match_bytes: How much memory one step may take to match a line, in bytes.
        """
        self.connection = h11.Connection(our_role, max_incomplete_event_size=_MAX_SECTION_BYTES)
        self._is_request = our_role is h11.SERVER
        self._syntax = SyntaxCheck(our_role, max_match_bytes)
        self._pending = bytearray()  # received and not yet passed to h11
        self._needs_data = True
        self._piece_bytes = _PIECE_BYTES
        self._event_count = 0
        self._passed_bytes = 0  # to h11

    @property
    def unparsed(self) -> bytes:
        """The received data that is not part of the events so far."""
        data, _ = self.connection.trailing_data
        return data + self._pending

    @property
    def buffered_bytes(self) -> int:
        """The size of the received data that is not part of the events so far."""
        return len(self.connection.trailing_data[0]) + len(self._pending)

    def event_limit(self, max_events: int | None) -> int:
        """Return `max_events`; if that is None, how many more events may be parsed without a turn."""
        if max_events is None:
            received_bytes = self._passed_bytes + len(self._pending)
            if received_bytes >= _LONG_HEAD_BYTES and self._begins_with_long_head():
                return 0
            return max(_IMMEDIATE_EVENTS - self._event_count, 0)
        return max_events

    def _begins_with_long_head(self) -> bool:
        """Return whether the head of a request that takes long to match may be complete now."""
        if not self._is_request or self._event_count:
            return False
        return self._pending.find(_EMPTY_LINE, 0, _LONG_HEAD_BYTES) < 0

    def receive(self, data: bytes) -> None:
        """Add received data."""
        self._pending += data

    def receive_end(self) -> None:
        """Record that the peer sends no more data."""
        if self._pending:
            self.connection.receive_data(self._take_pending(len(self._pending)))
        self.connection.receive_data(b"")

    def next_event(self) -> Event:
        """Parse the next event.

        Returns:
            The event; as in h11, NEED_DATA if it has not been received completely, and PAUSED if the message
            is complete and data follows.

        Raises:
            h11.RemoteProtocolError: The data is not a valid message, or exceeds a limit.
        """
        while True:
            if self._needs_data and self._pending:
                self.connection.receive_data(self._take_pending(self._piece_bytes))
            if self._syntax.is_due:
                self._syntax.check(self.connection.trailing_data[0])
            event = self._parse()
            self._needs_data = event is h11.NEED_DATA
            if not self._needs_data:
                self._event_count += 1
                self._syntax.on_event(event)
                break
            if not self._pending:
                break
        if self._pending and isinstance(event, _HEADS) and not is_chunked(event):
            self._piece_bytes = sys.maxsize  # one step takes all of its body
        return event

    def _parse(self) -> Event:
        """Parse the next event, and keep none of the data if there is an error.

        The error that h11 raises is part of a reference cycle with its frames, which hold the data.
        """
        try:
            return self.connection.next_event()
        except h11.RemoteProtocolError as error:
            error.__traceback__ = None
            reason = str(error)
        raise h11.RemoteProtocolError(reason[:_MAX_REASON_LENGTH])

    def _take_pending(self, byte_count: int) -> bytes:
        self._passed_bytes += min(byte_count, len(self._pending))
        if len(self._pending) <= byte_count:
            piece = bytes(self._pending)
            self._pending.clear()
            return piece
        piece = bytes(self._pending[:byte_count])
        del self._pending[:byte_count]
        return piece
