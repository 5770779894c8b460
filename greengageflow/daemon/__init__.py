"""The router programs."""

import sys
from types import ModuleType


def _import_circuits() -> None:
    """Import ``circuits`` without ``pkg_resources``.

    It is imported there for a namespace that nobody needs, and takes a sixth of the
    time in which a host that was restarted begins to serve.
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
