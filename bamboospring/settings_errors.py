"""Report the errors of a settings file with their positions."""

from __future__ import annotations

from collections.abc import Sequence
import difflib
from typing import Any
from typing import get_args

from pydantic import BaseModel
from pydantic import ValidationError

from bamboospring.errors import SettingsError
from bamboospring import json_source

__all__ = ["first_error", "nested_model"]

SUGGESTION_CUTOFF = 0.6


def first_error(
    exc: ValidationError, data: Any, *, name: str, model: type[BaseModel]
) -> SettingsError:
    """Return the first error in the order of the file, with all others.

    `data` is the result of `json_source.parse`, and `model` is the model that
    rejected it.
    """
    errors = _make_errors(exc, data, name, model)
    first, *others = sorted(errors, key=lambda each: (each.line, each.column))
    first.others = tuple(others)
    return first


def _make_errors(
    exc: ValidationError, data: Any, name: str, model: type[BaseModel]
) -> list[SettingsError]:
    errors = []
    for error in exc.errors(include_url=False):
        path = error["loc"]
        where = json_source.position(data, path)
        errors.append(
            SettingsError(
                _message(path, error, model),
                name=name,
                line=where.line,
                column=where.column,
            )
        )
    return errors


def _message(
    path: Sequence[str | int], error: Any, model: type[BaseModel]
) -> str:
    dotted = ".".join(str(step) for step in path)
    match error["type"]:
        case "extra_forbidden":
            return f"unknown key {dotted}{_suggestion(path, model)}"
        case "missing":
            return f"{dotted} is missing"
        case "value_error":
            text = str(error["ctx"]["error"])
            return f"{dotted}: {text}" if dotted else text
        case "int_type" | "float_type" | "int_from_float":
            unit = _unit_phrase(str(path[-1]))
            return f"{dotted} must be a number{unit}, not {error['input']!r}"
        case _:
            text = error["msg"]
            return f"{dotted}: {text[:1].lower()}{text[1:]}"


def _unit_phrase(key: str) -> str:
    if key.endswith("_ms"):
        return " of milliseconds without a unit"
    if key.endswith("_percent"):
        return " of percent without a unit"
    if key.endswith("_bytes"):
        return " of bytes without a unit"
    return ""


def _suggestion(path: Sequence[str | int], model: type[BaseModel]) -> str:
    known = _known_keys(path[:-1], model)
    matches = difflib.get_close_matches(
        str(path[-1]), known, n=1, cutoff=SUGGESTION_CUTOFF
    )
    if not matches:
        return ""
    unit = _unit_phrase(matches[0])
    return f"; did you mean {matches[0]}{unit and f', a number{unit}'}?"


def _known_keys(
    path: Sequence[str | int], model: type[BaseModel]
) -> list[str]:
    for step in path:
        field = model.model_fields.get(str(step))
        if field is None:
            continue
        inner = nested_model(field.annotation)
        if inner is not None:
            model = inner
    return list(model.model_fields)


def nested_model(annotation: Any) -> type[BaseModel] | None:
    """Return the model within an annotation such as `list[Model]`, or None."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    for part in get_args(annotation):
        found = nested_model(part)
        if found is not None:
            return found
    return None
