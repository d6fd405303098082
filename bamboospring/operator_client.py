"""Client for the operators' listener of one of several VMs.

client = OperatorClient(vms=("10.0.0.1:9000",), token="...")
client.call("GET", "/table")
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
import http.client
import json
import ssl
from typing import Any

from bamboospring.errors import CommandError

__all__ = ["OperatorAnswer", "OperatorClient", "Unreachable"]


class Unreachable(CommandError):
    """None of the VMs answered."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorAnswer:
    """A VM's answer with its decoded body."""

    vm: str
    status: int
    body: Any


class OperatorClient:
    """Sends a request to the VMs in turn until one answers.

    Use it only for requests that can be repeated safely: reads, and edits,
    which have unique ids. `authority` is the path of a certificate file for
    TLS; empty means plain text.
    """

    def __init__(
        self,
        *,
        vms: Sequence[str],
        token: str,
        timeout: float = 30.0,
        authority: str = "",
    ) -> None:
        self._vms = tuple(vms)
        self._token = token
        self._timeout = timeout
        self._authority = authority

    def call(self, method: str, path: str, body: Any = None) -> OperatorAnswer:
        """Return the first answer; raise `Unreachable` if no VM answers."""
        failures = []
        for vm in self._vms:
            try:
                return self._send(vm, method, path, body)
            except (OSError, http.client.HTTPException, ValueError) as exc:
                failures.append(f"{vm}: {exc or type(exc).__name__}")
        raise Unreachable("no VM answers: " + "; ".join(failures))

    def _send(
        self, vm: str, method: str, path: str, body: Any
    ) -> OperatorAnswer:
        conn = self._new_connection(vm)
        headers = {
            "Authorization": f"Bearer {self._token}",
            "Content-Type": "application/json",
        }
        text = None if body is None else json.dumps(body)
        try:
            conn.request(method, path, text, headers)
            resp = conn.getresponse()
            data = resp.read()
        finally:
            conn.close()
        return OperatorAnswer(
            vm=vm, status=resp.status, body=json.loads(data) if data else None
        )

    def _new_connection(self, vm: str) -> http.client.HTTPConnection:
        host, _, port = vm.rpartition(":")
        if not self._authority:
            return http.client.HTTPConnection(
                host, int(port), timeout=self._timeout
            )
        return http.client.HTTPSConnection(
            host,
            int(port),
            timeout=self._timeout,
            context=ssl.create_default_context(cafile=self._authority),
        )
