"""Take new keys, tokens and the level of logs without a restart.

On SIGHUP the settings file is read again. What it says is taken as a whole or
not at all: a file with a fault changes nothing and is logged.
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
    from bamboospring.tls import Keys

__all__ = ["Rotation"]

Apply = Callable[[Any], None]

# Seconds between two looks at a settings file that may change silently.
FOLLOW_INTERVAL = 2.0


class Rotation:
    """Read the settings again and hand them to whoever can take them."""

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
        self._seen: str | None = None
        self._keys: list[tuple[Keys, Callable[[Settings], Tls | None]]] = []
        self._apply: list[Apply] = []

    def add_keys(
        self, keys: Keys, find: Callable[[Settings], Tls | None]
    ) -> None:
        """Replace `keys` by the files that `find` picks from the settings."""
        self._keys.append((keys, find))

    def add(self, apply: Apply) -> None:
        """Call `apply` with new settings; it must not fail."""
        self._apply.append(apply)

    def install(self) -> None:
        """Listen for SIGHUP from now on."""
        signal.signal(signal.SIGHUP, self._on_signal)

    def read_again(self) -> bool:
        """Take what the file says now; False if it can't be used."""
        try:
            cfg = self._load(self._path)
            for keys, find in self._keys:
                tls = find(cfg)
                if tls is not None:
                    keys.read_again(tls)
        except SettingsError as exc:
            logs.log_event(
                "settings_refused", level=logs.Level.ERROR, reason=str(exc)
            )
            return False
        for apply in self._apply:
            apply(cfg)
        ids = [key.id for key in getattr(cfg, "token_keys", ())]
        logs.log_event("settings_taken", keys=ids)
        return True

    def follow(self) -> None:
        """Look at the file now and then: it may change without a signal."""
        text = self._text()
        if self._seen is not None and text not in (None, self._seen):
            self.read_again()
        self._seen = text if text is not None else self._seen
        self._reactor.call_later(FOLLOW_INTERVAL, self.follow)

    def _text(self) -> str | None:
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
        # In a signal handler anything may be half done; the work is left to
        # the loop, which is woken.
        self._reactor.call_later(0, self._read_now)
        self._reactor.resume()

    def _read_now(self) -> None:
        self.read_again()
