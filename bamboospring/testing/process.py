"""One child process of a test fleet, with bounded logs and signals.

Only the tools for tests, the demo and the benchmarks start processes; `serve`
does not.
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
STOP_TIMEOUT = 5.0
_LISTENING_LINE = re.compile(r"^listening (\S+)")


class StartFailed(RuntimeError):
    """The process exited or was not ready in time."""


class ManagedProcess:
    """A child process that is signalled only by its own process id.

    Its output is written to `log_path`, up to `MAX_LOG_BYTES`, and the last
    lines are kept in memory for `tail()`. The pipe is read all the time, so
    that a child with much output never blocks on a full pipe.
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
        self.command = argv
        self.log_path = log_path
        self.address = ""
        self._env = env
        self._process: subprocess.Popen[str] | None = None
        self._listening = threading.Event()
        self._lines: deque[str] = deque(maxlen=TAIL_LINES)
        self._frozen = False

    @property
    def pid(self) -> int:
        """Return the process id, 0 when not running."""
        return self._process.pid if self.running and self._process else 0

    @property
    def running(self) -> bool:
        """Return whether the child has been started and has not exited."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Return the exit code of the last run, None while it runs."""
        return self._process.poll() if self._process is not None else None

    def start(self) -> None:
        """Start the child, also again after it has exited."""
        if self.running:
            raise StartFailed(f"{self.name} is already running")
        self._listening.clear()
        self._frozen = False
        self._process = subprocess.Popen(
            self.command,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            errors="replace",
            env=self._env,
        )
        assert self._process.stdout is not None
        threading.Thread(
            target=self._copy_output, args=(self._process.stdout,), daemon=True
        ).start()

    def wait_listening(self, seconds: float) -> str:
        """Wait for the output line `listening ADDRESS`; return the address."""
        step = 0.05
        waited = 0.0
        while not self._listening.wait(step):
            waited += step
            if not self.running or waited >= seconds:
                raise StartFailed(f"{self.name} not ready:\n{self.tail()}")
        return self.address

    def wait_exit(self, seconds: float) -> int:
        """Wait for the child to exit and return its exit code."""
        assert self._process is not None
        return self._process.wait(seconds)

    def kill(self) -> None:
        """Kill the child (SIGKILL) and wait for it."""
        if self._process is not None and self.running:
            self._process.kill()
            self._process.wait()

    def terminate(self) -> None:
        """Ask the child to shut down (SIGTERM) without waiting."""
        self._send_signal(signal.SIGTERM)

    def freeze(self) -> None:
        """Suspend the child (SIGSTOP) until `thaw`."""
        self._send_signal(signal.SIGSTOP)
        self._frozen = True

    def thaw(self) -> None:
        """Resume a suspended child (SIGCONT)."""
        self._send_signal(signal.SIGCONT)
        self._frozen = False

    def stop(self, seconds: float = STOP_TIMEOUT) -> None:
        """Stop the child: SIGTERM, then SIGKILL after `seconds`."""
        if self._process is None or not self.running:
            return
        if self._frozen:
            self.kill()
            return
        self.terminate()
        try:
            self._process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()

    def tail(self, lines: int = 40) -> str:
        """Return the last lines of output, for failure reports."""
        return "".join(list(self._lines)[-lines:])

    def _send_signal(self, number: signal.Signals) -> None:
        if self._process is not None and self.running:
            self._process.send_signal(number)

    def _copy_output(self, pipe: IO[str]) -> None:
        remaining_bytes = MAX_LOG_BYTES
        with open(self.log_path, "a", encoding="utf-8") as log, pipe:
            for line in pipe:
                self._lines.append(line)
                self._detect_listening(line)
                if remaining_bytes > 0:
                    log.write(line)
                    log.flush()
                    remaining_bytes -= len(line)

    def _detect_listening(self, line: str) -> None:
        matched = _LISTENING_LINE.match(line)
        if matched is not None and not self._listening.is_set():
            self.address = matched.group(1)
            self._listening.set()
