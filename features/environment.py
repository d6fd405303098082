"""Behave hooks of all features: print a fleet's logs if a scenario fails.

Steps store a running fleet in `context.fleet` and register its `close` with
`context.add_cleanup`, which behave always calls.
"""

from __future__ import annotations

from typing import Any


def after_scenario(context: Any, scenario: Any) -> None:
    """Print the last log lines of each process of a failed scenario."""
    fleet = getattr(context, "fleet", None)
    if fleet is not None and scenario.status.name != "passed":
        print(fleet.tail())
