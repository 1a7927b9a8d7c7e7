"""What a client's connection has received and not answered yet: its size, its parts, and when it arrived."""

from __future__ import annotations

import socket

from sidecar.proxy.arrival_time import ArrivalTime
from sidecar.proxy.client_transport import ClientTransport
from sidecar.proxy.request_lookahead import RequestLookahead
from sidecar.proxy.request_reader import RequestReader


class ClientBuffer(ClientTransport):
    """Base class of a client's connection, which holds the received data."""

    def __init__(self, sock: socket.socket, connected_after: float, max_match_bytes: int) -> None:
        """Create the buffer of an accepted socket, before it has a transport.

        Args:
            sock: The accepted socket.
            connected_after: Event loop time before which no data can have arrived, in seconds.
            max_match_bytes: How much memory it may take to match a line of a request, in bytes.
        """
        super().__init__(sock)
        self._arrival = ArrivalTime(connected_after)
        self._reader = RequestReader(self._write, max_match_bytes)
        self._lookahead: RequestLookahead | None = None  # None until data is pipelined
        self._discarded_bytes: int | None = None  # discarded so far; None while data is parsed

    @property
    def buffered_bytes(self) -> int:
        """The size of the data of this connection."""
        ahead_bytes = self._lookahead.buffered_bytes if self._lookahead is not None else 0
        return self._reader.buffered_bytes + ahead_bytes + self.unwritten_bytes

    def has_partial_request(self) -> bool:
        """Return whether part of a request without a response has been read."""
        return self._reader.has_partial_request()

    def on_reading_resumed(self) -> None:
        """Record that unread data has waited; called before reading goes on."""
        self._arrival.set_next_waited(has_waited=self.has_unread_data())

    def _has_backlog(self) -> bool:
        return self._discarded_bytes is None and self._reader.has_backlog

    def _update_pacing(self) -> None:
        if self._pacing is None:
            return
        was_paused = self._pacing.is_paused
        self._pacing.update()
        if was_paused and not self._pacing.is_paused:  # unread data arrived during the pause
            self.on_reading_resumed()
            self._pause_again()

    def _discard_received(self) -> None:
        """Free the received data: nothing more is parsed on this connection."""
        self._reader.discard_all()
        self._lookahead = None
