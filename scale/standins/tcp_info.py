"""Reads the number of TCP segments of a connection from the `TCP_INFO` socket option of Linux."""

from __future__ import annotations

import socket
import struct

SEGMENT_HEADER_BYTES = 52  # per segment: the IPv4 header and the TCP header with its timestamp option
_SEGMENTS = struct.Struct("=II")  # tcpi_segs_out and tcpi_segs_in
_SEGMENTS_OFFSET = 136  # offset of these two fields in struct tcp_info
_TCP_INFO_BYTES = 192


def count_segments(connection: socket.socket) -> int | None:
    """Return the number of segments sent and received so far.

    Returns:
        The sum of both directions, or None if the kernel does not report it.
    """
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except OSError:
        return None
    if len(info) < _SEGMENTS_OFFSET + _SEGMENTS.size:
        return None
    sent, received = _SEGMENTS.unpack_from(info, _SEGMENTS_OFFSET)
    return int(sent) + int(received)
