"""An entry-only process: accepts callers of its VM and forwards to holders.

It runs beside the VM's main process, which the operators' init system starts
as usual, and shares the callers' address with it; docs/design/processes.md
gives the reasons.
"""

from __future__ import annotations

from http import HTTPStatus

import orjson

from bamboospring.blackboard import Vm
from bamboospring.entry_facts import EntryFacts
from bamboospring.forwarding import OnOutcome
from bamboospring.http_server import Request
from bamboospring.http_server import Response
from bamboospring.operators import Respond
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Reason
from bamboospring.process import Process
from bamboospring.rendezvous import bucket_of
from bamboospring.server_metrics import add_process_metrics
from bamboospring.settings import Settings
from bamboospring.statements import Statement
from bamboospring.status_view import StatusView

__all__ = ["EntryOnly"]


class _RejectingHolder:
    """Refuses statements that are sent to this process as a holder.

    This occurs only if a VM of the list has the name of this process. The
    entry then tries the next holder, because nothing ran.
    """

    def run(self, stmt: Statement, on_outcome: OnOutcome) -> None:
        """Refuse a statement."""
        on_outcome(NotRun(reason=Reason.NOT_HOLDER))


class EntryOnly(Process):
    """The components of an entry-only process."""

    def __init__(self, cfg: Settings, path: str = "") -> None:
        super().__init__(cfg, path)
        assert cfg.entry.main is not None
        self.entry = self._make_entry(_RejectingHolder())
        self.facts = EntryFacts(
            reactor=self.reactor,
            board=self.board,
            placement=self.placement,
            peers=self.peers,
            membership=self.membership,
            main=Vm(
                name=cfg.entry.of,
                address=cfg.entry.main,
                availability_zone=cfg.availability_zone,
                region=cfg.region,
            ),
            seeds=cfg.peers.seeds,
        ).register(self)
        self.drain = self._make_drain()
        status = StatusView(
            board=self.board,
            placement=self.placement,
            metrics=self.metrics,
            now=self.reactor.now,
            entry_of=cfg.entry.of,
        )
        self.operators = self._make_operators(
            status=status,
            handle_table=self._refuse_table,
            hand_over=self._order_hand_over,
        )
        add_process_metrics(self)

    def _refuse_table(self, req: Request, respond: Respond) -> bool:
        if not req.path.startswith("/table"):
            return False
        text = f"the table is at the main process of {self.cfg.entry.of}"
        respond(
            Response(
                status=HTTPStatus.MISDIRECTED_REQUEST,
                body=orjson.dumps({"error": text}),
            )
        )
        return True

    def _order_hand_over(self, group: str, target: str) -> None:
        for vm in self.placement.candidates(bucket_of(group)):
            self._send_hand_over(vm, group, target)
