"""Least-squares lines through measured points, with standard errors."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict
from dataclasses import dataclass
import math

__all__ = ["Line", "fit"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Line:
    """The line y = base + slope * x with the standard errors of the fit."""

    slope: float
    slope_error: float
    base: float
    base_error: float
    r2: float
    points: int

    def as_json(self) -> dict[str, float]:
        """Return the fields, rounded for a result file."""
        return {name: round(v, 6) for name, v in asdict(self).items()}


def fit(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """Return the least-squares line through at least three points."""
    count = len(xs)
    mean_x = sum(xs) / count
    mean_y = sum(ys) / count
    sxx = sum((x - mean_x) ** 2 for x in xs)
    sxy = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True))
    slope = sxy / sxx
    base = mean_y - slope * mean_x
    residual = sum(
        (y - base - slope * x) ** 2 for x, y in zip(xs, ys, strict=True)
    )
    total = sum((y - mean_y) ** 2 for y in ys)
    variance = residual / (count - 2)
    return Line(
        slope=slope,
        slope_error=math.sqrt(variance / sxx),
        base=base,
        base_error=math.sqrt(variance * (1 / count + mean_x**2 / sxx)),
        r2=1 - residual / total if total else 1.0,
        points=count,
    )
