"""Run the process of `bamboospring serve`."""

from __future__ import annotations

from bamboospring.errors import ListenError
from bamboospring import logs
from bamboospring.process import Process
from bamboospring.settings import Settings

__all__ = ["run"]


def run(cfg: Settings, path: str = "") -> None:
    """Serve until stopped; SIGHUP reloads the settings from `path`."""
    logs.configure(level=cfg.logs.level, vm=cfg.vm)
    try:
        process = _make_process(cfg, path)
    except OSError as exc:
        raise ListenError(f"cannot listen: {exc}") from exc
    if path:
        process.settings_reloader.install_signal_handler()
    logs.log_event(
        "listening",
        callers=process.entry.server.address,
        peers=process.peers.listener.address,
        operators=process.operators.address,
    )
    process.run()


def _make_process(cfg: Settings, path: str) -> Process:
    # Import late: an entry-only process has no holder and must not load it.
    if cfg.entry.only:
        from bamboospring.entry_only import EntryOnly

        return EntryOnly(cfg, path)
    from bamboospring.server import Server

    return Server(cfg, path)
