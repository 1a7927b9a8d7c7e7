"""Reloads: a configuration that was read anew is put into force while the sidecar runs, or rejected.

Settings and the address of discovery take force at once.  What is bound to the start (`listen`, `seed` and
`limits.sockets`) needs a restart: a change of it is named in the log and otherwise left alone.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, fields

from sidecar.proxy.driver import Config
from sidecar.settings import ConfigurationError, Settings

log = logging.getLogger(__name__)

# Waits before a file that could not be read is read again: of the 4 s until changes at a new address of
# discovery count as notified, most are left to the call there.
_RETRIES_S = (0.1, 0.2, 0.4, 0.8)
_RESTART_ONLY = ("listen", "seed", "sockets")  # fields of Config that are set at the start for good


@dataclass(frozen=True, slots=True)
class Applied:
    """A configuration is in force."""

    version: int | None
    changed: tuple[str, ...]  # discovery and the parts of the settings that differ from what was in force
    needs_restart: tuple[str, ...]  # fields that differ from those of the start
    took_s: float


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The configuration says what is in force already."""

    version: int | None


@dataclass(frozen=True, slots=True)
class Rejected:
    """The configuration in force stays."""

    reason: str
    unread: bool = False  # whether the system failed to read the file, which may work a moment later


Reload = Applied | Unchanged | Rejected


class Reloader:
    """Holds the configuration in force and replaces it.

    `apply` puts the difference between two configurations, the former first, into force.
    """

    def __init__(self, started: Config, apply: Callable[[Config, Config], None]) -> None:
        self._started = started
        self._apply = apply
        self.active = started

    def reload(self, read: Callable[[], Config]) -> Reload:
        """Read a configuration and put it into force; the log has one line on what came of it."""
        began = time.monotonic()
        try:
            result = self._replace(read(), began)
        except OSError as fault:
            result = Rejected(str(fault), unread=True)
        except ConfigurationError as bad:
            result = Rejected(str(bad))
        _log(result)
        return result

    def _replace(self, given: Config, began: float) -> Reload:
        former = self.active
        if given == former:
            return Unchanged(given.version)
        reason = _conflict(former.version, given.version)
        if reason is not None:
            return Rejected(reason)
        try:
            self._apply(former, given)
        except Exception as defect:
            log.exception("version %s could not be put into force", _name(given.version))
            self._apply(given, former)
            return Rejected(f"it could not be put into force: {defect!r}")
        self.active = given
        needs_restart = tuple(
            name for name in _RESTART_ONLY if getattr(given, name) != getattr(self._started, name)
        )
        return Applied(given.version, _changed(former, given), needs_restart, time.monotonic() - began)


class ReloadSignal:
    """Reloads whenever a signal asks for it, and again where the file could not be read.

    Guards against a moment without descriptors or a fault of the disk: nobody signals again, and the former
    address of discovery may tell of no more changes.  A file that was read and is bad is not read again, as
    whoever completes it signals anew.
    """

    def __init__(self, reloader: Reloader, read: Callable[[], Config]) -> None:
        self._reloader = reloader
        self._read = read
        self._retry: asyncio.TimerHandle | None = None

    def received(self) -> None:
        """Reload now; this takes the place of a retry that is still to come."""
        if self._retry is not None:
            self._retry.cancel()
        self._attempt(_RETRIES_S)

    def _attempt(self, retries_s: Sequence[float]) -> None:
        self._retry = None
        result = self._reloader.reload(self._read)
        if retries_s and isinstance(result, Rejected) and result.unread:
            wait_s, *later_s = retries_s
            self._retry = asyncio.get_running_loop().call_later(wait_s, self._attempt, later_s)


def _conflict(active: int | None, given: int | None) -> str | None:
    """Why a version may not follow the active one: a file that comes late must not undo a newer one."""
    if active is None or given is None or given > active:
        return None
    if given == active:
        return f"version {given} is in force with other contents"
    return f"version {given} is older than version {active}, which is in force"


def _changed(former: Config, given: Config) -> tuple[str, ...]:
    names = [
        each.name
        for each in fields(Settings)
        if getattr(former.settings, each.name) != getattr(given.settings, each.name)
    ]
    if former.discovery != given.discovery:
        names.append("address of discovery")
    return tuple(names)


def _name(version: int | None) -> str:
    return "without a number" if version is None else str(version)


def _log(result: Reload) -> None:
    match result:
        case Applied():
            changed = ", ".join(result.changed) or "nothing"
            version, took_ms = _name(result.version), result.took_s * 1000
            if result.needs_restart:
                changed += f"; needs a restart: {', '.join(result.needs_restart)}"
            log.info(
                "configuration version %s in force after %.1f ms; changed: %s", version, took_ms, changed
            )
        case Unchanged():
            log.info("configuration version %s in force already", _name(result.version))
        case Rejected():
            log.error("the configuration stays as it was: %s", result.reason.replace("\n", " "))
