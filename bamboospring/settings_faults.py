"""Say what is wrong in a settings file, and where."""

from __future__ import annotations

from collections.abc import Sequence
import difflib
from typing import Any
from typing import get_args

from pydantic import BaseModel
from pydantic import ValidationError

from bamboospring.errors import SettingsError
from bamboospring import json_source

__all__ = ["first_fault", "model_in"]

NEAR_ENOUGH = 0.6


def first_fault(
    exc: ValidationError, data: Any, *, name: str, model: type[BaseModel]
) -> SettingsError:
    """Return the first fault in the file's order, which holds the others.

    `data` is what `json_source.parse` gave and `model` what it was checked
    against.
    """
    faults = _faults(exc, data, name, model)
    first, *others = sorted(faults, key=lambda each: (each.line, each.column))
    first.others = tuple(others)
    return first


def _faults(
    exc: ValidationError, data: Any, name: str, model: type[BaseModel]
) -> list[SettingsError]:
    faults = []
    for error in exc.errors(include_url=False):
        path = error["loc"]
        where = json_source.position(data, path)
        faults.append(
            SettingsError(
                _message(path, error, model),
                name=name,
                line=where.line,
                column=where.column,
            )
        )
    return faults


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
            unit = _unit(str(path[-1]))
            return f"{dotted} must be a number{unit}, not {error['input']!r}"
        case _:
            text = error["msg"]
            return f"{dotted}: {text[:1].lower()}{text[1:]}"


def _unit(key: str) -> str:
    if key.endswith("_ms"):
        return " of milliseconds without a unit"
    if key.endswith("_percent"):
        return " of percent without a unit"
    if key.endswith("_bytes"):
        return " of bytes without a unit"
    return ""


def _suggestion(path: Sequence[str | int], model: type[BaseModel]) -> str:
    known = _known_keys(path[:-1], model)
    near = difflib.get_close_matches(
        str(path[-1]), known, n=1, cutoff=NEAR_ENOUGH
    )
    if not near:
        return ""
    unit = _unit(near[0])
    return f"; is {near[0]} meant{unit and f', a number{unit}'}?"


def _known_keys(
    path: Sequence[str | int], model: type[BaseModel]
) -> list[str]:
    for step in path:
        field = model.model_fields.get(str(step))
        if field is None:
            continue
        inner = model_in(field.annotation)
        if inner is not None:
            model = inner
    return list(model.model_fields)


def model_in(annotation: Any) -> type[BaseModel] | None:
    """Return the model that an annotation holds, as in `list[Model]`."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    for part in get_args(annotation):
        found = model_in(part)
        if found is not None:
            return found
    return None
