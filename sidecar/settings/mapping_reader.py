"""A typed reader of plain mappings, such as parsed JSON, whose errors name the path of the key."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeGuard, TypeVar

from sidecar.settings.errors import InvalidSettingError
from sidecar.settings.model import Bounds

_EnumMember = TypeVar("_EnumMember", bound=Enum)
_ROOT_SECTION = "settings"
_DEFAULT_BOUNDS = Bounds()


@dataclass(frozen=True, slots=True)
class NameTable:
    """The names that a mapping uses for fields and for enum members.

    Attributes:
        keys: Key of each field, by section and field name.  A key with a dot names a field of a nested
            object; if there is no such object, the field is absent.  In a section that isn't listed, the
            keys are the field names.
        enum_values: Value that stands for each enum member.  The member's own value is accepted, too.
    """

    keys: Mapping[str, Mapping[str, str]] = field(default_factory=dict)
    enum_values: Mapping[Enum, str] = field(default_factory=dict)

    def key(self, section: str, name: str) -> str:
        """Return the key of a field."""
        section_keys = self.keys.get(section)
        return name if section_keys is None else section_keys[name]

    def enum_value(self, member: Enum) -> str:
        """Return the value that stands for an enum member."""
        return self.enum_values.get(member, str(member.value))


class MappingReader:
    """Reads the fields of one mapping by their type.

    None counts as absent.  Every method that reads a typed value raises InvalidSettingError if the value has
    another type, is out of bounds, or is absent and has no default.
    """

    def __init__(
        self, mapping: object, names: NameTable, path: str = "", section: str = _ROOT_SECTION
    ) -> None:
        """Create a reader.

        Args:
            mapping: The mapping.
            names: The names that the mapping uses for its fields.
            path: Path of the mapping itself, for error messages; empty for the root.
            section: Section of `names` that contains its fields.

        Raises:
            InvalidSettingError: `mapping` isn't a mapping.
        """
        if not isinstance(mapping, Mapping):
            raise InvalidSettingError(path or section, "a mapping", mapping)
        self._mapping = mapping
        self._names = names
        self._path = path
        self._section = section

    def path(self, name: str) -> str:
        """Return the path of a field, with the names that the mapping uses."""
        key = self._names.key(self._section, name)
        return f"{self._path}.{key}" if self._path else key

    def value(self, name: str) -> object:
        """Return the value of a field without checks, or None if it is absent."""
        outer_key, _, inner_key = self._names.key(self._section, name).partition(".")
        value: object = self._mapping.get(outer_key)
        if not inner_key:
            return value
        return value.get(inner_key) if isinstance(value, Mapping) else None

    def section(self, name: str) -> MappingReader:
        """Return a reader of the mapping in a field; the mapping is empty if the field is absent."""
        value = self.value(name)
        return MappingReader({} if value is None else value, self._names, self.path(name), name)

    def sections(self, name: str) -> list[MappingReader]:
        """Return a reader for each mapping in the list of a field; none if the field is absent."""
        value = self.value(name)
        if value is None:
            return []
        if not isinstance(value, Sequence) or isinstance(value, str | bytes):
            raise self.invalid_setting(name, "a list")
        path = self.path(name)
        return [
            MappingReader(item, self._names, f"{path}[{index}]", name) for index, item in enumerate(value)
        ]

    def string(self, name: str, default: str | None = None) -> str:
        """Return the string in a field."""
        value = self.value(name)
        if value is None and default is not None:
            return default
        if not isinstance(value, str):
            raise self.invalid_setting(name, "a string")
        return value

    def strings(self, name: str, default: tuple[str, ...] = ()) -> tuple[str, ...]:
        """Return the list of strings in a field."""
        value = self.value(name)
        if value is None:
            return default
        if not isinstance(value, Sequence) or isinstance(value, str):
            raise self.invalid_setting(name, "a list of strings")
        if not all(isinstance(item, str) for item in value):
            raise self.invalid_setting(name, "a list of strings")
        return tuple(value)

    def boolean(self, name: str, default: bool | None = None) -> bool:
        """Return the boolean in a field."""
        value = self.value(name)
        if value is None and default is not None:
            return default
        if not isinstance(value, bool):
            raise self.invalid_setting(name, "true or false")
        return value

    def number(self, name: str, default: float | None = None, bounds: Bounds = _DEFAULT_BOUNDS) -> float:
        """Return the number in a field."""
        value = self.value(name)
        if value is None and default is not None:
            return default
        if not _is_number(value) or not bounds.low <= value <= bounds.high:
            raise self.invalid_setting(name, f"a number from {bounds.low:g} to {bounds.high:g}")
        return float(value)

    def integer(self, name: str, default: int | None = None, bounds: Bounds = _DEFAULT_BOUNDS) -> int:
        """Return the whole number in a field; 2.0 counts as one."""
        value = self.value(name)
        if value is None and default is not None:
            return default
        if not _is_number(value) or not bounds.low <= value <= bounds.high:
            raise self.invalid_setting(name, f"a whole number from {bounds.low:g}")
        if value != int(value):
            raise self.invalid_setting(name, "a whole number")
        return int(value)

    def enum_member(
        self, name: str, enum_type: type[_EnumMember], default: _EnumMember | None = None
    ) -> _EnumMember:
        """Return the enum member that the value of a field stands for."""
        value = self.value(name)
        if value is None and default is not None:
            return default
        for member in enum_type:
            if value in (self._names.enum_value(member), member.value):
                return member
        allowed = ", ".join(self._names.enum_value(member) for member in enum_type)
        raise self.invalid_setting(name, f"one of {allowed}")

    def invalid_setting(self, name: str, expected: str) -> InvalidSettingError:
        """Return the error about the invalid or missing value of a field."""
        return InvalidSettingError(self.path(name), expected, self.value(name))


def _is_number(value: object) -> TypeGuard[float]:
    return isinstance(value, int | float) and not isinstance(value, bool)
