"""Decodes the registry's JSON entry by entry, so that a long list is never held as one tree of objects."""

from __future__ import annotations

import json
import re
from collections.abc import Callable

from sidecar.proxy.registry_messages import (
    ENTRIES_KEY,
    RegistryResponse,
    ResolvedEndpoint,
    build_registry_response,
    parse_entry,
)

_BLANKS = re.compile(r"[ \t\n\r]*")
_DECODER = json.JSONDecoder()


class RegistryJsonError(ValueError):
    """A response of the registry is not valid JSON."""

    def __init__(self, expected: str, position: int) -> None:
        super().__init__(f"{expected} is needed at character {position}")


def decode_registry_response(body: bytes) -> RegistryResponse:
    """Decode the body of a response; an invalid entry is logged and skipped.

    Raises:
        ValueError: It is not JSON, or not an endpoint list.
    """
    text = body.decode(json.detect_encoding(body), "surrogatepass")
    start = _skip_blanks(text, 0)
    if not text.startswith("{", start):
        return build_registry_response(json.loads(text), None)
    scanner = _ObjectScanner(text, start)
    scanner.scan()
    return build_registry_response(scanner.members, scanner.entries)


class _ObjectScanner:
    """Decodes the members of one object; the entries of its endpoint list are parsed one at a time.

    Attributes:
        members: The decoded members, without the list of entries.
        entries: The parsed entries; None: there is no list of them.
    """

    def __init__(self, text: str, start: int) -> None:
        self.members: dict[str, object] = {}
        self.entries: list[ResolvedEndpoint] | None = None
        self._text = text
        self._position = start

    def scan(self) -> None:
        """Decode the whole object.

        Raises:
            ValueError: It is not valid JSON.
        """
        self._scan_items("{", "}", self._scan_member)
        if self._position < len(self._text):
            raise RegistryJsonError("end", self._position)

    def _scan_items(self, opening: str, closing: str, scan_item: Callable[[], None]) -> None:
        """Scan a sequence of items between brackets, separated by commas."""
        self._expect(opening)
        if self._accept(closing):
            return
        while True:
            scan_item()
            if self._accept(closing):
                return
            self._expect(",")

    def _scan_member(self) -> None:
        key = self._decode()
        if not isinstance(key, str):
            raise RegistryJsonError("name", self._position)
        self._expect(":")
        if key != ENTRIES_KEY:
            self.members[key] = self._decode()
        elif self._text.startswith("[", self._position):
            self.entries = []
            self._scan_items("[", "]", self._scan_entry)
        else:
            self.entries = None
            self._decode()

    def _scan_entry(self) -> None:
        assert self.entries is not None
        endpoint = parse_entry(self._decode())
        if endpoint is not None:
            self.entries.append(endpoint)

    def _decode(self) -> object:
        """Decode the value that follows."""
        value: object
        value, end = _DECODER.raw_decode(self._text, self._position)
        self._position = _skip_blanks(self._text, end)
        return value

    def _accept(self, character: str) -> bool:
        """Proceed behind a character if it follows; return whether it does."""
        if not self._text.startswith(character, self._position):
            return False
        self._position = _skip_blanks(self._text, self._position + 1)
        return True

    def _expect(self, character: str) -> None:
        if not self._accept(character):
            raise RegistryJsonError(repr(character), self._position)


def _skip_blanks(text: str, position: int) -> int:
    match = _BLANKS.match(text, position)
    return match.end() if match is not None else position
