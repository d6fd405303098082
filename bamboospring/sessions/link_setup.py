"""Prepare a connection for a statement of a session.

A connection serves many sessions. Before each statement it must have exactly
the values of the statement's session, and the shape to run must be prepared on
it.
"""

from __future__ import annotations

from bamboospring.sessions.ports import Assign
from bamboospring.sessions.ports import BeginWork
from bamboospring.sessions.ports import PrepareShape
from bamboospring.sessions.ports import ResetConnection
from bamboospring.sessions.ports import SessionLink
from bamboospring.sessions.ports import Shape
from bamboospring.sessions.ports import TargetOrder

__all__ = ["link_fit", "setup_orders"]

# A connection with this many prepared shapes is reset before it gets another:
# each takes memory of the target for as long as the connection lives.
MAX_PREPARED_SHAPES = 256


def setup_orders(
    link: SessionLink,
    values: dict[str, str],
    shape: Shape | None,
    begin: BeginWork | None,
) -> list[TargetOrder]:
    """Return the orders that prepare a connection, in sequence."""
    orders: list[TargetOrder] = []
    has_values, has_shapes = link.values, link.shapes
    too_many = shape is not None and len(has_shapes) >= MAX_PREPARED_SHAPES
    if not has_values.keys() <= values.keys() or too_many:
        orders.append(ResetConnection())
        has_values, has_shapes = {}, set()
    orders.extend(
        Assign(name=name, value=value)
        for name, value in values.items()
        if has_values.get(name) != value
    )
    if shape is not None and shape not in has_shapes:
        orders.append(PrepareShape(shape=shape))
    if begin is not None:
        orders.append(begin)
    return orders


def link_fit(
    link: SessionLink, values: dict[str, str], shape: Shape | None
) -> int:
    """Return a score that is higher the less setup a connection needs."""
    score = 0
    if link.values == values:
        score = 4
    elif link.values.keys() <= values.keys():
        score = 2
    if shape is not None and shape in link.shapes:
        score += 1
    return score
