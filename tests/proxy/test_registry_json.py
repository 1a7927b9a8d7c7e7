"""Endpoint lists are decoded entry by entry, with the same result as by the whole."""

from __future__ import annotations

import json
import tracemalloc
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sidecar.proxy.registry_json import decode_registry_response
from sidecar.proxy.registry_messages import RegistryResponse, parse_registry_response

SERVERS = 3200  # the most that a fleet has


def entry(number: int) -> dict[str, Any]:
    given = {"name": f"s-{number:08x}", "address": f"10.0.{number >> 8}.{number & 255}:8443", "zone": "a"}
    return given | {"type": "m2", "group": 3, "status": "active", "weight": 1.0, "since_ms": 0}


def outcome(decode: Any, data: bytes) -> RegistryResponse | None:
    """Return the decoded list; None: it was refused as invalid."""
    try:
        result: RegistryResponse = decode(data)
    except ValueError:
        return None
    return result


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=4),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner, max_size=3),
    max_leaves=6,
)
ENTRIES = st.one_of(st.integers(0, 9).map(entry), VALUES)
RESPONSES = st.fixed_dictionaries(
    {},
    optional={
        "index": st.integers() | VALUES,
        "snapshot": st.booleans(),
        "endpoints": st.lists(ENTRIES, max_size=4) | VALUES,
        "other": VALUES,
    },
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(value=RESPONSES | VALUES, indent=st.sampled_from([None, 0, 2]), damage=st.integers(-1, 60))
def test_decoding_by_entry_gives_what_decoding_the_whole_gives(
    value: object, indent: int | None, damage: int
) -> None:
    data = json.dumps(value, indent=indent).encode()
    if damage >= 0:
        data = data[:damage] + data[damage + 1 :]
    expected = outcome(lambda each: parse_registry_response(json.loads(each)), data)
    assert outcome(decode_registry_response, data) == expected


@pytest.mark.parametrize("data", [b"", b"{", b'{"index":1,}', b'{"endpoints":[}', b'{"index":1} x', b"\xff"])
def test_invalid_json_is_refused(data: bytes) -> None:
    with pytest.raises(ValueError, match=r".+"):
        decode_registry_response(data)


# Guards against a list that takes ten times its size in objects while it is decoded.
def test_long_list_is_not_held_as_a_tree_of_objects() -> None:
    content = {"index": 1, "snapshot": True, "endpoints": [entry(number) for number in range(SERVERS)]}
    data = json.dumps(content).encode()
    del content
    tracemalloc.start()
    try:
        response = decode_registry_response(data)
        kept_bytes, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(response.endpoints) == SERVERS
    assert peak_bytes - kept_bytes < 2 * len(data)
