"""The settings of one process: a validated file of JSON with comments.

    cfg = load("vm-1.json")
    cfg.timing.suspect_ms

Durations are in milliseconds, with keys that end in `_ms`; shares are in
percent, with keys that end in `_percent`. Addresses are strings of the form
`"ip:port"` with an IP address; port 0 in a `listen` lets the operating system
choose a free port. `bamboospring check --reference` generates the reference
page docs/SETTINGS.md from this module.
"""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import Any

from pydantic import BaseModel
from pydantic import Field
from pydantic import field_validator
from pydantic import model_validator

from bamboospring.settings_base import Address
from bamboospring.settings_base import Lease
from bamboospring.settings_base import load_as
from bamboospring.settings_base import Logs
from bamboospring.settings_base import milliseconds
from bamboospring.settings_base import parse_as
from bamboospring.settings_base import percent
from bamboospring.settings_base import Secret
from bamboospring.settings_base import Section
from bamboospring.settings_base import split_address
from bamboospring.settings_base import Tls

__all__ = [
    "Address",
    "Callers",
    "EntryOnly",
    "Lease",
    "Limits",
    "Logs",
    "Objective",
    "Objectives",
    "Operators",
    "Peers",
    "Platform",
    "Section",
    "Settings",
    "Targets",
    "Timing",
    "Tls",
    "TokenKey",
    "load",
    "load_as",
    "milliseconds",
    "parse",
    "parse_as",
    "percent",
    "split_address",
]


def _count_field(default: int, low: int, high: int, description: str) -> Any:
    return Field(
        default=default,
        ge=low,
        le=high,
        description=description,
        json_schema_extra={"unit": "count"},
    )


def _bytes_field(default: int, low: int, high: int, description: str) -> Any:
    return Field(
        default=default,
        ge=low,
        le=high,
        description=description,
        json_schema_extra={"unit": "bytes"},
    )


class _Listener(Section):
    """A listening address, with TLS unless plain text is allowed."""

    listen: Address = Field(description="Address to listen on, `ip:port`.")
    tls: Tls | None = Field(
        default=None, description="TLS keys; null for plain text."
    )
    plain_text: bool = Field(
        default=False,
        description="Allow plain text on an address that other machines can "
        "reach. Not required for a loopback address.",
    )

    @model_validator(mode="after")
    def _check_transport(self) -> "_Listener":
        _check_plain_text(self.listen, self.tls, self.plain_text)
        return self


class Callers(_Listener):
    """The listener for callers."""

    reuse_port: bool = Field(
        default=False,
        description="Share the address with this VM's other processes "
        "(SO_REUSEPORT): the kernel assigns each new connection to one of "
        "those that are ready. All of them must set it and run as the same "
        "user.",
    )


class EntryOnly(Section):
    """Whether this process is an additional, entry-only process of its VM.

    An entry-only process accepts callers and forwards to holders. It is not
    listed as a VM, does not connect to targets and does not call the platform.
    """

    only: bool = Field(
        default=False,
        description="Run as an entry only, beside the VM's main process.",
    )
    of: str = Field(
        default="",
        max_length=64,
        description="`vm` of the main process; required with `only`.",
    )
    main: Address | None = Field(
        default=None,
        description="`peers.listen` of the main process, from which this "
        "one gets its data on VMs and groups; required with `only`.",
    )

    @model_validator(mode="after")
    def _check_main_process(self) -> "EntryOnly":
        if self.only and not (self.of and self.main):
            raise ValueError(
                "only requires of and main, the VM's main process"
            )
        return self


class Peers(_Listener):
    """The listener for the system's other VMs, not for callers."""

    seeds: list[Address] = Field(
        default_factory=list,
        max_length=16,
        description="Addresses of peers from which the list of VMs is read "
        "if the platform does not respond at startup.",
    )

    @model_validator(mode="after")
    def _check_authority(self) -> "Peers":
        if self.tls is not None and not self.tls.authority:
            raise ValueError(
                "tls between processes requires authority: without it any "
                "program could impersonate a process of the system"
            )
        return self


class Operators(_Listener):
    """The listener for operators and the metrics scraper."""

    token: Secret = Field(
        description="Bearer token that every request must send, except to "
        "`/healthz` and `/readyz`. Reloaded on SIGHUP."
    )


class Platform(Section):
    """The platform's object API."""

    address: Address = Field(description="Address of the API, `ip:port`.")
    tls: Tls | None = Field(
        default=None,
        description="Keys for TLS to the API; null for plain text.",
    )
    plain_text: bool = Field(
        default=False,
        description="Allow plain text to an address on another machine.",
    )

    @model_validator(mode="after")
    def _check_transport(self) -> "Platform":
        _check_plain_text(self.address, self.tls, self.plain_text)
        return self


