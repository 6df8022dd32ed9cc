"""Test that the pages name only tests that exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

TESTS = Path(__file__).parent
PAGES = TESTS.parents[1] / "docs"

MODULE = re.compile(r"(?<![*\w])([a-z]\w*_tests)(?:\.py)?(?=[`: ,;.)])")
TEST = re.compile(r"(?:\b(\w+_tests)\.py)?`?::(test_\w+)(…|\*)?")
"""A test with its module; the module may stand before an earlier one of the same cell. A name that
is cut short ends with an ellipsis or a star."""

DEFINITION = re.compile(r"^(?:async )?def (test_\w+)", re.MULTILINE)


def tests_by_module() -> dict[str, set[str]]:
    """Return the names of all tests by the module that defines them."""
    return {
        path.stem: set(DEFINITION.findall(path.read_text())) for path in TESTS.glob("*_tests.py")
    }


def missing_names(text: str, tests: dict[str, set[str]]) -> list[str]:
    """Return the modules and tests that a page names and that do not exist."""
    all_tests = set().union(*tests.values())
    missing = [name for name in MODULE.findall(text) if name not in tests]
    for module, name, cut in TEST.findall(text):
        known = tests.get(module, set()) if module else all_tests
        matches = [item for item in known if item == name or (cut and item.startswith(name))]
        if not matches:
            missing.append(f"{module}::{name}{cut}")
    return sorted(set(missing))


# Guards against a promise whose proof was renamed or removed without a look at the page.
@pytest.mark.parametrize("page", sorted(PAGES.rglob("*.md")), ids=lambda path: path.name)
def test_page_names_only_tests_that_exist(page: Path) -> None:
    assert missing_names(page.read_text(), tests_by_module()) == []


def test_missing_names_are_found() -> None:
    tests = {"a_tests": {"test_one", "test_other"}}
    text = "`a_tests.py::test_one`, `::test_o…`, `b_tests.py`, `a_tests.py::test_on`, `::test_x…`"
    assert missing_names(text, tests) == ["::test_x…", "a_tests::test_on", "b_tests"]
