"""The exceptions of this package.

What becomes of a statement is a value (see `bamboospring.outcomes`), never an
exception. An exception means either that something outside is malformed and
was met at the border, or that an invariant is broken and the process must not
go on.
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
    """The root of every exception that this package raises."""


class ListenError(BamboospringError):
    """An address of our own cannot be listened on."""


class MessageError(BamboospringError):
    """A message from another VM is malformed; its link is not used on."""


class SourceError(BamboospringError):
    """A text in JSON with comments is malformed at a line and column.

    Lines and columns count from 1. The text of the exception is
    `name:line:column: message`, the form that editors jump to.
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
    """A settings file holds something that cannot be used.

    `others` are the faults found after the first, in the file's order.
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
    """A command cannot do what was asked; the text is shown to the user."""
