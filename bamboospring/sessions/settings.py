"""Validate the settings of a VM that serves sessions: JSON with comments."""

from __future__ import annotations

from pathlib import Path
from typing import Literal

from pydantic import Field

from bamboospring.settings_base import Address
from bamboospring.settings_base import Lease
from bamboospring.settings_base import load_as
from bamboospring.settings_base import Logs
from bamboospring.settings_base import milliseconds
from bamboospring.settings_base import percent
from bamboospring.settings_base import Section

__all__ = ["SessionSettings", "SessionTiming", "VmResources", "load"]


class VmResources(Section):
    """What this VM has, by which VMs choose who does work for others."""

    processor_share: float | None = Field(
        default=None,
        gt=0.0,
        description="Part of a processor core; null: unknown.",
    )
    processor_speed: float = Field(
        default=1.0,
        gt=0.0,
        description="Speed of the core, as a multiple of the usual one.",
    )
    link_mbps: float | None = Field(
        default=None,
        gt=0.0,
        description="Bandwidth of the VM's link, Mbit/s; null: unknown.",
    )


class SessionTiming(Section):
    """Durations of a VM that serves sessions."""

    grace_ms: int = milliseconds(
        6_000,
        500,
        600_000,
        "Time between the order to stop and the end of the process.",
    )
    target_leaving_ms: int = milliseconds(
        7_000,
        100,
        600_000,
        "Time after which a leaving target may get no more work.",
    )
    key_life_ms: int | None = Field(
        default=None,
        ge=500,
        le=600_000,
        description=(
            "Time after which a key that was taken away opens nothing at any "
            "VM, also at one that is cut off; null: once the VM is told."
        ),
        json_schema_extra={"unit": "milliseconds"},
    )
    connect_timeout_ms: int = milliseconds(
        500, 10, 60_000, "Longest time to open a connection to a target."
    )
    platform_timeout_ms: int = milliseconds(
        1_000, 10, 60_000, "Longest time for a call to the platform."
    )
    longest_backoff_ms: int = milliseconds(
        800, 1, 600_000, "Longest pause after failed calls to the platform."
    )


class SessionLimits(Section):
    """Bounds on what one process takes on."""

    queue_length: int = Field(
        default=256,
        ge=1,
        le=100_000,
        description="Statements that wait for a connection to one target.",
    )
    team_window_ms: int = milliseconds(
        5_000,
        100,
        600_000,
        "Span in which a team's operations are held against its limit.",
    )
    team_overage: float = Field(
        default=0.0,
        ge=0.0,
        le=10.0,
        description=(
            "Part of its limit that a team may run beyond it in such a span."
        ),
    )
    team_slack: float = Field(
        default=0.0,
        ge=0.0,
        le=1_000_000.0,
        description="Operations that a team may run besides in such a span.",
    )
    retry_percent: float = percent(
        20.0, 0.0, 100.0, "Retries allowed, as a share of first tries."
    )


class SessionSettings(Section):
    """All settings of a VM that serves sessions."""

    vm: str = Field(min_length=1, description="Name of this VM.")
    availability_zone: str = Field(
        min_length=1, description="Availability zone of this VM."
    )
    region: str = Field(default="", description="Region of this VM.")
    peers: Address = Field(
        description="Where the system's other VMs connect, `ip:port`."
    )
    peers_listen: Address | None = Field(
        default=None,
        description=(
            "Where this VM listens for them, if something between forwards "
            "their connections; null: at `peers`."
        ),
    )
    callers: Address = Field(description="Where callers connect, `ip:port`.")
    readiness: Address = Field(
        description="Where the platform asks whether callers may be sent here."
    )
    operators: Address | None = Field(
        default=None, description="Where metrics are served; null: nowhere."
    )
    platform: Address = Field(description="The platform's object store.")
    orders: Address = Field(
        description="Who promotes targets on the platform."
    )
    limits: SessionLimits = Field(
        default_factory=lambda: SessionLimits(), description="Bounds on work."
    )
    timing: SessionTiming = Field(
        default_factory=lambda: SessionTiming(), description="Durations."
    )
    lease: Lease = Field(
        default_factory=lambda: Lease(
            duration_ms=1_600, renew_ms=400, margin_ms=250
        ),
        description="The lease under which changes of primary are led.",
    )
    logs: Logs = Field(default_factory=lambda: Logs(), description="Logs.")
    resources: VmResources = Field(
        default_factory=lambda: VmResources(),
        description="What this VM has.",
    )
    load_control: Literal["auto", "on", "off"] = Field(
        default="auto",
        description=(
            "Whether load control is on; `auto`: where the platform's terms "
            "ask for it or VMs are in more than one region."
        ),
    )
    platform_terms: list[str] = Field(
        default_factory=list,
        description="Parts of the platform's rules that are in force.",
    )
    regions: dict[str, str] = Field(
        default_factory=dict,
        description="Region of each availability zone.",
    )


def load(path: str | Path) -> SessionSettings:
    """Return the settings in a file; raise `SettingsError` if unusable."""
    return load_as(SessionSettings, path)
