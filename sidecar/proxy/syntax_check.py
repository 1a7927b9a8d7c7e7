"""Rejects malformed or too many lines of HTTP/1.1 messages before h11 matches them.

h11 matches a header line and the line ahead of a chunk with regular expressions.  Where such a line does not
match, the time that they take may grow with the square of the number of its blanks.  The lines that pass this
check are matched in linear time, and h11 finds all their other errors.  The memory of a match grows with the
words of a header line and with the length of a status line, so these are limited, too.
"""

from __future__ import annotations

import re
from enum import Enum, auto

import h11

MAX_HEADERS = 256
_HEADS = (h11.Request, h11.Response)
_EVENTS_WITH_HEADERS = (*_HEADS, h11.InformationalResponse, h11.EndOfMessage)
_MAX_STATUS_LINE_BYTES = 8 * 1024
DEFAULT_MAX_MATCH_BYTES = 16 * 1024 * 1024  # no section is so large that its match takes more
# What h11 takes for a moment while it matches a line.
_MATCH_BYTES_PER_WORD = 350
_MATCH_BYTES_PER_STATUS_BYTE = 250
_SHORTEST_WORD_BYTES = 2  # with the blank before it
_LINE_START = re.compile(rb"\n(?![ \t])")  # a line that begins with a blank continues the one before it
_FORBIDDEN_BYTES = b"\x00\x0b\x0c"
_LINE_BREAK = b"\r\n"
_EMPTY_LINES = (b"\n", _LINE_BREAK)
_SECTION_END = b"\n\r\n"
_SHORTER_SECTION_END = b"\n\n"
_TRANSFER_ENCODING = b"transfer-encoding"
_CHUNK_FOOTER = re.compile(rb"\r?\n?")  # the line break after a chunk; h11 may have consumed a part of it
_LAST_CHUNK_SIZE = re.compile(rb"0+[; \t\r]")


class _Part(Enum):
    """The part of a message that follows."""

    HEAD = auto()
    CHUNK_HEADER = auto()  # the line ahead of a chunk
    TRAILERS = auto()
    CONTENT = auto()  # arbitrary bytes, up to the end of the message or of the chunk


