"""Tables and rates that must be adapted when the settings change."""

from collections.abc import Callable
from typing import Any, TypeVar

from sidecar.balancer.state.statistics import DecayingRate

Key = TypeVar("Key")
Value = TypeVar("Value")


def evict(table: dict[Key, Any], is_kept: Callable[[Key], bool]) -> None:
    """Delete the entries of a table whose keys do not fulfil a predicate."""
    evicted = [key for key in table if not is_kept(key)]
    for key in evicted:
        del table[key]


class SettingsBoundState:
    """Creates tables and rates, and adapts all of them when the settings change."""

    def __init__(self) -> None:
        self._tables: list[tuple[dict[Any, Any], Callable[[Any], bool]]] = []
        self._rates: list[tuple[DecayingRate, Callable[[], float]]] = []

    def new_table(self, is_kept: Callable[[Key], bool]) -> dict[Key, Value]:
        """Create a table whose keys depend on the classes or tenants of the settings.

        Args:
            is_kept: Returns whether the entry of a key is kept under the settings in force at the time of the
                call.
        """
        table: dict[Key, Value] = {}
        self._tables.append((table, is_kept))
        return table

    def new_rate(self, span_us: Callable[[], float]) -> DecayingRate:
        """Create a rate.

        Args:
            span_us: Returns the time span to average over, in microseconds, under the settings in force at
                the time of the call.
        """
        rate = DecayingRate(span_us())
        self._rates.append((rate, span_us))
        return rate

    def settings_changed(self) -> None:
        """Evict table entries that the new settings do not keep, and change the time spans of the rates."""
        for table, is_kept in self._tables:
            evict(table, is_kept)
        for rate, span_us in self._rates:
            rate.set_span(span_us())
