"""Addresses that the proxy listens on or connects to: a host and a TCP port."""

from __future__ import annotations

Address = tuple[str, int]

_MAX_PORT = 65535
_MAX_QUOTED_CHARACTERS = 60


class InvalidAddressError(ValueError):
    """A string is not an address of the form ``host:port``."""

    def __init__(self, text: str) -> None:
        """Create the error.

        Args:
            text: The string that is not an address.
        """
        super().__init__(
            f"an address of the form host:port is needed, not {text!r:.{_MAX_QUOTED_CHARACTERS}}"
        )


def parse_address(text: str) -> Address:
    """Parse an address of the form ``host:port``; an IPv6 host may be enclosed in brackets.

    Args:
        text: The address as it is configured or as discovery sent it.

    Returns:
        The host, without brackets, and the port.

    Raises:
        InvalidAddressError: The host is missing, or the port is not a number from 1 to 65535.
    """
    host, separator, port = text.rpartition(":")
    if not host or not separator or not port.isdecimal():
        raise InvalidAddressError(text)
    if not 0 < int(port) <= _MAX_PORT:
        raise InvalidAddressError(text)
    return host.strip("[]"), int(port)
