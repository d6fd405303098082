"""Reload keys, tokens and the log level without a restart.

On SIGHUP the settings file is reloaded, and its new values apply all together
or not at all: an invalid file is logged and changes nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
import signal
from typing import Any
from typing import TYPE_CHECKING

from bamboospring.errors import SettingsError
from bamboospring import logs
from bamboospring.reactor import Reactor

if TYPE_CHECKING:
    from bamboospring.settings import Settings
    from bamboospring.settings_base import Tls
    from bamboospring.tls import TlsCredentials

__all__ = ["SettingsReloader"]

SettingsListener = Callable[[Any], None]

# Seconds between two checks of a settings file that may change without a
# signal.
POLL_INTERVAL = 2.0


class SettingsReloader:
    """Reload the settings and pass them to the registered listeners."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        path: str,
        load: Callable[[str], Any],
    ) -> None:
        self._reactor = reactor
        self._path = path
        self._load = load
        self._last_text: str | None = None
        self._credentials: list[
            tuple[TlsCredentials, Callable[[Settings], Tls | None]]
        ] = []
        self._listeners: list[SettingsListener] = []

    def add_credentials(
        self, keys: TlsCredentials, select: Callable[[Settings], Tls | None]
    ) -> None:
        """Reload `keys` from the files that `select` returns for settings."""
        self._credentials.append((keys, select))

    def add_listener(self, listener: SettingsListener) -> None:
        """Call `listener` with reloaded settings; it must not raise."""
        self._listeners.append(listener)

    def install_signal_handler(self) -> None:
        """Reload the settings on SIGHUP."""
        signal.signal(signal.SIGHUP, self._on_signal)

    def reload(self) -> bool:
        """Reload the settings file; return False if it is invalid."""
        try:
            cfg = self._load(self._path)
            for keys, select in self._credentials:
                tls = select(cfg)
                if tls is not None:
                    keys.reload(tls)
        except SettingsError as exc:
            logs.log_event(
                "settings_refused", level=logs.Level.ERROR, reason=str(exc)
            )
            return False
        for listener in self._listeners:
            listener(cfg)
        ids = [key.id for key in getattr(cfg, "token_keys", ())]
        logs.log_event("settings_taken", keys=ids)
        return True

    def poll_file(self) -> None:
        """Check the file periodically: it may change without a signal."""
        text = self._read_text()
        if self._last_text is not None and text not in (None, self._last_text):
            self.reload()
        self._last_text = text if text is not None else self._last_text
        self._reactor.call_later(POLL_INTERVAL, self.poll_file)

    def _read_text(self) -> str | None:
        try:
            return Path(self._path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            logs.log_event(
                "settings_unreadable",
                level=logs.Level.WARNING,
                reason=str(exc),
            )
            return None

    def _on_signal(self, number: int, frame: Any) -> None:
        # A signal handler can interrupt any operation halfway, so wake the
        # event loop and reload there.
        self._reactor.call_later(0, self._reload_now)
        self._reactor.resume()

    def _reload_now(self) -> None:
        self.reload()
