"""HTTP/1.1 messages: encoding, the headers that may be forwarded, and complete responses."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

Headers = list[tuple[bytes, bytes]]

_HOP_BY_HOP_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade")
)
_REJECTION_HEADER = b"x-rejected"
_REJECTION_VALUES = [b"1"]
_REJECTION_STATUSES = (503, 504)


def forwardable_headers(headers: Iterable[tuple[bytes, bytes]], *dropped: bytes) -> Headers:
    """Return the headers that may be forwarded.

    Args:
        headers: All headers of a message, their names in lower case.
        *dropped: Names of further headers to leave out, in lower case.

    Returns:
        The headers that are neither hop-by-hop nor dropped, in their order.
    """
    return [(n, v) for n, v in headers if n not in _HOP_BY_HOP_HEADERS and n not in dropped]


def encode_message(start_line: bytes, headers: Headers, body: bytes = b"") -> bytes:
    """Encode a request or a response.

    Encoding is done here and not by h11, which only parses: at hundreds of requests a second its checks of
    outgoing messages take a good part of the CPU.  All parts are our own or were parsed by h11, so that none
    can contain the end of a line.

    Args:
        start_line: The request line or status line, without the end of the line.
        headers: Names and values, in their order.
        body: The body; the caller provides the headers that frame it.

    Returns:
        The bytes to send.
    """
    return b"\r\n".join([start_line, *[b"%b: %b" % header for header in headers], b"", body])


@dataclass(slots=True)
class Response:
    """A complete response of a server.

    Attributes:
        status: Status code.
        headers: Names, in lower case, and values.
        body: The body, without its transfer coding.
    """

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> str | None:
        """Return the first value of a header, or None if it is missing.

        Args:
            name: The header's name in lower case.
        """
        return next((v.decode("latin-1") for n, v in self.headers if n == name), None)

    def is_rejection(self) -> bool:
        """Return whether the server says, without contradiction, that it has not begun the request."""
        values = [v for n, v in self.headers if n == _REJECTION_HEADER]
        return self.status in _REJECTION_STATUSES and values == _REJECTION_VALUES
