"""What all features share: a fleet's logs are shown when a scenario fails.

Steps put a running fleet into `context.fleet` and register its `close` with
`context.add_cleanup`, which behave calls in every case.
"""

from __future__ import annotations

from typing import Any


def after_scenario(context: Any, scenario: Any) -> None:
    """Print the last lines of each process of a failed scenario's fleet."""
    fleet = getattr(context, "fleet", None)
    if fleet is not None and scenario.status.name != "passed":
        print(fleet.tail())
