"""A database member to test against: SQL, a log, terms, one write lock.

    python -m bamboospring.testing.target --name a1 --listen 127.0.0.1:0 \
        --directory DIR --schema FILE.sql

prints `listening 127.0.0.1:PORT` once it serves. The protocol is in
docs/PROTOCOLS.md, part "Target".
"""

from __future__ import annotations

import argparse
import asyncio
from pathlib import Path

from bamboospring.testing.loop_monitor import watch_loop
from bamboospring.testing.target_engine import Engine
from bamboospring.testing.target_engine import Knobs
from bamboospring.testing.target_replication import Replication
from bamboospring.testing.target_server import TargetProtocol
from bamboospring.testing.target_store import Store

__all__ = ["main"]


def parse_args(argv: list[str] | None) -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(prog="bamboospring.testing.target")
    parser.add_argument("--name", required=True)
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--directory", type=Path, required=True)
    parser.add_argument("--schema", type=Path)
    for name in ("--group", "--availability-zone", "--site"):
        parser.add_argument(name, default="", help="only for the reader")
    defaults = Knobs()
    parser.add_argument("--slots", type=int, default=defaults.slots)
    parser.add_argument(
        "--connections", type=int, default=defaults.connections
    )
    for name in ("connect", "statement", "apply-lag", "receive-lag"):
        field = name.replace("-", "_") + "_ms"
        parser.add_argument(
            f"--{name}-ms", type=float, default=getattr(defaults, field)
        )
    return parser.parse_args(argv)


def build_engine(args: argparse.Namespace) -> Engine:
    """Open the store and build the engine over it."""
    schema = args.schema.read_text() if args.schema else ""
    return Engine(
        name=args.name,
        store=Store(directory=args.directory, schema=schema),
        knobs=Knobs(
            slots=args.slots,
            connections=args.connections,
            connect_ms=args.connect_ms,
            statement_ms=args.statement_ms,
            apply_lag_ms=args.apply_lag_ms,
            receive_lag_ms=args.receive_lag_ms,
        ),
    )


async def serve(args: argparse.Namespace) -> None:
    """Serve until the process is ended."""
    engine = build_engine(args)
    host, port = args.listen.rsplit(":", 1)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: TargetProtocol(engine=engine), host, int(port)
    )
    bound = server.sockets[0].getsockname()
    print(f"listening {bound[0]}:{bound[1]}", flush=True)
    replication = Replication(engine=engine)
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(server.serve_forever())
        tasks.create_task(replication.pull_for_ever())
        tasks.create_task(replication.apply_for_ever())
        tasks.create_task(watch_loop())


def main(argv: list[str] | None = None) -> None:
    """Run the target stand-in."""
    try:
        asyncio.run(serve(parse_args(argv)))
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