class Targets(Section):
    """Connections to the targets; the platform provides their addresses."""

    tls: Tls | None = Field(
        default=None,
        description="Keys for TLS to the targets; null for plain text.",
    )


class TokenKey(Section):
    """A key that signs session tokens."""

    id: str = Field(
        min_length=1,
        max_length=16,
        pattern=r"^[A-Za-z0-9_-]+$",
        description="Short name of the key; it is part of each token.",
    )
    secret: Secret = Field(
        description="The secret key, at least 16 characters, the same on "
        "all VMs."
    )


class Limits(Section):
    """Limits on the work that one process accepts."""

    queue_length: int = _count_field(
        256, 1, 100_000, "Maximum statements queued for a slot, per group."
    )
    request_head_bytes: int = _bytes_field(
        16_384,
        1_024,
        65_536,
        "Maximum size of the request line and headers of a caller's request.",
    )
    request_body_bytes: int = _bytes_field(
        1_048_576, 1_024, 2_097_152, "Maximum size of a caller's request body."
    )
    retry_percent: float = percent(
        10.0, 0.0, 100.0, "Maximum retries, as a share of first attempts."
    )


class Timing(Section):
    """Timeouts and intervals."""

    connect_timeout_ms: int = milliseconds(
        1_000, 10, 60_000, "Timeout for opening a connection."
    )
    connect_interval_ms: int = milliseconds(
        20,
        0,
        10_000,
        "Minimum interval between two new connections to one target, so that "
        "connections lost together are not all reopened together.",
    )
    target_heartbeat_ms: int = milliseconds(
        1_000,
        50,
        60_000,
        "Idle time after which a pooled connection to a target is checked.",
    )
    target_heartbeat_timeout_ms: int = milliseconds(
        1_000,
        50,
        60_000,
        "Time without a response after which a pooled connection is "
        "considered dead.",
    )
    share_grace_ms: int = milliseconds(
        10_000,
        100,
        600_000,
        "Time for which a VM that has left the platform's list still counts "
        "as running. Only then can others use its share of the targets' "
        "limits.",
    )
    share_isolation_ms: int = milliseconds(
        4_000,
        50,
        300_000,
        "Time after which a VM without contact to the platform and to other "
        "VMs gives up its share. Together with the lag of the platform's list "
        "it must be less than `share_grace_ms`.",
    )
    suspect_ms: int = milliseconds(
        800,
        20,
        60_000,
        "Time without a response after which a holder suspects a primary.",
    )
    vm_list_ms: int = milliseconds(
        2_000,
        50,
        600_000,
        "Interval at which the platform's list of VMs is read.",
    )
    transaction_idle_ms: int = milliseconds(
        5_000,
        100,
        3_600_000,
        "Idle time after which an open transaction is rolled back. Until "
        "then it may hold a lock that blocks other writes of the group.",
    )
    platform_timeout_ms: int = milliseconds(
        2_000, 10, 60_000, "Timeout of a call to the platform."
    )
    backoff_ms: int = milliseconds(
        100,
        1,
        60_000,
        "Delay after the first failed call to the platform; it doubles with "
        "each further failure.",
    )
    longest_backoff_ms: int = milliseconds(
        5_000, 1, 600_000, "Maximum delay after failed calls."
    )
    watch_ms: int = milliseconds(
        3_000,
        100,
        600_000,
        "Maximum time that a watch waits for a change. A watch without an "
        "answer 3 s later shows that its connection has gone silent.",
    )
    repair_ms: int = milliseconds(
        2_000,
        50,
        600_000,
        "Interval at which versions of the table are compared with a peer.",
    )
    request_timeout_ms: int = milliseconds(
        10_000,
        100,
        600_000,
        "Time within which a caller's request must be complete after it has "
        "started.",
    )
    drain_notice_ms: int = milliseconds(
        5_000,
        0,
        600_000,
        "Time for which a process that shuts down still accepts connections, "
        "while the balancer detects that it is no longer ready.",
    )
    drain_idle_ms: int = milliseconds(
        5_000,
        0,
        600_000,
        "Additional time for which a process that shuts down keeps callers' "
        "idle connections open.",
    )
    drain_ms: int = milliseconds(
        30_000,
        0,
        600_000,
        "Maximum duration of a shutdown, regardless of work in flight.",
    )

    @model_validator(mode="after")
    def _check_ordered_pairs(self) -> "Timing":
        _check_ordered(self, "backoff_ms", "longest_backoff_ms")
        _check_ordered(self, "share_isolation_ms", "share_grace_ms")
        _check_ordered(self, "drain_notice_ms", "drain_ms")
        return self


