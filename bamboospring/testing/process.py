"""One child process of a test estate, with bounded logs and signals.

Only the tools for tests, the demo and the bench start processes; `serve`
never does.
"""

from __future__ import annotations

from collections import deque
import pathlib
import re
import signal
import subprocess
import threading
from typing import IO

__all__ = ["ManagedProcess", "StartFailed"]

MAX_LOG_BYTES = 2_000_000
TAIL_LINES = 200
STOP_SECONDS = 5.0
_LISTENING = re.compile(r"^listening (\S+)")


class StartFailed(RuntimeError):
    """The process ended, or did not get ready in time."""


class ManagedProcess:
    """A child process that is only ever ended by its own process id.

    Its output goes to `log_path`, at most `MAX_LOG_BYTES` in all, and the
    last lines stay in memory for `tail()`. The pipe is always drained, so a
    talkative child never blocks on a full pipe.
    """

    def __init__(
        self,
        *,
        name: str,
        argv: list[str],
        log_path: pathlib.Path,
        env: dict[str, str],
    ) -> None:
        self.name = name
        self.argv = argv
        self.log_path = log_path
        self.address = ""
        self._env = env
        self._child: subprocess.Popen[str] | None = None
        self._listening = threading.Event()
        self._lines: deque[str] = deque(maxlen=TAIL_LINES)
        self._frozen = False

    @property
    def pid(self) -> int:
        """Return the process id, 0 when not running."""
        return self._child.pid if self.running and self._child else 0

    @property
    def running(self) -> bool:
        """Tell whether the child has been started and has not ended."""
        return self._child is not None and self._child.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Return the exit code of the last run, None while it runs."""
        return self._child.poll() if self._child is not None else None

    def start(self) -> None:
        """Start the child. It may be started again after it has ended."""
        if self.running:
            raise StartFailed(f"{self.name} is already running")
        self._listening.clear()
        self._frozen = False
        self._child = subprocess.Popen(
            self.argv,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            errors="replace",
            env=self._env,
        )
        assert self._child.stdout is not None
        threading.Thread(
            target=self._drain, args=(self._child.stdout,), daemon=True
        ).start()

    def wait_listening(self, seconds: float) -> str:
        """Wait for the line `listening ADDRESS` and return the address."""
        step = 0.05
        waited = 0.0
        while not self._listening.wait(step):
            waited += step
            if not self.running or waited >= seconds:
                raise StartFailed(f"{self.name} not ready:\n{self.tail()}")
        return self.address

    def wait_exit(self, seconds: float) -> int:
        """Wait for the child to end by itself and return its exit code."""
        assert self._child is not None
        return self._child.wait(seconds)

    def kill(self) -> None:
        """End the child at once (SIGKILL) and wait for it."""
        if self._child is not None and self.running:
            self._child.kill()
            self._child.wait()

    def terminate(self) -> None:
        """Ask the child to shut down (SIGTERM) without waiting."""
        self._signal(signal.SIGTERM)

    def freeze(self) -> None:
        """Stop the child's execution (SIGSTOP) until `thaw`."""
        self._signal(signal.SIGSTOP)
        self._frozen = True

    def thaw(self) -> None:
        """Let a frozen child go on."""
        self._signal(signal.SIGCONT)
        self._frozen = False

    def stop(self, seconds: float = STOP_SECONDS) -> None:
        """End the child in any state: SIGTERM, then SIGKILL after a wait."""
        if self._child is None or not self.running:
            return
        if self._frozen:
            self.kill()
            return
        self.terminate()
        try:
            self._child.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()

    def tail(self, lines: int = 40) -> str:
        """Return the last lines of output, for the report of a failure."""
        return "".join(list(self._lines)[-lines:])

    def _signal(self, number: signal.Signals) -> None:
        if self._child is not None and self.running:
            self._child.send_signal(number)

    def _drain(self, pipe: IO[str]) -> None:
        room = MAX_LOG_BYTES
        with open(self.log_path, "a", encoding="utf-8") as log, pipe:
            for line in pipe:
                self._lines.append(line)
                self._notice(line)
                if room > 0:
                    log.write(line)
                    log.flush()
                    room -= len(line)

    def _notice(self, line: str) -> None:
        found = _LISTENING.match(line)
        if found is not None and not self._listening.is_set():
            self.address = found.group(1)
            self._listening.set()
