"""Errors about a configuration that can't be used, with their messages."""

from __future__ import annotations


class ConfigurationError(ValueError):
    """The configuration can't be used."""


class InvalidSettingError(ConfigurationError):
    """A key has no value, or one that makes no sense.

    Attributes:
        key: Path of the key, as the source of the configuration has it.
    """

    def __init__(self, key: str, expected: str, value: object) -> None:
        """Make the error.

        Args:
            key: Path of the key, such as `settings.guarantees.turnGapUs`.
            expected: What is needed there, such as "a whole number from 0".
            value: The value that came instead; None where there was none.
        """
        actual = "" if value is None else f", not {value!r:.60}"
        super().__init__(f"{key}: {expected} is needed{actual}")
        self.key = key


class DuplicateNameError(ConfigurationError):
    """Two entries of one list have the same name.

    Attributes:
        key: Path of the list, as the source of the configuration has it.
    """

    def __init__(self, key: str, name: str) -> None:
        """Make the error for the list at `key`, in which `name` stands more than once."""
        super().__init__(f"{key}: duplicate name {name!r:.60}")
        self.key = key
