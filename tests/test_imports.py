"""Import rules between packages, and where platform protocol names may appear.

The allowed imports are read from the table in docs/design/core.md.
"""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1]
PRODUCT = ROOT / "greengageflow"
SOURCES = sorted(PRODUCT.rglob("*.py"))
PLATFORM_NAMES = re.compile(
    r"x-greengageflow|prompt-prefix|kv-fetch|keyed\.(op|servers|status)"
    r"|log-append|log-newest|log-join|cold_remaining_ms",
    re.IGNORECASE,
)
ROW = re.compile(r"^\| `(\w+)` \| [^|]+ \| ([^|]+) \|$", re.MULTILINE)


def allowed_imports() -> dict[str, frozenset[str]]:
    text = (ROOT / "docs/design/core.md").read_text()
    section = text.split("## Packages", 1)[1].split("\n## ", 1)[0]
    return {
        row[1]: frozenset(re.findall(r"`(\w+)`", row[2])) | {row[1]}
        for row in ROW.finditer(section)
    }


def top_level_name(parts: tuple[str, ...]) -> str:
    """Return the package or top-level module of a split dotted path."""
    return parts[1] if len(parts) > 1 else ""


def imported_packages(path: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.Import(names=names):
                yield from (
                    top_level_name(tuple(n.name.split(".")))
                    for n in names
                    if is_own_module(n)
                )
            case ast.ImportFrom(level=level) if level:
                yield "a relative import"
            case ast.ImportFrom(module="greengageflow", names=names):
                yield from (alias.name for alias in names)
            case ast.ImportFrom(module=str(module)) if is_own_module(ast.alias(module)):
                yield top_level_name(tuple(module.split(".")))


def is_own_module(alias: ast.alias) -> bool:
    return alias.name.split(".")[0] == "greengageflow"


def package(path: Path) -> str:
    return top_level_name(path.relative_to(ROOT).with_suffix("").parts)


def test_the_table_has_a_row_for_each_package_and_top_module():
    top = {path.stem for path in PRODUCT.glob("*.py")} - {"__init__"}
    packages = {path.parent.name for path in PRODUCT.glob("*/__init__.py")}
    assert set(allowed_imports()) == top | packages
    assert "platform" not in allowed_imports()["core"]


@pytest.mark.parametrize("path", SOURCES, ids=lambda p: str(p.relative_to(PRODUCT)))
def test_module_imports_only_allowed_packages(path):
    if path.parent == PRODUCT and path.stem == "__init__":
        assert not list(imported_packages(path))
        return
    assert set(imported_packages(path)) <= allowed_imports()[package(path)]


def test_only_the_platform_package_has_platform_names():
    outside = [path for path in SOURCES if package(path) != "platform"]
    found = [path for path in outside if PLATFORM_NAMES.search(path.read_text())]
    assert found == []


def test_lab_imports_only_names_from_the_platform_package():
    """Stand-ins that used the product's own protocol code would share its bugs."""
    sources = [path.read_text() for path in SOURCES if package(path) == "lab"]
    pattern = re.compile(r"greengageflow[. ](?:import )?platform[.\w]*")
    found = {name for text in sources for name in pattern.findall(text)}
    assert found <= {"greengageflow.platform.names"}


def test_only_the_simulated_fleet_of_the_lab_imports_the_daemon():
    lab = [path for path in SOURCES if package(path) == "lab"]
    assert {p.stem for p in lab if "daemon" in imported_packages(p)} == {
        "_gateway_world"
    }


def test_pyproject_lists_every_package():
    listed = re.findall(r'^    "(greengageflow[\w.]*)",$', _pyproject(), re.MULTILINE)
    packages = {path.parent.name for path in PRODUCT.glob("*/__init__.py")}
    assert set(listed) == {"greengageflow"} | {f"greengageflow.{p}" for p in packages}


def _pyproject() -> str:
    return (ROOT / "pyproject.toml").read_text()


@pytest.mark.parametrize("path", SOURCES, ids=lambda p: str(p.relative_to(PRODUCT)))
def test_package_does_not_import_tests(path):
    """`make demo` failed with ModuleNotFoundError: the bench imported a lab under
    tests/ through the soak, and an installed command cannot import that folder."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.Import(names=aliases):
                names |= {alias.name for alias in aliases}
            case ast.ImportFrom(module=str(module)):
                names.add(module)
            case ast.Constant(value=str(text)):
                # The name of a module that is started as a process.
                names.add(text)
    assert not [name for name in names if re.fullmatch(r"tests(\.\w+)*", name)]
