"""Reloads the configuration while the sidecar runs: a new configuration is applied, or rejected as a whole.

Settings and the discovery address take effect immediately.  Fields that are fixed at the start (`listen`,
`seed`, `limits.sockets` and `limits.memory_mb`) need a restart: a change to one of them is logged and
otherwise ignored.
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

# Backoff between attempts to read a file that could not be read.  The sidecar must know the changes at a new
# discovery address 4 s after SIGHUP.  The delays add up to 1.5 s and leave the rest for the first request to
# that address.
_RETRY_DELAYS_S = (0.1, 0.2, 0.4, 0.8)
# Fields of Config that are fixed at the start.
_RESTART_ONLY_FIELDS = ("listen", "seed", "sockets", "memory_mb")


@dataclass(frozen=True, slots=True)
class Applied:
    """The new configuration has been applied.

    Attributes:
        version: Version of the configuration, if it has one.
        changed: Names of the changed settings, and "discovery address" if that changed.
        needs_restart: Fields that differ from the initial configuration and take effect at the next start.
        duration_s: Time that reading and applying the configuration took, in seconds.
    """

    version: int | None
    changed: tuple[str, ...]
    needs_restart: tuple[str, ...]
    duration_s: float


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The new configuration equals the active one.

    Attributes:
        version: Version of the configuration, if it has one.
    """

    version: int | None


@dataclass(frozen=True, slots=True)
class Rejected:
    """The new configuration has not been applied; the previous one stays active.

    Attributes:
        reason: Why it was rejected.
        is_transient: Whether the file could not be read, so that a retry may succeed.
    """

    reason: str
    is_transient: bool = False


ReloadResult = Applied | Unchanged | Rejected


class Reloader:
    """Holds the active configuration and replaces it on a reload.

    Attributes:
        active: The active configuration.
    """

    def __init__(self, initial: Config, apply_change: Callable[[Config, Config], None]) -> None:
        """Create a reloader with the initial configuration active.

        Args:
            initial: The configuration that the sidecar was started with.
            apply_change: Applies the differences between two configurations, the old and the new one.
        """
        self._initial = initial
        self._apply_change = apply_change
        self.active = initial

    def reload(self, read_config: Callable[[], Config]) -> ReloadResult:
        """Read a configuration, apply it and log the result.

        Args:
            read_config: Reads the new configuration; if it raises OSError or ConfigurationError, the
                reload is rejected.

        Returns:
            Whether and how the configuration was replaced.
        """
        started_at = time.monotonic()
        try:
            result = self._replace(read_config(), started_at)
        except OSError as error:
            result = Rejected(str(error), is_transient=True)
        except ConfigurationError as error:
            result = Rejected(str(error))
        _log_result(result)
        return result

    def _replace(self, new: Config, started_at: float) -> ReloadResult:
        """Make a configuration the active one; if it can't be applied, restore the previous one."""
        old = self.active
        if new == old:
            return Unchanged(new.version)
        version_conflict = _version_conflict(old.version, new.version)
        if version_conflict is not None:
            return Rejected(version_conflict)
        try:
            self._apply_change(old, new)
        except Exception as error:
            log.exception("configuration version %s could not be applied", _version_text(new.version))
            self._apply_change(new, old)  # undoes what may have been applied
            return Rejected(f"it could not be applied: {error!r}")
        self.active = new
        return Applied(
            version=new.version,
            changed=_changed_parts(old, new),
            needs_restart=self._fields_needing_restart(new),
            duration_s=time.monotonic() - started_at,
        )

    def _fields_needing_restart(self, new: Config) -> tuple[str, ...]:
        return tuple(
            name for name in _RESTART_ONLY_FIELDS if getattr(new, name) != getattr(self._initial, name)
        )


class ReloadSignalHandler:
    """Reloads on each signal, with retries if the file can't be read.

    A read may fail temporarily because the process is out of file descriptors or the disk has an error.
    Without a retry the reload would be lost, as no second signal follows, and the old discovery address may
    no longer report changes.  An invalid file is not read again, because whoever corrects it sends another
    signal.
    """

    def __init__(self, reloader: Reloader, read_config: Callable[[], Config]) -> None:
        """Create a handler.

        Args:
            reloader: Holds the active configuration.
            read_config: Reads the new configuration.
        """
        self._reloader = reloader
        self._read_config = read_config
        self._retry_timer: asyncio.TimerHandle | None = None

    def handle_signal(self) -> None:
        """Reload now and cancel a pending retry; requires a running event loop."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._try_reload(_RETRY_DELAYS_S)

    def _try_reload(self, retry_delays_s: Sequence[float]) -> None:
        self._retry_timer = None
        result = self._reloader.reload(self._read_config)
        if retry_delays_s and isinstance(result, Rejected) and result.is_transient:
            delay_s, *later_delays_s = retry_delays_s
            self._retry_timer = asyncio.get_running_loop().call_later(
                delay_s, self._try_reload, later_delays_s
            )


def _version_conflict(active: int | None, new: int | None) -> str | None:
    """Return why a version may not replace the active one, or None if it may.

    Versions must increase, so that a file that arrives late does not undo a newer one.
    """
    if active is None or new is None or new > active:
        return None
    if new == active:
        return f"version {new} is already active with different contents"
    return f"version {new} is older than version {active}, which is active"


def _changed_parts(old: Config, new: Config) -> tuple[str, ...]:
    changed_parts = [
        setting.name
        for setting in fields(Settings)
        if getattr(old.settings, setting.name) != getattr(new.settings, setting.name)
    ]
    if old.discovery != new.discovery:
        changed_parts.append("discovery address")
    return tuple(changed_parts)


def _version_text(version: int | None) -> str:
    return "(none)" if version is None else str(version)


def _log_result(result: ReloadResult) -> None:
    match result:
        case Applied():
            _log_applied(result)
        case Unchanged():
            log.info("configuration version %s is already active", _version_text(result.version))
        case Rejected():
            log.error(
                "reload rejected; keeping the active configuration: %s", result.reason.replace("\n", " ")
            )


def _log_applied(result: Applied) -> None:
    changed = ", ".join(result.changed) or "nothing"
    if result.needs_restart:
        changed += f"; needs a restart: {', '.join(result.needs_restart)}"
    log.info(
        "configuration version %s applied in %.1f ms; changed: %s",
        _version_text(result.version),
        result.duration_s * 1000,
        changed,
    )
