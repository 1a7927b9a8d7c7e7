"""The errors that the parsers of settings and of the configuration file raise."""

from __future__ import annotations


class ConfigurationError(ValueError):
    """The configuration is invalid."""


class InvalidSettingError(ConfigurationError):
    """A required key is absent, or its value is invalid.

    Attributes:
        key: Path of the key, with the names that the source of the configuration uses.
    """

    def __init__(self, key: str, expected: str, value: object) -> None:
        """Create the error.

        Args:
            key: Path of the key, such as `settings.guarantees.turnGapUs`.
            expected: Description of a valid value, such as "a whole number from 0".
            value: The invalid value; None if the key is absent.
        """
        actual = "" if value is None else f", not {value!r:.60}"
        super().__init__(f"{key}: {expected} is needed{actual}")
        self.key = key


class DuplicateNameError(ConfigurationError):
    """Two entries of one list have the same name.

    Attributes:
        key: Path of the list, with the names that the source of the configuration uses.
    """

    def __init__(self, key: str, name: str) -> None:
        """Create the error for the list at `key`, which contains `name` more than once."""
        super().__init__(f"{key}: duplicate name {name!r:.60}")
        self.key = key
