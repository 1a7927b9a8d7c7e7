"""Looks ahead at the data that a client pipelines behind its request in flight."""

from __future__ import annotations

import h11

from sidecar.proxy.incremental_parser import IncrementalParser


class RequestLookahead:
    """Finds out whether pipelined data begins with a complete request; parses each byte once.

    Attributes:
        has_backlog: Whether the last call of `parse` left data that can be parsed now.
    """

    def __init__(self) -> None:
        """Create a lookahead that has seen no data."""
        self.has_backlog = False
        self._parser = IncrementalParser(h11.SERVER)
        self._received_bytes = 0
        self._is_complete = False

    def receive(self, pipelined: bytes) -> None:
        """Add the data that has been received since the last call.

        Args:
            pipelined: All data received behind the request in flight.
        """
        if not self._is_complete:
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
        if self._is_complete:
            return True
        for _ in range(self._parser.immediate_events if max_events is None else max_events):
            event = self._parser.next_event()
            if not isinstance(event, h11.Request | h11.Data):
                self._is_complete = event is not h11.NEED_DATA
                return self._is_complete
        self.has_backlog = True
        return False
