"""Counts the TCP segments of a connection, as reported by Linux's `TCP_INFO`."""

from __future__ import annotations

import socket
import struct

SEGMENT_HEADER_BYTES = 52  # of IPv4 and of TCP with time stamps, for each segment
_SEGMENTS = struct.Struct("=II")  # tcpi_segs_out and tcpi_segs_in
_SEGMENTS_OFFSET = 136  # of these two in struct tcp_info
_TCP_INFO_BYTES = 192


def count_segments(connection: socket.socket) -> int | None:
    """Count the segments sent and received so far.

    Returns:
        The sum of both directions, or None if the kernel does not report them.
    """
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except OSError:
        return None
    if len(info) < _SEGMENTS_OFFSET + _SEGMENTS.size:
        return None
    sent, received = _SEGMENTS.unpack_from(info, _SEGMENTS_OFFSET)
    return int(sent) + int(received)
