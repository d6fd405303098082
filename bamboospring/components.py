"""The base library's components, loaded without a scan of all packages.

`circuits` declares its namespace by `pkg_resources`, which for that looks at
every package installed on the machine. While a VM starts its callers wait, and
the scan takes a fifth of that time (`python3 -X importtime`). Everything here
imports `circuits` through this module.
"""

from __future__ import annotations

import sys
import types

__all__ = ["BaseComponent", "Component", "Event", "handler"]

SCANNER = "pkg_resources"


def _load() -> types.ModuleType:
    """Import `circuits`, with a stand-in for the scan if none was made yet.

    Nothing else is meant to find the stand-in, so it is taken away again. The
    namespace itself needs no declaring: all of it is in one place.
    """
    if SCANNER not in sys.modules:
        stand_in = types.ModuleType(SCANNER)
        setattr(stand_in, "declare_namespace", lambda name: None)
        sys.modules[SCANNER] = stand_in
    else:
        stand_in = None
    try:
        import circuits
    finally:
        if stand_in is not None:
            del sys.modules[SCANNER]
    return circuits


_load()

from circuits import BaseComponent  # noqa: E402
from circuits import Component  # noqa: E402
from circuits import Event  # noqa: E402
from circuits import handler  # noqa: E402
