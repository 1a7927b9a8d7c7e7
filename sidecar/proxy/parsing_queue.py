"""Divides the time of the event loop between connections whose received data takes long to parse."""

from __future__ import annotations

import asyncio
from typing import Protocol
from weakref import WeakKeyDictionary

EVENTS_PER_TURN = 64


class DeferredParsing(Protocol):
    """Received data that has not been parsed yet."""

    def parse_deferred(self, max_events: int) -> bool:
        """Parse at most this number of events; return whether others can be parsed now."""


class ParsingQueue:
    """Lets connections parse in turn, one of them in each iteration of the event loop.

    What one peer sends then delays the data of all others, and all timers, by one turn at most, whatever the
    number of such peers.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._waiting: dict[DeferredParsing, None] = {}  # in the order of their turns
        self._is_scheduled = False

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, parsing: DeferredParsing) -> None:
        """Add a connection's data at the end, unless it is queued."""
        self._waiting.setdefault(parsing)
        self._schedule()

    def discard(self, parsing: DeferredParsing) -> None:
        """Remove a connection's data if it is queued."""
        self._waiting.pop(parsing, None)

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._is_scheduled = False
        if not self._waiting:
            return
        parsing = next(iter(self._waiting))
        del self._waiting[parsing]
        try:
            if parsing.parse_deferred(EVENTS_PER_TURN):
                self._waiting.setdefault(parsing)
        finally:
            self._schedule()


_queues: WeakKeyDictionary[asyncio.AbstractEventLoop, ParsingQueue] = WeakKeyDictionary()


def parsing_queue() -> ParsingQueue:
    """Return the queue of the running event loop, whose time it divides."""
    return _queues.setdefault(asyncio.get_running_loop(), ParsingQueue())
