"""Parses the calls of sidecars to the registry: GET requests over HTTP/1.1."""

from __future__ import annotations

import re
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import parse_qsl

PATH = "/registry/instances"
MAXIMUM_WAIT_MS = 60_000
_REQUEST_LINE = re.compile(rb"([A-Z]+) (/[!-~]*) HTTP/1\.([01])")
_HEADER_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*(.*?)[ \t]*")
_BODY_HEADERS = frozenset((b"content-length", b"transfer-encoding"))


@dataclass(frozen=True, slots=True)
class Call:
    """A parsed call."""

    after: int | None  # the response contains the changes after this version; None: a snapshot
    wait_ms: int  # how long to wait for a change if there is none
    keep_alive: bool


class MalformedCallError(Exception):
    """A request that the registry rejects; carries the status of the response."""

    def __init__(self, status: HTTPStatus) -> None:
        super().__init__(status.phrase)
        self.status = status


def parse_call(head: bytes) -> Call:
    """Parse the head of a request, without the blank line at its end.

    Raises:
        MalformedCallError: The request is not a GET as the protocol defines it.
    """
    request_line, *header_lines = head.split(b"\r\n")
    request_match = _REQUEST_LINE.fullmatch(request_line)
    if request_match is None:
        raise MalformedCallError(HTTPStatus.BAD_REQUEST)
    method, target, minor_version = request_match.groups()
    headers = {}
    for header_line in header_lines:
        header_match = _HEADER_LINE.fullmatch(header_line)
        if header_match is None:
            raise MalformedCallError(HTTPStatus.BAD_REQUEST)
        headers[header_match[1].lower()] = header_match[2]
    if method != b"GET":
        raise MalformedCallError(HTTPStatus.METHOD_NOT_ALLOWED)
    has_body = not _BODY_HEADERS.isdisjoint(headers)
    if has_body or (minor_version == b"1" and b"host" not in headers):
        raise MalformedCallError(HTTPStatus.BAD_REQUEST)
    path, _, query = target.decode("ascii").partition("?")
    if path != PATH:
        raise MalformedCallError(HTTPStatus.NOT_FOUND)
    after, wait_ms = _parse_query(query)
    keep_alive = minor_version == b"1" and headers.get(b"connection", b"").lower() != b"close"
    return Call(after, wait_ms, keep_alive)


def _parse_query(query: str) -> tuple[int | None, int]:
    try:
        values = {name: int(value) for name, value in parse_qsl(query, strict_parsing=bool(query))}
    except ValueError as error:
        raise MalformedCallError(HTTPStatus.BAD_REQUEST) from error
    after, wait_ms = values.get("after"), values.get("wait_ms", 0)
    if values.keys() - {"after", "wait_ms"} or wait_ms < 0 or (after is None and wait_ms):
        raise MalformedCallError(HTTPStatus.BAD_REQUEST)
    return after, min(wait_ms, MAXIMUM_WAIT_MS)
