"""Errors about lines that violate the simulator's wire protocol."""

from __future__ import annotations

from enum import Enum, unique


class WireError(Exception):
    """A line violates the wire protocol."""


class InvalidJsonError(WireError):
    """A line is not JSON."""

    def __init__(self) -> None:
        super().__init__("the line is not JSON")


class InvalidMessageError(WireError):
    """A line is JSON, but not a message."""

    def __init__(self) -> None:
        super().__init__("a message must be an array that starts with its name")


class UnknownMessageError(WireError):
    """The protocol has no message of this name."""

    def __init__(self, name: object) -> None:
        """Create the error for the name of a message."""
        super().__init__(f"unknown message {name!r:.60}")


class MissingValuesError(WireError):
    """A message has too few values."""

    def __init__(self, name: object, expected: int, received: int) -> None:
        """Create the error from the numbers of values after the name of the message."""
        super().__init__(f"{name} needs {expected} values, {received} received")


class ShortEndpointError(WireError):
    """An entry of an endpoint list has too few values."""

    def __init__(self, expected: int, received: int) -> None:
        """Create the error from the minimum and the actual number of values."""
        super().__init__(
            f"an entry of an endpoint list needs at least {expected} values, {received} received"
        )


@unique
class ExpectedType(Enum):
    """The type that the protocol requires for a value."""

    BOOLEAN = "true or false"
    ENDPOINT = "an endpoint array"
    ENDPOINT_LIST = "an array of endpoints"
    HEX_DIGITS = "a string of hex digits"
    INTEGER = "a whole number"
    LOAD_REPORT = "a load report object"
    NUMBER = "a number"
    STRING = "a string"


class InvalidValueError(WireError):
    """A value of a message has the wrong type or format."""

    def __init__(self, expected: ExpectedType, value: object) -> None:
        """Create the error for a value of another type than expected."""
        super().__init__(f"{expected.value} is needed, not {value!r:.60}")


class UnknownEnumValueError(WireError):
    """A value is none of those that the protocol defines for its enum."""

    def __init__(self, value: object) -> None:
        """Create the error for the unknown value."""
        super().__init__(f"unknown value {value!r:.60}")


class InvalidSettingsError(WireError):
    """The settings of an instance are invalid."""

    def __init__(self, reason: Exception) -> None:
        """Create the error from the exception of the settings parser."""
        super().__init__(str(reason))


class NestedBatchError(WireError):
    """A batch starts inside another one."""

    def __init__(self) -> None:
        super().__init__("FRAME inside a batch")


class OutsideBatchError(WireError):
    """A message is outside a batch."""

    def __init__(self, name: object) -> None:
        """Create the error for the name of the message."""
        super().__init__(f"{name!r:.60} outside a batch")


class UnknownInstanceError(WireError):
    """A message is for an instance that has not been started."""

    def __init__(self, name: object, instance: str) -> None:
        """Create the error for the name of the message and its instance."""
        super().__init__(f"{name} for {instance!r:.60}, which has not been started")


class UnknownPageError(WireError):
    """A registry update refers to an endpoint list that was not received."""

    def __init__(self, page: int) -> None:
        """Create the error for the number of the list."""
        super().__init__(f"TARGETS refers to endpoint list {page}, which was not received")
