"""Listen for callers before the program is loaded.

The load that it answers: all VMs have lost power and come back at once.
Loading takes a VM some tenths of a second, and until it listens its machine
refuses every connection. A caller that is refused tries again at once and at
another VM, which is no further, and has used its tries up long before the
first VM serves. Connections that wait in the listener's queue meanwhile cost
nothing, and are served as soon as the VM can, in the order in which they came.

No caller is held back by this: a VM that has loaded and can't serve says so.
"""

from __future__ import annotations

import socket

from bamboospring.plain_json import parse_plain
from bamboospring.sockets import BACKLOG
from bamboospring.sockets import bound_socket

__all__ = ["listen_early"]

CALLERS = "callers"
# What a file, its text, its shape or its port may raise if it is unusable.
UNUSABLE = (
    OSError,
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
)


def listen_early(path: str) -> socket.socket | None:
    """Listen at the address of callers that a settings file names.

    Returns None if there is anything wrong with the file or the address:
    whoever reads the settings in full says what.
    """
    try:
        with open(path, encoding="utf-8") as file:
            address = parse_plain(file.read())[CALLERS]
        sock = bound_socket(address)
    except UNUSABLE:
        return None
    sock.listen(BACKLOG)
    return sock
