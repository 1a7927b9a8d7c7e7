"""The bytes that the peers and the stand-in servers of a memory run send."""

from __future__ import annotations

import itertools

from scale.memory.scenario import MAX_FIELDS, MAX_SECTION_BYTES, DataKind, PeerGroup, PeerState

REQUEST_CLASS = "send"
BUDGET_S = 1.5
HANGING_PATH = "/api/hang"
_PIPELINED_BYTES = 200_000
_REJECTED_BYTES = 2_000_000
_CHUNKED_BODY_BYTES = 60_000
_SHORTEST_FIELD_BYTES = 6
_LAST_CHUNK = b"0\r\n"
_ids = itertools.count()


def fields(kind: DataKind, field_bytes: int) -> bytes:
    """Return as many header lines as a section may have, each about `field_bytes` long."""
    count = min(MAX_FIELDS - 10, MAX_SECTION_BYTES // max(field_bytes, _SHORTEST_FIELD_BYTES))
    length = max(field_bytes - _SHORTEST_FIELD_BYTES, 1)
    value = (b"w " * length)[:length].strip() or b"w"
    if kind is not DataKind.FIELDS_OF_WORDS:
        value = b"v" * length
    return b"".join(b"a%d:%b\r\n" % (number, value) for number in range(max(count, 1)))


def _section(group: PeerGroup) -> bytes:
    if group.kind in (DataKind.SHORT_FIELDS, DataKind.LONG_FIELDS, DataKind.FIELDS_OF_WORDS):
        return fields(group.kind, _SHORTEST_FIELD_BYTES if _is_short(group) else group.field_bytes)
    return b""


def _is_short(group: PeerGroup) -> bool:
    return group.kind is DataKind.SHORT_FIELDS


def chunks(chunk_bytes: int, total_bytes: int) -> bytes:
    """Return a chunked body without its last chunk."""
    size = max(min(chunk_bytes, total_bytes), 1)
    return b"%x\r\n%b\r\n" % (size, b"c" * size) * max(total_bytes // size, 1)


def request_head(path: str, prefix: str, extra: bytes, framing: bytes) -> bytes:
    """Return a request head without its last line break.

    Args:
        path: The request path; a unique last segment is added.
        prefix: Begins the request id.
        extra: Further header lines.
        framing: The header line that frames the body.
    """
    unique = f"{prefix}{next(_ids):08x}"
    lines = (
        f"POST {path}/{unique} HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: {unique}\r\n"
        f"X-Call-Class: {REQUEST_CLASS}\r\nX-Budget: {BUDGET_S}\r\n"
    )
    return lines.encode() + framing + extra


def request(group: PeerGroup, prefix: str, *, complete: bool, path: str | None = None) -> bytes:
    """Return a request of a group's kind of data; without its end unless `complete`."""
    path = path or group.server_path()
    extra = _section(group)
    if group.kind in (DataKind.CHUNKS, DataKind.TRAILERS):
        head = request_head(path, prefix, extra, b"Transfer-Encoding: chunked\r\n")
        is_chunks = group.kind is DataKind.CHUNKS
        body = chunks(min(group.field_bytes, 4_000), _CHUNKED_BODY_BYTES if is_chunks else 1)
        trailers = b"" if is_chunks else fields(group.kind, group.field_bytes)
        end = _LAST_CHUNK + trailers + b"\r\n" if complete else (b"" if is_chunks else _LAST_CHUNK + trailers)
        return head + b"\r\n" + body + end
    head = request_head(path, prefix, extra, b"Content-Length: %d\r\n" % group.body_bytes)
    return head + b"\r\n" + b"b" * (group.body_bytes if complete else group.body_bytes - 1)


def small_request(path: str, prefix: str) -> bytes:
    """Return a complete request without a body."""
    return request_head(path, prefix, b"", b"Content-Length: 0\r\n") + b"\r\n"


def peer_data(group: PeerGroup, prefix: str) -> bytes:
    """Return all that a peer sends on one connection."""
    match group.state:
        case PeerState.SILENT:
            return b""
        case PeerState.REJECTED:
            return b"no request\r\n\r\n" + b"j" * _REJECTED_BYTES
        case PeerState.HEAD_INCOMPLETE:
            extra = fields(group.kind, _SHORTEST_FIELD_BYTES if _is_short(group) else group.field_bytes)
            return request_head(HANGING_PATH, prefix, extra, b"Content-Length: 0\r\n")
        case PeerState.BODY_INCOMPLETE | PeerState.INCOMPLETE_BEHIND:
            is_behind = group.state is PeerState.INCOMPLETE_BEHIND
            first = small_request(HANGING_PATH, prefix) if is_behind else b""
            return first + request(group, prefix, complete=False)
        case PeerState.COMPLETE_BEHIND:
            return small_request(HANGING_PATH, prefix) + _pipeline(group, prefix)
        case _:
            return request(group, prefix, complete=True)


def _pipeline(group: PeerGroup, prefix: str) -> bytes:
    """Return complete requests one after the other."""
    first = request(group, prefix, complete=True)
    others = [request(group, prefix, complete=True) for _ in range(_PIPELINED_BYTES // len(first))]
    return first + b"".join(others)


def incomplete_response(kind: DataKind, field_bytes: int) -> bytes:
    """Return a response that breaks off, with as much of a kind of data as fits."""
    start = b"HTTP/1.1 200 OK\r\n"
    if kind in (DataKind.CHUNKS, DataKind.TRAILERS):
        is_chunks = kind is DataKind.CHUNKS
        body = chunks(min(field_bytes, 4_000), _CHUNKED_BODY_BYTES if is_chunks else 1)
        end = b"" if is_chunks else _LAST_CHUNK + fields(kind, field_bytes)
        return start + b"Transfer-Encoding: chunked\r\n\r\n" + body + end
    extra = b"" if kind is DataKind.BODY else fields(kind, field_bytes)
    return start + b"Content-Length: 65000\r\n" + extra + b"\r\n" + b"r" * 64_999
