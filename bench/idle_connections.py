"""Memory of one process for each idle connection of a caller.

Opens connections to one entry in steps, each with a session that has sent
one statement, and reads the process's memory when they are idle. Steps stop
at the process's own limit of open files, which is not raised.

    python bench/idle_connections.py
"""

from __future__ import annotations

import json
import resource
import socket
import time
from typing import Any

import support

STEPS = (0, 1_000, 2_000, 4_000, 8_000, 16_000)
SPARE_FILES = 200


def open_one(entry: str, request: bytes) -> socket.socket:
    host, port = entry.rsplit(":", 1)
    sock = socket.create_connection((host, int(port)), timeout=10)
    sock.sendall(request)
    while b'"outcome"' not in sock.recv(65536):
        pass
    return sock


def request_for(fleet: Any, entry: str) -> bytes:
    session = support.call_json(
        entry, "POST", "/v1/sessions", {"caller": "idle"}
    )
    body = json.dumps(
        {
            "token": session["token"],
            "group": support.GROUP,
            "kind": "read",
            "sql": support.READ,
            "params": [],
            "deadline_ms": 2000,
        }
    )
    head = "POST /v1/statements HTTP/1.1\r\nHost: x\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n{body}").encode()


def main() -> None:
    soft, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    largest = min(soft, 65_536) - SPARE_FILES
    fleet = support.start(vms=4, slots=30, connections=60)
    socks: list[socket.socket] = []
    steps = []
    try:
        name = fleet.not_holders(support.GROUP)[0]
        pid = fleet.process(name).pid
        entry = fleet.vms[name].entry
        request = request_for(fleet, entry)
        for step in STEPS:
            if step > largest:
                break
            while len(socks) < step:
                socks.append(open_one(entry, request))
            time.sleep(2)
            found = support.memory_kb(pid)
            steps.append({"connections": step, **found})
        before = support.processor_seconds(pid)
        time.sleep(5)
        idle = (support.processor_seconds(pid) - before) / 5
    finally:
        for sock in socks:
            sock.close()
        fleet.close()
    first, last = steps[1], steps[-1]
    added = last["connections"] - first["connections"]
    slope = (last["RssAnon"] - first["RssAnon"]) / max(1, added)
    result = {
        "steps": steps,
        "kb_per_idle_connection": round(slope, 2),
        "open_files_limit": soft,
        "processor_share_idle_percent": round(idle * 100, 2),
    }
    support.write("idle_connections", result)
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
