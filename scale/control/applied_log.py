"""Which version of the registry a sidecar held when."""

from __future__ import annotations

from array import array
from bisect import bisect_left


class AppliedLog:
    """The versions that one sidecar put into force, with the moments; compact, as there are thousands."""

    def __init__(self) -> None:
        self._versions = array("q")
        self._times_s = array("d")

    def add(self, version: int, at_s: float) -> None:
        """Note that a version was put into force at a moment of the monotonic clock."""
        self._versions.append(version)
        self._times_s.append(at_s)

    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self._versions[-1] if self._versions else 0

    def delay_until_applied(self, version: int, committed_at_s: float) -> float | None:
        """Seconds from a commit until its version, or a newer one, was in force; None: not yet.

        Versions only grow here: a registry whose versions go back is none that these experiments have.
        """
        start = max(bisect_left(self._versions, version), bisect_left(self._times_s, committed_at_s))
        return self._times_s[start] - committed_at_s if start < len(self._times_s) else None
