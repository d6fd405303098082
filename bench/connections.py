"""Measure memory and processor time of caller connections, plain and TLS.

    python bench/connections.py --out bench/results/connections.json

Connections to one serving process are opened in steps. Each sends one request
and then stays idle. The slope of resident memory over the number of
connections is the cost of one connection. The TLS keys are those of the tests.
"""

from __future__ import annotations

import argparse
import json
import os
from pathlib import Path
import signal
import socket
import ssl
import subprocess
import sys
import tempfile
import time
from typing import Any

from fits import fit

CONNECTION_STEPS = (0, 250, 500, 1000, 1500, 2000)
SETTLE_SECONDS = 1.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
TLS_DIRECTORY = (
    Path(__file__).resolve().parents[1] / "features" / "data" / "tls"
)
REQUEST = (
    b"POST /v1/sessions HTTP/1.1\r\nHost: x\r\n"
    b'Content-Length: 14\r\n\r\n{"caller":"a"}'
)


def main() -> None:
    """Measure both kinds of connection and write the result as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path)
    args = parser.parse_args()
    result = {"plain": _measure(tls=False), "tls": _measure(tls=True)}
    text = json.dumps(result, indent=1)
    print(text)
    if args.out is not None:
        args.out.write_text(text + "\n")


def _measure(*, tls: bool) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as directory:
        port = _free_port()
        path = Path(directory) / "vm.json"
        path.write_text(json.dumps(_settings(port, tls)))
        process = subprocess.Popen(
            [sys.executable, "-m", "bamboospring", "serve"]
            + ["--settings", str(path)],
            stderr=subprocess.DEVNULL,
        )
        try:
            return _measure_steps(process.pid, port, tls)
        finally:
            process.send_signal(signal.SIGKILL)
            process.wait()


def _measure_steps(pid: int, port: int, tls: bool) -> dict[str, Any]:
    context = ssl.create_default_context(
        cafile=str(TLS_DIRECTORY / "authority.pem")
    )
    conns: list[socket.socket] = []
    points = []
    _open_connection(conns, port, context if tls else None)
    for step in CONNECTION_STEPS:
        before = _processor_seconds(pid)
        opened = step - len(conns) + 1
        while len(conns) < step + 1:
            _open_connection(conns, port, context if tls else None)
        used = _processor_seconds(pid) - before
        time.sleep(SETTLE_SECONDS)
        points.append(
            {
                "connections": len(conns),
                "resident_kb": _resident_kb(pid),
                "open_us": round(used / opened * 1e6) if opened > 1 else 0,
            }
        )
    line = fit(
        [point["connections"] for point in points],
        [point["resident_kb"] for point in points],
    )
    for conn in conns:
        conn.close()
    return {
        "points": points,
        "bytes_each": round(line.slope * 1024),
        "bytes_each_error": round(line.slope_error * 1024),
        "fit": line.as_json(),
    }


def _open_connection(
    conns: list[socket.socket], port: int, context: ssl.SSLContext | None
) -> None:
    deadline = time.monotonic() + 20
    while True:
        try:
            conn = socket.create_connection(("127.0.0.1", port), timeout=10)
            break
        except ConnectionRefusedError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.1)
    if context is not None:
        conn = context.wrap_socket(conn, server_hostname="127.0.0.1")
    conn.sendall(REQUEST)
    answer = conn.recv(4096)
    assert answer.startswith(b"HTTP/1.1 200"), answer
    conns.append(conn)


def _settings(port: int, tls: bool) -> dict[str, Any]:
    callers: dict[str, Any] = {"listen": f"127.0.0.1:{port}"}
    if tls:
        callers["tls"] = {
            "certificate": str(TLS_DIRECTORY / "vm.pem"),
            "private_key": str(TLS_DIRECTORY / "vm.key"),
        }
    return {
        "vm": "vm-1",
        "availability_zone": "zone-a",
        "callers": callers,
        "peers": {"listen": "127.0.0.1:0"},
        "operators": {"listen": "127.0.0.1:0", "token": "operators-token-1"},
        "platform": {"address": "127.0.0.1:1"},
        "token_keys": [{"id": "k1", "secret": "0123456789abcdef"}],
    }


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def _resident_kb(pid: int) -> int:
    text = Path(f"/proc/{pid}/status").read_text()
    line = next(x for x in text.splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1])


def _processor_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


if __name__ == "__main__":
    main()
