"""A stand-in for a database member with SQL, a log, terms and a write lock.

    python -m bamboospring.testing.target --name a1 --listen 127.0.0.1:0 \
        --directory DIR --schema FILE.sql

prints `listening 127.0.0.1:PORT` once it serves. The protocol is in
docs/PROTOCOLS.md, part "Target".
"""

from __future__ import annotations

import argparse
import asyncio
from pathlib import Path

from bamboospring.testing.loop_monitor import report_loop_delays
from bamboospring.testing.target_engine import TargetEngine
from bamboospring.testing.target_engine import TargetSettings
from bamboospring.testing.target_replication import Replication
from bamboospring.testing.target_server import TargetProtocol
from bamboospring.testing.target_store import TargetStore

__all__ = ["main"]


def parse_args(argv: list[str] | None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="bamboospring.testing.target")
    parser.add_argument("--name", required=True)
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--directory", type=Path, required=True)
    parser.add_argument("--schema", type=Path)
    for name in ("--group", "--availability-zone", "--site"):
        parser.add_argument(
            name, default="", help="informational, shown in process listings"
        )
    defaults = TargetSettings()
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


def build_engine(args: argparse.Namespace) -> TargetEngine:
    """Open the store and create the engine on it."""
    schema = args.schema.read_text() if args.schema else ""
    return TargetEngine(
        name=args.name,
        store=TargetStore(directory=args.directory, schema=schema),
        settings=TargetSettings(
            slots=args.slots,
            connections=args.connections,
            connect_ms=args.connect_ms,
            statement_ms=args.statement_ms,
            apply_lag_ms=args.apply_lag_ms,
            receive_lag_ms=args.receive_lag_ms,
        ),
    )


async def serve(args: argparse.Namespace) -> None:
    """Serve until the process ends."""
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
        tasks.create_task(replication.run_pull_loop())
        tasks.create_task(replication.run_apply_loop())
        tasks.create_task(report_loop_delays())


def main(argv: list[str] | None = None) -> None:
    """Run the target stand-in."""
    try:
        asyncio.run(serve(parse_args(argv)))
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
