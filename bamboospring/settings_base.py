"""Code shared by all settings files: fields with units, checks and loading.

A section is a validated model. `load_as` reads a file of JSON with comments
and validates it with a model. The sections in this module are used by more
than one program.
"""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import Annotated
from typing import Any
from typing import Literal
from typing import TypeVar

from pydantic import AfterValidator
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import model_validator
from pydantic import ValidationError

from bamboospring.errors import SettingsError
from bamboospring.errors import SourceError
from bamboospring.plain_json import parse_plain

__all__ = [
    "Address",
    "Lease",
    "Logs",
    "Secret",
    "Section",
    "Tls",
    "load_as",
    "milliseconds",
    "parse_as",
    "percent",
    "split_address",
]

MIN_SECRET_LENGTH = 16


def split_address(text: str) -> tuple[str, int]:
    """Return the IP address and port of `"127.0.0.1:80"` or `"[::1]:80"`.

    Raise `ValueError` with a message for the user if the text is invalid.
    """
    host, colon, port = text.rpartition(":")
    if not colon:
        raise ValueError(f"{text!r} is not of the form ip:port")
    try:
        ip = ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError(f"{host!r} is not an IP address") from None
    if not (port.isascii() and port.isdigit() and int(port) < 65536):
        raise ValueError(f"{port!r} is not a port from 0 to 65535")
    return str(ip), int(port)


def _validate_address(text: str) -> str:
    split_address(text)
    return text


def milliseconds(default: int, low: int, high: int, description: str) -> Any:
    """Return a field for a duration in ms; its key must end in `_ms`."""
    return Field(
        default=default,
        ge=low,
        le=high,
        description=description,
        json_schema_extra={"unit": "milliseconds"},
    )


def percent(default: float, low: float, high: float, description: str) -> Any:
    """Return a field for a share; its key must end in `_percent`."""
    return Field(
        default=default,
        ge=low,
        le=high,
        description=description,
        json_schema_extra={"unit": "percent"},
    )


Address = Annotated[str, AfterValidator(_validate_address)]
Secret = Annotated[str, Field(min_length=MIN_SECRET_LENGTH, repr=False)]


class Section(BaseModel):
    """A section of the settings; unknown keys and wrong types are errors."""

    model_config = ConfigDict(
        extra="forbid", strict=True, frozen=True, str_strip_whitespace=False
    )


SectionT = TypeVar("SectionT", bound=Section)


class Tls(Section):
    """TLS key and certificate files, in PEM format.

    They are reloaded on SIGHUP: existing connections stay open, new ones use
    the new key.
    """

    certificate: str = Field(
        min_length=1, description="Path of the certificate chain to present."
    )
    private_key: str = Field(
        min_length=1,
        description="Path of the private key, without a password.",
    )
    authority: str = Field(
        default="",
        description="Path of the CA certificates that must have signed the "
        "other side's certificate. Empty: the other side presents none. "
        "Required for peers.",
    )


class Lease(Section):
    """The leases under which primary changes are carried out."""

    duration_ms: int = milliseconds(
        3_000, 100, 600_000, "Lifetime of a lease without renewal."
    )
    renew_ms: int = milliseconds(1_000, 10, 600_000, "Renewal interval.")
    margin_ms: int = milliseconds(
        500,
        10,
        600_000,
        "Time before the end of a lease at which its holder stops acting.",
    )

    @model_validator(mode="after")
    def _check_durations(self) -> "Lease":
        if self.renew_ms + self.margin_ms >= self.duration_ms:
            raise ValueError(
                f"renew_ms ({self.renew_ms}) and margin_ms "
                f"({self.margin_ms}) together must be less than duration_ms "
                f"({self.duration_ms}), or the lease lapses before it is "
                "renewed"
            )
        return self


class Logs(Section):
    """Logging to standard error."""

    level: Literal["debug", "info", "warning", "error"] = Field(
        default="info",
        description="Minimum level that is logged. Reloaded on SIGHUP.",
    )


def load_as(model: type[SectionT], path: str | Path) -> SectionT:
    """Return the settings of a file; raise `SettingsError` if invalid."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"cannot be read: {exc}", name=str(path)) from exc
    return parse_as(model, text, name=str(path))


def parse_as(model: type[SectionT], text: str, *, name: str) -> SectionT:
    """Return the settings in `text`; raise `SettingsError` if invalid."""
    parsed = _parse_plain_settings(model, text)
    if parsed is not None:
        return parsed
    # Import late, only for a file with an error or with other JSON5 syntax:
    # loading the parser delays the start of a VM, and callers wait for it.
    from bamboospring import json_source
    from bamboospring.settings_errors import first_error

    try:
        data = json_source.parse(text, name=name)
    except SourceError as exc:
        raise SettingsError(
            exc.message, name=name, line=exc.line, column=exc.column
        ) from exc
    try:
        return model.model_validate(data)
    except ValidationError as exc:
        raise first_error(exc, data, name=name, model=model) from exc


def _parse_plain_settings(model: type[SectionT], text: str) -> SectionT | None:
    """Return the settings of valid plain JSON, or None."""
    try:
        return model.model_validate(parse_plain(text))
    except ValueError:
        # The model may also have found an error, which the full parser then
        # reports with its position.
        return None
