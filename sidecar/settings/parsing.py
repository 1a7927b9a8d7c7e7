"""Reads settings from plain nested mappings, by the types and bounds that the model declares."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import MISSING, dataclass, fields
from enum import Enum
from functools import cache
from typing import Annotated, Any, TypeVar, get_args, get_origin, get_type_hints

from sidecar.settings.errors import DuplicateNameError
from sidecar.settings.mapping_reader import MappingReader, NameTable
from sidecar.settings.model import POSITIVE, Bounds, Limits, Prices, Rules, ServiceClass, Settings, Tenant

FIELD_NAMES = NameTable()
"""The names of a mapping whose keys are the field names."""

_Model = TypeVar("_Model")


def parse_settings(mapping: object, names: NameTable = FIELD_NAMES, path: str = "") -> Settings:
    """Read settings from plain nested mappings.

    Args:
        mapping: The mapping.  Unknown keys are ignored, and None counts as absent.
        names: The names that the mapping uses for the fields.
        path: Path of the mapping itself, for error messages.

    Returns:
        The settings.

    Raises:
        ConfigurationError: A value is invalid; the message names its key as it is in the mapping.
    """
    reader = MappingReader(mapping, names, path)
    classes = tuple(_parse_service_class(section) for section in reader.sections("classes"))
    if not classes:
        raise reader.invalid_setting("classes", "at least one class of requests")
    _require_unique(reader.path("classes"), (service_class.name for service_class in classes))
    tenants = tuple(_parse_fields(Tenant, section) for section in reader.sections("tenants"))
    _require_unique(reader.path("tenants"), (tenant.name for tenant in tenants))
    report, field_specs = reader.section("report"), _field_specs(Settings)
    return _parse_fields(
        Settings,
        reader,
        classes=classes,
        tenants=tenants,
        report_source=field_specs["report_source"].read(report, "source"),
        report_columns=field_specs["report_columns"].read(report, "columns"),
        limits=_parse_fields(Limits, reader.section("limits")),
        rules=_parse_fields(Rules, reader.section("rules")),
        prices=_parse_fields(Prices, reader.section("prices")),
    )


def _parse_service_class(reader: MappingReader) -> ServiceClass:
    """Read a class of requests; its latency target is at most its deadline, which is also the default."""
    deadline_us = reader.integer("deadline_us", bounds=POSITIVE)
    latency_target_us = reader.integer("latency_target_us", default=deadline_us, bounds=POSITIVE)
    return _parse_fields(
        ServiceClass,
        reader,
        deadline_us=deadline_us,
        latency_target_us=min(latency_target_us, deadline_us),
    )


def _require_unique(path: str, names: Iterable[str]) -> None:
    seen = set()
    for name in names:
        if name in seen:
            raise DuplicateNameError(path, name)
        seen.add(name)


@dataclass(frozen=True, slots=True)
class _FieldSpec:
    """The declaration of a field in the model.

    Attributes:
        value_type: Type of the value.
        bounds: The range of a number.
        default: Value of an absent field; None if the field is required.
    """

    value_type: object
    bounds: Bounds
    default: Any

    def read(self, reader: MappingReader, name: str) -> object:
        """Read the field from a mapping under a field name."""
        if self.value_type is bool:
            return reader.boolean(name, self.default)
        if self.value_type is int:
            return reader.integer(name, self.default, self.bounds)
        if self.value_type is float:
            return reader.number(name, self.default, self.bounds)
        if self.value_type is str:
            return reader.string(name, self.default)
        if isinstance(self.value_type, type) and issubclass(self.value_type, Enum):
            return reader.enum_member(name, self.value_type, self.default)
        if self.value_type == tuple[str, ...]:
            return reader.strings(name, self.default)
        raise NotImplementedError(self.value_type)


@cache
def _field_specs(model: type) -> dict[str, _FieldSpec]:
    """Return the declarations of the fields of a model dataclass, by field name."""
    hints = get_type_hints(model, include_extras=True)
    specs = {}
    for model_field in fields(model):
        value_type, bounds = hints[model_field.name], Bounds()
        if get_origin(value_type) is Annotated:
            value_type, bounds = get_args(value_type)
        default = None if model_field.default is MISSING else model_field.default
        specs[model_field.name] = _FieldSpec(value_type, bounds, default)
    return specs


def _parse_fields(model: type[_Model], reader: MappingReader, **parsed: object) -> _Model:
    """Create a model dataclass from the values in `parsed`, and read its other fields from a mapping."""
    hashable_model: type = model  # mypy considers type[_Model] unhashable
    values = {
        name: spec.read(reader, name)
        for name, spec in _field_specs(hashable_model).items()
        if name not in parsed
    }
    return model(**values, **parsed)
