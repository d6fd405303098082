"""Steps for the switch of load control."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then

from bamboospring.platform.adapters import make_adapters
from bamboospring.sessions.load_control import is_load_control_on
from bamboospring.sessions.settings import SessionSettings


@given(
    "settings with load control {mode}, terms {terms} and regions {regions}"
)
def given_settings(context: Any, mode: str, terms: str, regions: str) -> None:
    context.cfg = SessionSettings.model_validate(
        {
            "vm": "v",
            "availability_zone": "z0",
            "peers": "127.0.0.1:1",
            "callers": "127.0.0.1:2",
            "readiness": "127.0.0.1:3",
            "platform": "127.0.0.1:4",
            "orders": "127.0.0.1:5",
            "load_control": mode,
            "platform_terms": terms.split(","),
            "regions": {
                f"z{number}": region
                for number, region in enumerate(regions.split(","))
            },
        }
    )


@then("load control is {state}")
def then_load_control(context: Any, state: str) -> None:
    terms = make_adapters().load_control_terms
    assert is_load_control_on(context.cfg, terms) == (state == "on")
