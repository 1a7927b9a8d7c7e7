"""The head of a client's request, as it is kept until the request is answered.

A parsed header takes 150 bytes of memory and more beside its text, so that a head of short headers would take
ten times its size.  Here the headers to forward are kept encoded, as one text.
"""

from __future__ import annotations

from dataclasses import dataclass

import h11

from sidecar.proxy.http_messages import HOP_BY_HOP_HEADERS
from sidecar.proxy.request_errors import AmbiguousFramingError

# A duplicate of one of these could be interpreted differently here and by a server.
_SINGLE_VALUED_HEADERS = frozenset(
    (
        b"x-call-id",
        b"x-call-class",
        b"x-caller",
        b"x-budget",
        b"x-again",
        b"x-call-cost",
        b"idempotency-key",
    )
)
_CONTENT_LENGTH = b"content-length"
_TRANSFER_ENCODING = b"transfer-encoding"
_UNFORWARDED_HEADERS = HOP_BY_HOP_HEADERS | {_CONTENT_LENGTH, b"x-budget", b"expect"}


@dataclass(slots=True)
class RequestHead:
    """The request line and the headers.

    Attributes:
        method: The HTTP method.
        target: The path and the query.
        forwarded_headers: The headers to forward, each as an encoded line with its line break.
        values: The first value of each header that must be unique, by name in lower case.
        duplicate: The name of a header that must be unique and is not; None: there is none.
        has_host: Whether there is a Host header.
        content_length: The length that the head declares; 0 if it declares none.
    """

    method: bytes
    target: bytes
    forwarded_headers: bytes
    values: dict[bytes, bytes]
    duplicate: bytes | None
    has_host: bool
    content_length: int

    @classmethod
    def from_event(cls, event: h11.Request) -> RequestHead:
        """Return the head that h11 has parsed.

        Raises:
            AmbiguousFramingError: The head declares the length of the body in two ways.
        """
        lines: list[bytes] = []
        values: dict[bytes, bytes] = {}
        head = cls(event.method, event.target, b"", values, None, False, 0)
        framing_count = 0
        is_chunked = False
        for name, value in event.headers:
            if name in _SINGLE_VALUED_HEADERS:
                if name in values:
                    head.duplicate = head.duplicate or name
                else:
                    values[name] = value
            if name not in _UNFORWARDED_HEADERS:
                lines.append(b"%b: %b\r\n" % (name, value))
                head.has_host = head.has_host or name == b"host"
            elif name == _CONTENT_LENGTH:
                head.content_length = int(value)
                framing_count += 1
            elif name == _TRANSFER_ENCODING:
                is_chunked = True
                framing_count += 1
        if is_chunked and (framing_count > 1 or event.http_version != b"1.1"):
            raise AmbiguousFramingError
        head.forwarded_headers = b"".join(lines)
        return head

    @property
    def byte_count(self) -> int:
        """The size of its text, in bytes."""
        return len(self.target) + len(self.forwarded_headers) + sum(map(len, self.values.values()))
