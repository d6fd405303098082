"""The exceptions of this package.

The outcome of a statement is a value (see `bamboospring.outcomes`), never an
exception. An exception means either that external input is malformed or that
an invariant is violated and the process must stop.
"""

from __future__ import annotations

__all__ = [
    "BamboospringError",
    "CommandError",
    "ListenError",
    "MessageError",
    "SettingsError",
    "SourceError",
]


class BamboospringError(Exception):
    """The base class of all exceptions of this package."""


class ListenError(BamboospringError):
    """The process cannot listen on a configured address."""


class MessageError(BamboospringError):
    """A message from another VM is malformed; its link must be closed."""


class SourceError(BamboospringError):
    """A source text is malformed at a line and column.

    Lines and columns count from 1. The text of the exception has the form
    `name:line:column: message`, which editors recognize as a location.
    """

    def __init__(
        self, message: str, *, name: str, line: int = 1, column: int = 1
    ) -> None:
        super().__init__(f"{name}:{line}:{column}: {message}")
        self.message = message
        self.name = name
        self.line = line
        self.column = column


class SettingsError(SourceError):
    """A settings file is invalid.

    `others` holds the further errors in the order of the file.
    """

    def __init__(
        self,
        message: str,
        *,
        name: str,
        line: int = 1,
        column: int = 1,
        others: tuple["SettingsError", ...] = (),
    ) -> None:
        super().__init__(message, name=name, line=line, column=column)
        self.others = others


class CommandError(BamboospringError):
    """A command failed; the text is printed for the user."""
