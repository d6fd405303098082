"""The classes of `circuits`, imported without a scan of all packages.

`circuits` declares its namespace with `pkg_resources`, which scans every
installed package when it is imported. Callers wait while a VM starts, and the
scan takes a fifth of the startup time (`python3 -X importtime`). All modules
import `circuits` through this one.
"""

from __future__ import annotations

import sys
import types

__all__ = ["BaseComponent", "Component", "Event", "handler"]

NAMESPACE_MODULE = "pkg_resources"


def _load() -> types.ModuleType:
    """Import `circuits` with a stub of `pkg_resources` unless that is loaded.

    The stub is removed again, because no other module must find it. The
    namespace needs no declaration, because all of it is in one directory.
    """
    if NAMESPACE_MODULE not in sys.modules:
        stub = types.ModuleType(NAMESPACE_MODULE)
        setattr(stub, "declare_namespace", lambda name: None)
        sys.modules[NAMESPACE_MODULE] = stub
    else:
        stub = None
    try:
        import circuits
    finally:
        if stub is not None:
            del sys.modules[NAMESPACE_MODULE]
    return circuits


_load()

from circuits import BaseComponent  # noqa: E402
from circuits import Component  # noqa: E402
from circuits import Event  # noqa: E402
from circuits import handler  # noqa: E402
