"""Reloads: a configuration that was read again is applied while the sidecar runs, or rejected.

Settings and the address of discovery take effect at once.  What is fixed at the start (`listen`, `seed` and
`limits.sockets`) needs a restart: a change of it is named in the log and otherwise ignored.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, fields

from sidecar.config import Config
from sidecar.settings import ConfigurationError, Settings

log = logging.getLogger(__name__)

# Backoff before a file that could not be read is read again: of the 4 s until changes at a new address of
# discovery count as notified, most are left to the call there.
_RETRY_DELAYS_S = (0.1, 0.2, 0.4, 0.8)
_RESTART_ONLY_FIELDS = ("listen", "seed", "sockets")  # fields of Config that are set at the start for good


@dataclass(frozen=True, slots=True)
class Applied:
    """A new configuration is in force.

    Attributes:
        version: Its version, if it has one.
        changed: Parts of the settings, and the address of discovery, that differ from what was in force.
        needs_restart: Fields that differ from those of the start and take effect at the next one.
        duration_s: How long reading and applying it took, in seconds.
    """

    version: int | None
    changed: tuple[str, ...]
    needs_restart: tuple[str, ...]
    duration_s: float


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The configuration is the same as the one in force.

    Attributes:
        version: Its version, if it has one.
    """

    version: int | None


@dataclass(frozen=True, slots=True)
class Rejected:
    """The new configuration is not applied; the one in force stays.

    Attributes:
        reason: What is wrong with the new one.
        is_transient: Whether the system failed to read the file, which may work a moment later.
    """

    reason: str
    is_transient: bool = False


ReloadResult = Applied | Unchanged | Rejected


class Reloader:
    """Holds the configuration in force and replaces it.

    Attributes:
        active: The configuration in force.
    """

    def __init__(self, initial: Config, apply_change: Callable[[Config, Config], None]) -> None:
        """Begin with the configuration of the start.

        Args:
            initial: The configuration that is in force.
            apply_change: Applies the difference between two configurations, the present one first.
        """
        self._initial = initial
        self._apply_change = apply_change
        self.active = initial

    def reload(self, read_config: Callable[[], Config]) -> ReloadResult:
        """Read a configuration and apply it; the log has one line about the result.

        Args:
            read_config: Reads the new configuration; its OSError or ConfigurationError rejects it.

        Returns:
            Whether it was applied.
        """
        started_s = time.monotonic()
        try:
            result = self._replace(read_config(), started_s)
        except OSError as error:
            result = Rejected(str(error), is_transient=True)
        except ConfigurationError as error:
            result = Rejected(str(error))
        _log_result(result)
        return result

    def _replace(self, new: Config, started_s: float) -> ReloadResult:
        old = self.active
        if new == old:
            return Unchanged(new.version)
        version_conflict = _version_conflict(old.version, new.version)
        if version_conflict is not None:
            return Rejected(version_conflict)
        try:
            self._apply_change(old, new)
        except Exception as error:
            log.exception("version %s could not be put into force", _version_text(new.version))
            self._apply_change(new, old)
            return Rejected(f"it could not be put into force: {error!r}")
        self.active = new
        return Applied(
            version=new.version,
            changed=_changed_parts(old, new),
            needs_restart=self._fields_needing_restart(new),
            duration_s=time.monotonic() - started_s,
        )

    def _fields_needing_restart(self, new: Config) -> tuple[str, ...]:
        return tuple(
            name for name in _RESTART_ONLY_FIELDS if getattr(new, name) != getattr(self._initial, name)
        )


class ReloadSignalHandler:
    """Reloads whenever a signal asks for it, with retries where the file could not be read.

    The retries guard against a moment without file descriptors or a fault of the disk: nobody signals again,
    and the old address of discovery may notify of no more changes.  A file that was read and is bad is not
    read again, as whoever completes it sends another signal.
    """

    def __init__(self, reloader: Reloader, read_config: Callable[[], Config]) -> None:
        """Make a handler.

        Args:
            reloader: Holds the configuration in force.
            read_config: Reads the new configuration.
        """
        self._reloader = reloader
        self._read_config = read_config
        self._retry: asyncio.TimerHandle | None = None

    def handle_signal(self) -> None:
        """Reload now, in place of a retry that is still pending; needs a running event loop."""
        if self._retry is not None:
            self._retry.cancel()
        self._try_reload(_RETRY_DELAYS_S)

    def _try_reload(self, retry_delays_s: Sequence[float]) -> None:
        self._retry = None
        result = self._reloader.reload(self._read_config)
        if retry_delays_s and isinstance(result, Rejected) and result.is_transient:
            delay_s, *later_delays_s = retry_delays_s
            self._retry = asyncio.get_running_loop().call_later(delay_s, self._try_reload, later_delays_s)


def _version_conflict(active: int | None, new: int | None) -> str | None:
    """Say why a version may not follow the active one: a file that comes late must not undo a newer one."""
    if active is None or new is None or new > active:
        return None
    if new == active:
        return f"version {new} is in force with other contents"
    return f"version {new} is older than version {active}, which is in force"


def _changed_parts(old: Config, new: Config) -> tuple[str, ...]:
    changed_parts = [
        setting.name
        for setting in fields(Settings)
        if getattr(old.settings, setting.name) != getattr(new.settings, setting.name)
    ]
    if old.discovery != new.discovery:
        changed_parts.append("address of discovery")
    return tuple(changed_parts)


def _version_text(version: int | None) -> str:
    return "without a number" if version is None else str(version)


def _log_result(result: ReloadResult) -> None:
    match result:
        case Applied():
            _log_applied(result)
        case Unchanged():
            log.info("configuration version %s in force already", _version_text(result.version))
        case Rejected():
            log.error("the configuration stays as it was: %s", result.reason.replace("\n", " "))


def _log_applied(result: Applied) -> None:
    changed = ", ".join(result.changed) or "nothing"
    if result.needs_restart:
        changed += f"; needs a restart: {', '.join(result.needs_restart)}"
    log.info(
        "configuration version %s in force after %.1f ms; changed: %s",
        _version_text(result.version),
        result.duration_s * 1000,
        changed,
    )
