"""The deploy file names the existing modules of the package."""

from __future__ import annotations

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
DEPLOY_FILE = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))


def modules_below(folder: str) -> set[str]:
    return {path.relative_to(ROOT).as_posix() for path in (ROOT / folder).rglob("*.py")}


def test_policy_names_every_module_of_the_balancer() -> None:
    assert set(DEPLOY_FILE["policy"]) == modules_below("sidecar/balancer")


def test_policy_and_node_name_all_modules_except_the_simulator_adapter() -> None:
    node = {path for each in DEPLOY_FILE["node"] for path in (modules_below(each) or {each})}
    named = node | set(DEPLOY_FILE["policy"])
    assert named == modules_below("sidecar") - modules_below("sidecar/simulator")


def test_policy_and_node_have_no_module_in_common() -> None:
    assert not [each for each in DEPLOY_FILE["policy"] if each.startswith(tuple(DEPLOY_FILE["node"]))]
