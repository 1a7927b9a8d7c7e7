"""Pacing: data that takes long to parse is parsed in turns, and no more is read until that is done."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sidecar.proxy.parsing_queue import parsing_queue


class PacedReading:
    """Pauses the reading of one connection while data that it has received waits to be parsed.

    Attributes:
        is_paused: Whether reading is paused.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        has_backlog: Callable[[], bool],
        parse: Callable[[int], None],
    ) -> None:
        """Create the pacing of a connection that is being read.

        Args:
            transport: The transport of the connection.
            has_backlog: Returns whether received data can be parsed now.
            parse: Parses at most the given number of events; `update` has to be called afterwards.
        """
        self.is_paused = False
        self._transport = transport
        self._has_backlog = has_backlog
        self._parse = parse

    def update(self) -> None:
        """Pause reading if data waits to be parsed, else resume it; to be called after data was parsed."""
        if self._has_backlog():
            self.is_paused = True
            self._transport.pause_reading()
            parsing_queue().add(self)
        elif self.is_paused:
            self.is_paused = False
            self._transport.resume_reading()

    def parse_deferred(self, max_events: int) -> bool:
        """Parse at most this number of events; return whether others can be parsed now."""
        if self.is_paused:
            self._parse(max_events)
        return self.is_paused

    def stop(self) -> None:
        """Leave data that waits to be parsed, because the connection is closed."""
        self.is_paused = False
        parsing_queue().discard(self)
