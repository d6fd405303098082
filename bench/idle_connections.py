"""Measure the memory that an entry uses for each idle caller connection.

Opens connections to one entry in steps, each with a session that has sent
one statement, and reads the memory of the entry's process while they are idle.
Steps above this process's limit of open files are skipped; the limit is not
raised.

    python bench/idle_connections.py
"""

from __future__ import annotations

import json
import resource
import socket
import time
from typing import Any

import support

CONNECTION_STEPS = (0, 1_000, 2_000, 4_000, 8_000, 16_000)
RESERVED_FILES = 200


def open_session_connection(entry: str, request: bytes) -> socket.socket:
    host, port = entry.rsplit(":", 1)
    sock = socket.create_connection((host, int(port)), timeout=10)
    sock.sendall(request)
    while b'"outcome"' not in sock.recv(65536):
        pass
    return sock


def build_request(fleet: Any, entry: str) -> bytes:
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
    max_connections = min(soft, 65_536) - RESERVED_FILES
    fleet = support.start(vms=4, slots=30, connections=60)
    socks: list[socket.socket] = []
    steps = []
    try:
        name = fleet.not_holders(support.GROUP)[0]
        pid = fleet.process(name).pid
        entry = fleet.vms[name].entry
        request = build_request(fleet, entry)
        for step in CONNECTION_STEPS:
            if step > max_connections:
                break
            while len(socks) < step:
                socks.append(open_session_connection(entry, request))
            time.sleep(2)
            memory = support.memory_kb(pid)
            steps.append({"connections": step, **memory})
        before = support.processor_seconds(pid)
        time.sleep(5)
        idle_processor_share = (support.processor_seconds(pid) - before) / 5
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
        "processor_share_idle_percent": round(idle_processor_share * 100, 2),
    }
    support.write("idle_connections", result)
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
