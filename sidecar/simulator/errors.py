"""Errors about lines that the simulator's wire does not allow, with their messages."""

from __future__ import annotations

from enum import Enum, unique


class WireError(Exception):
    """A line that the wire does not allow."""


class InvalidJsonError(WireError):
    """A line isn't JSON."""

    def __init__(self) -> None:
        """Make the error."""
        super().__init__("this is not JSON")


class InvalidMessageError(WireError):
    """A line is JSON, but no message."""

    def __init__(self) -> None:
        """Make the error."""
        super().__init__("a message must be an array that starts with its name")


class UnknownMessageError(WireError):
    """A message has a name that the wire doesn't know."""

    def __init__(self, name: object) -> None:
        """Make the error for a message of this name."""
        super().__init__(f"unknown message {name!r:.60}")


class MissingValuesError(WireError):
    """A message has too few values."""

    def __init__(self, name: object, expected: int, received: int) -> None:
        """Make the error for a message, with the numbers of values after its name."""
        super().__init__(f"{name} needs {expected} values, {received} received")


class ShortEndpointError(WireError):
    """An entry of an endpoint list has too few values."""

    def __init__(self, expected: int, received: int) -> None:
        """Make the error from the numbers of values."""
        super().__init__(f"an entry of an endpoint list has at least {expected} values, {received} received")


@unique
class ExpectedType(Enum):
    """What the wire needs for a value."""

    BOOLEAN = "true or false"
    ENDPOINT = "an array for an endpoint"
    ENDPOINT_LIST = "an array of endpoints"
    HEX_DIGITS = "a text of hex digits"
    INTEGER = "a whole number"
    LOAD_REPORT = "an object for a load report"
    NUMBER = "a number"
    STRING = "a text"


class InvalidValueError(WireError):
    """A value of a message has another type or form."""

    def __init__(self, expected: ExpectedType, value: object) -> None:
        """Make the error for a value where something else is needed."""
        super().__init__(f"{expected.value} is needed, not {value!r:.60}")


class UnknownEnumValueError(WireError):
    """A value is none of the words that the wire has for it."""

    def __init__(self, value: object) -> None:
        """Make the error for a value."""
        super().__init__(f"unknown word {value!r:.60}")


class InvalidSettingsError(WireError):
    """The settings of an instance can't be used."""

    def __init__(self, reason: Exception) -> None:
        """Make the error from what the reader of settings raised."""
        super().__init__(str(reason))


class NestedBatchError(WireError):
    """A batch begins inside another one."""

    def __init__(self) -> None:
        """Make the error."""
        super().__init__("FRAME inside a batch")


class OutsideBatchError(WireError):
    """A message comes between two batches."""

    def __init__(self, name: object) -> None:
        """Make the error for a message of this name."""
        super().__init__(f"{name!r:.60} outside a batch")


class UnknownInstanceError(WireError):
    """A message is for an instance that has not begun."""

    def __init__(self, name: object, instance: str) -> None:
        """Make the error for a message of this name to an instance."""
        super().__init__(f"{name} for {instance!r:.60}, which has not begun")


class UnknownPageError(WireError):
    """An update names an endpoint list that did not come."""

    def __init__(self, page: int) -> None:
        """Make the error for the number of a list."""
        super().__init__(f"TARGETS names list {page}, which was not given")