class Objective(Section):
    """The service-level objectives of a group."""

    availability_percent: float = percent(
        99.9,
        50.0,
        99.9999,
        "Share of statements with an outcome other than overloaded, not run "
        "or unknown.",
    )
    latency_ms: int = milliseconds(
        100, 1, 600_000, "Response time objective for a statement."
    )
    latency_percent: float = percent(
        99.0, 50.0, 99.9999, "Share of statements within `latency_ms`."
    )
    failover_gap_ms: int = milliseconds(
        19_000,
        1,
        3_600_000,
        "Maximum time without writes when a primary fails.",
    )
    replica_share_percent: float = percent(
        50.0, 0.0, 100.0, "Share of reads that replicas should serve."
    )


class Objectives(Section):
    """The objectives that `bamboospring report` measures against."""

    window_days: int = Field(
        default=30,
        ge=1,
        le=366,
        description="Period over which an error budget is measured.",
        json_schema_extra={"unit": "days"},
    )
    default: Objective = Field(
        default_factory=lambda: Objective(),
        description="Objectives of groups without an entry in `groups`.",
    )
    groups: dict[str, Objective] = Field(
        default_factory=dict,
        description="Objectives by group name; a missing key has the built-in "
        "default, not the value in `default`.",
    )


class Settings(Section):
    """The settings of one VM's process."""

    vm: str = Field(
        min_length=1,
        max_length=64,
        pattern=r"^[A-Za-z0-9._-]+$",
        description="Name of this VM, as in the platform's list; for an "
        "entry-only process a unique name.",
    )
    availability_zone: str = Field(
        min_length=1,
        max_length=64,
        description="Name of the availability zone of this VM.",
    )
    region: str = Field(
        default="", max_length=64, description="Name of the region of this VM."
    )
    single_vm: bool = Field(
        default=False,
        description="Whether this deployment never has another VM. If a VM "
        "without peers loses contact to the platform, it cannot distinguish "
        "an outage from its own replacement and gives up its share of the "
        "targets' limits; with this setting it keeps its share.",
    )
    entry: EntryOnly = Field(
        default_factory=lambda: EntryOnly(),
        description="Additional processes on one VM.",
    )
    callers: Callers = Field(description="Listener for callers.")
    peers: Peers = Field(description="Listener for the system's other VMs.")
    operators: Operators = Field(description="Listener for operators.")
    platform: Platform = Field(description="The platform's object API.")
    targets: Targets = Field(
        default_factory=lambda: Targets(),
        description="Connections to the targets.",
    )
    token_keys: list[TokenKey] = Field(
        min_length=1,
        max_length=8,
        description="Keys of session tokens: the first signs new tokens, all "
        "are accepted. Reloaded on SIGHUP.",
    )
    limits: Limits = Field(
        default_factory=lambda: Limits(), description="Limits on work."
    )
    timing: Timing = Field(
        default_factory=lambda: Timing(), description="Timeouts and intervals."
    )
    lease: Lease = Field(
        default_factory=lambda: Lease(), description="Leases."
    )
    logs: Logs = Field(default_factory=lambda: Logs(), description="Logs.")
    objectives: Objectives = Field(
        default_factory=lambda: Objectives(),
        description="Service-level objectives.",
    )

    @field_validator("entry")
    @classmethod
    def _check_unique_name(cls, value: EntryOnly, info: Any) -> EntryOnly:
        if value.only and value.of == info.data.get("vm"):
            raise ValueError(
                f"of is the vm of this process, {value.of}: each process "
                "needs a unique name"
            )
        return value

    @field_validator("peers", "operators")
    @classmethod
    def _check_unique_address(cls, value: _Listener, info: Any) -> _Listener:
        taken = [
            info.data[name].listen
            for name in ("callers", "peers")
            if name in info.data
        ]
        if value.listen in taken and not value.listen.endswith(":0"):
            raise ValueError(f"another listener already uses {value.listen}")
        return value

    @field_validator("token_keys")
    @classmethod
    def _check_unique_key_ids(cls, keys: list[TokenKey]) -> list[TokenKey]:
        ids = [key.id for key in keys]
        if len(set(ids)) < len(ids):
            raise ValueError("two keys have the same id")
        return keys


def load(path: str | Path) -> Settings:
    """Return the settings of a file; raise `SettingsError` if invalid."""
    return load_as(Settings, path)


def parse(text: str, *, name: str = "settings") -> Settings:
    """Return the settings in `text`; `name` is the file name in errors."""
    return parse_as(Settings, text, name=name)


def _check_plain_text(address: str, tls: Tls | None, plain: bool) -> None:
    if tls is not None and plain:
        raise ValueError("tls and plain_text are mutually exclusive")
    if tls is not None or plain:
        return
    host, _ = split_address(address)
    if not ipaddress.ip_address(host).is_loopback:
        raise ValueError(
            f"{address} is on the network: set tls, or plain_text to true"
        )


def _check_ordered(section: BaseModel, low_key: str, high_key: str) -> None:
    low = getattr(section, low_key)
    high = getattr(section, high_key)
    if low > high:
        raise ValueError(f"{low_key} ({low}) is more than {high_key} ({high})")
