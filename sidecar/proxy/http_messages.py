"""HTTP/1.1 messages: encoding, the headers that may be forwarded, and complete responses."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

Headers = list[tuple[bytes, bytes]]

HOP_BY_HOP_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade")
)
_REJECTION_HEADER = b"x-rejected"
_REJECTION_VALUES = [b"1"]
_REJECTION_STATUSES = (503, 504)
_REASON_PHRASES: dict[int, bytes] = {
    status: status.phrase.encode()
    for status in (
        HTTPStatus.OK,
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.METHOD_NOT_ALLOWED,
    )
}


def encode_message(start_line: bytes, headers: Headers, body: bytes = b"") -> bytes:
    """Encode a request or a response.

    h11 is used for parsing only: at hundreds of requests a second, its checks of outgoing messages would take
    a considerable part of the CPU time.  All parts of a message come from this program or were parsed by h11,
    so that none can contain a line break.

    Args:
        start_line: The request line or status line, without the line break.
        headers: Names and values, in their order.
        body: The body; the caller provides the headers that frame it.

    Returns:
        The bytes to send.
    """
    return b"\r\n".join([start_line, *[b"%b: %b" % header for header in headers], b"", body])


def encode_response(
    status: int, headers: Headers, body: bytes, *, close: bool, with_body: bool = True
) -> bytes:
    """Encode a response to a client.

    Args:
        status: Status code.
        headers: Names and values; those that frame the body are added.
        body: The body.
        close: Whether the connection is closed after the response.
        with_body: Whether the body is sent; it is not in the response to a HEAD request.

    Returns:
        The bytes to send.
    """
    headers = [*headers, (b"Content-Length", str(len(body)).encode())]
    if close:
        headers.append((b"Connection", b"close"))
    status_line = b"HTTP/1.1 %d %b" % (status, _REASON_PHRASES.get(status, b""))
    return encode_message(status_line, headers, body if with_body else b"")


@dataclass(slots=True)
class EncodedMessage:
    """An encoded request in two parts, so that its body need not be copied.

    Attributes:
        head: The start line and the headers; it may include the body.
        body: The rest.
    """

    head: bytes
    body: bytes = b""

    @property
    def byte_count(self) -> int:
        """The size of both parts."""
        return len(self.head) + len(self.body)


@dataclass(slots=True)
class Response:
    """A complete response of a server.

    Attributes:
        status: Status code.
        headers: Names, in lower case, and values of the headers that are read or forwarded.
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
        return next((value.decode("latin-1") for key, value in self.headers if key == name), None)

    def is_rejection(self) -> bool:
        """Return whether the server states without contradiction that it has not started the request."""
        values = [value for name, value in self.headers if name == _REJECTION_HEADER]
        return self.status in _REJECTION_STATUSES and values == _REJECTION_VALUES
