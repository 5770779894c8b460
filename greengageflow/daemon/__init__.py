"""Daemons of the router processes."""

import sys
from types import ModuleType


def _import_circuits() -> None:
    """Import ``circuits`` without ``pkg_resources``.

    ``circuits`` imports it only to declare a namespace package, which is not used
    here. The import takes a sixth of the time that a restarted host needs until it
    serves requests.
    """
    name = "pkg_resources"
    if name in sys.modules:
        return
    stub = sys.modules[name] = ModuleType(name)
    stub.declare_namespace = lambda _package: None
    try:
        import circuits  # noqa: F401, PLC0415
    finally:
        del sys.modules[name]


_import_circuits()
