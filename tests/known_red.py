"""Tests that fail because of a known fault: KNOWN-RED.txt lists each with a line `pytest NODE-ID`."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import pytest

_LIST = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
_PREFIX = "pytest "


def listed_node_ids() -> set[str]:
    """Return the node ids of the listed tests."""
    lines = _LIST.read_text(encoding="utf-8").splitlines()
    return {line.removeprefix(_PREFIX).strip() for line in lines if line.startswith(_PREFIX)}


def mark_known_red(items: Sequence[pytest.Item]) -> None:
    """Let exactly the listed tests fail without failing the run; pytest prints each as xfailed or xpassed."""
    listed = listed_node_ids()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=False))