class SyntaxCheck:
    """Checks the lines of one message; it has to see all data that h11 holds before h11 parses it."""

    def __init__(
        self, our_role: type[h11.CLIENT | h11.SERVER], max_match_bytes: int = DEFAULT_MAX_MATCH_BYTES
    ) -> None:
        """Create the check of a message that begins with its head.

        Args:
            our_role: h11.SERVER to check a request, h11.CLIENT to check a response.
            max_match_bytes: How much memory the match of one line may take, in bytes.
        """
        self._max_words = max_match_bytes // _MATCH_BYTES_PER_WORD
        self._max_status_bytes = min(_MAX_STATUS_LINE_BYTES, max_match_bytes // _MATCH_BYTES_PER_STATUS_BYTE)
        self._is_response = our_role is h11.CLIENT
        self._part = _Part.HEAD
        self._checked_bytes = 0  # of the section that h11 holds until it is complete
        self._names_transfer_encoding = False  # looked for in the text, as few messages have this header

    @property
    def is_due(self) -> bool:
        """Whether lines follow, so that the next data has to be checked."""
        return self._part is not _Part.CONTENT

    def check(self, data: bytes) -> None:
        """Check the data that h11 holds, up to the end of the part that follows.

        Raises:
            h11.RemoteProtocolError: A line is malformed or too long, or there are too many.
        """
        if self._part is _Part.CHUNK_HEADER:
            self._check_chunk_header(data)
        elif self._part is not _Part.CONTENT:
            self._check_section(data)

    def on_event(self, event: h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]) -> None:
        """Proceed to the part that follows an event.

        Raises:
            h11.RemoteProtocolError: The event has too many headers.
        """
        self._checked_bytes = 0
        if isinstance(event, h11.Data):
            self._part = _Part.CHUNK_HEADER if event.chunk_end else _Part.CONTENT
            return
        if not isinstance(event, _EVENTS_WITH_HEADERS):
            return
        if len(event.headers) > MAX_HEADERS:
            raise _TooManyHeadersError
        if isinstance(event, _HEADS):
            is_body_in_chunks = self._names_transfer_encoding and is_chunked(event)
            self._part = _Part.CHUNK_HEADER if is_body_in_chunks else _Part.CONTENT
        elif isinstance(event, h11.EndOfMessage):
            self._part = _Part.CONTENT

    def _check_chunk_header(self, data: bytes) -> None:
        """Check the line ahead of a chunk, and the trailers if it is the last one."""
        footer = _CHUNK_FOOTER.match(data)
        start = footer.end() if footer else 0
        end = data.find(_LINE_BREAK, start)
        if data.find(b"\n", start, end if end >= 0 else len(data)) >= 0:
            raise _MalformedLineError
        if end < 0:
            return
        if _LAST_CHUNK_SIZE.match(data, start):
            self._part = _Part.TRAILERS
            self._check_section(data[end + len(_LINE_BREAK) :])
            self._checked_bytes = 0  # h11 removes the line ahead of the trailers
        else:
            self._part = _Part.CONTENT

    def _check_section(self, data: bytes) -> None:
        """Check a head or a trailer section, as far as it has been received."""
        if data.startswith(_EMPTY_LINES):
            return
        end = _find_section_end(data, max(self._checked_bytes - 2, 0))
        _check_characters(data[max(self._checked_bytes - 1, 0) : end])
        if end is None and data.count(b"\n") > MAX_HEADERS:
            raise _TooManyHeadersError
        if self._is_response and self._part is _Part.HEAD:
            _check_status_line(data, self._max_status_bytes)
        if end is not None and end >= self._max_words * _SHORTEST_WORD_BYTES:
            self._check_words(data[:end])
        self._checked_bytes = len(data) if end is None else end
        if end is not None and self._part is _Part.HEAD:
            self._names_transfer_encoding = _TRANSFER_ENCODING in data[:end].lower()

    def _check_words(self, section: bytes) -> None:
        """Check that no line has too many words."""
        for line in _LINE_START.split(section):
            if line.count(b" ") + line.count(b"\t") > self._max_words:
                raise _TooManyWordsError(self._max_words)


class _MalformedLineError(h11.RemoteProtocolError):
    """A line contains a character that none may contain, or a line break in the wrong place."""

    def __init__(self) -> None:
        super().__init__("illegal character in a header line")


class _TooManyHeadersError(h11.RemoteProtocolError):
    """A head or a trailer section has too many lines."""

    def __init__(self) -> None:
        super().__init__(f"more than {MAX_HEADERS} headers")


class _TooManyWordsError(h11.RemoteProtocolError):
    """A header line has more words than there is memory to match."""

    def __init__(self, max_words: int) -> None:
        super().__init__(f"more than {max_words} words in a header line")


class _StatusLineTooLongError(h11.RemoteProtocolError):
    """The first line of a response is too long."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"status line longer than {max_bytes} bytes")


def is_chunked(head: h11.Request | h11.Response) -> bool:
    """Return whether a message's body comes in chunks."""
    return any(name == b"transfer-encoding" for name, _ in head.headers)


def _find_section_end(data: bytes, start: int) -> int | None:
    """Return the position behind the empty line that ends a section; None: it has not been received."""
    end, shorter_end = data.find(_SECTION_END, start), data.find(_SHORTER_SECTION_END, start)
    if shorter_end >= 0 and (end < 0 or shorter_end < end):
        return shorter_end + len(_SHORTER_SECTION_END)
    return end + len(_SECTION_END) if end >= 0 else None


def _check_characters(lines: bytes) -> None:
    """Check that lines contain none of the bytes that no line may contain.

    Each CR has to belong to a line break; one at the end may still do so.
    """
    if len(lines.translate(None, _FORBIDDEN_BYTES)) != len(lines):
        raise _MalformedLineError
    if lines.count(b"\r") - lines.endswith(b"\r") != lines.count(_LINE_BREAK):
        raise _MalformedLineError


def _check_status_line(data: bytes, max_bytes: int) -> None:
    if len(data) > max_bytes and data.find(b"\n", 0, max_bytes + 1) < 0:
        raise _StatusLineTooLongError(max_bytes)
