"""Looks ahead at the data that a client pipelines behind its request in flight."""

from __future__ import annotations

import h11

from sidecar.proxy.incremental_parser import IncrementalParser
from sidecar.proxy.syntax_check import DEFAULT_MAX_MATCH_BYTES


class RequestLookahead:
    """Finds out whether pipelined data begins with a complete request; parses each byte once.

    Attributes:
        has_backlog: Whether the last call of `parse` left data that can be parsed now.
    """

    def __init__(self, max_match_bytes: int = DEFAULT_MAX_MATCH_BYTES) -> None:
        """Create a lookahead that has seen no data.

        Args:
            max_match_bytes: How much memory it may take to match a line, in bytes.
        """
        self.has_backlog = False
        # None: a request is complete.
        self._parser: IncrementalParser | None = IncrementalParser(h11.SERVER, max_match_bytes)
        self._received_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        """The size of the data that it holds, in addition to what the connection has received."""
        return self._parser.buffered_bytes if self._parser is not None else 0

    def receive(self, pipelined: bytes) -> None:
        """Add the data that has been received since the last call.

        Args:
            pipelined: All data received behind the request in flight.
        """
        if self._parser is not None:
            self._parser.receive(pipelined[self._received_bytes :])
            self._received_bytes = len(pipelined)

    def parse(self, max_events: int | None = None) -> bool:
        """Parse received data; return whether the data begins with a complete request.

        Args:
            max_events: How many events to parse at most; None: as many as a request may take at once.

        Raises:
            h11.RemoteProtocolError: The data is not a valid request.
        """
        self.has_backlog = False
        if self._parser is None:
            return True
        for _ in range(self._parser.event_limit(max_events)):
            event = self._parser.next_event()
            if not isinstance(event, h11.Request | h11.Data):
                if event is h11.NEED_DATA:
                    return False
                self._parser = None  # frees the data behind the request
                return True
        self.has_backlog = True
        return False
