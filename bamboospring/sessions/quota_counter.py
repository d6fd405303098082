"""Count operations of teams for the VMs of this VM's availability zone."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from bamboospring.peers import new_envelope
from bamboospring.peers import Peers
from bamboospring.peers import Reply
from bamboospring.reactor import Reactor
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.model import Team
from bamboospring.sessions.quota_holders import limit_parts
from bamboospring.sessions.quota_holders import may_count
from bamboospring.sessions.quota_holders import QuotaHolders
from bamboospring.sessions.quota_holders import QuotaVm
from bamboospring.sessions.team_quota import Allowance
from bamboospring.sessions.team_quota import QuotaTolerance
from bamboospring.sessions.team_quota import TeamQuotas
from bamboospring.sessions.team_urgency import CLASS_COUNT
from bamboospring.sessions.team_urgency import UrgencyAllowance
from bamboospring.sessions.team_urgency import UrgencyReserve

__all__ = ["QuotaCounter"]


class QuotaCounter:
    """Grants operations of teams.

    `confirmed_at` returns when the choice of VMs that count was last
    confirmed.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: SessionBoard,
        peers: Peers,
        local_vm: QuotaVm,
        confirmed_at: Callable[[], float],
        tolerance: QuotaTolerance,
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._local_vm = local_vm
        self._confirmed_at = confirmed_at
        self._quotas = TeamQuotas(tolerance=tolerance)
        self._reserves: dict[str, UrgencyReserve] = {}
        self._holders: QuotaHolders | None = None
        self.request_count = 0
        peers.add_handler("quotaAsk", self._on_request)
        peers.add_handler("quotaReturn", self._on_return)

    @property
    def local_vm(self) -> QuotaVm:
        """Return this VM as it is named among the VMs that count."""
        return self._local_vm

    def grant(self, team: str, wanted: int) -> Allowance | None:
        """Grant up to `wanted` operations; None if this VM does not count."""
        counted = self._counted_limit(team)
        if counted is None:
            return None
        limits, parts = counted
        now = self._reactor.now()
        return self._quotas.grant(limits, wanted, parts=parts, now=now)

    def grant_by_urgency(
        self, team: str, wanted: Sequence[int]
    ) -> UrgencyAllowance | None:
        """Grant operations, counted by class, the most urgent first."""
        counted = self._counted_limit(team)
        if counted is None:
            return None
        limits, parts = counted
        if limits.rate is None:
            return UrgencyAllowance(count=sum(wanted))
        now = self._reactor.now()
        bucket = self._quotas.bucket(limits, limits.rate, parts, now)
        reserve = self._reserves.setdefault(team, UrgencyReserve())
        return reserve.take(bucket, wanted, parts, now)

    def _counted_limit(self, team: str) -> tuple[Team, int] | None:
        """Return a team's limit and into how many parts it is divided.

        Return None if this VM does not count for the team.
        """
        self.request_count += 1
        holders, catalog = self._board.quota_holders, self._board.catalog
        if holders != self._holders:
            self._holders = holders
            self._drop_other_teams()
        limits = (catalog.teams or {}).get(team) if catalog else None
        if holders is None or limits is None or not self._may_count(team):
            return None
        return limits, limit_parts(holders)

    def return_operations(self, team: str, count: int) -> None:
        """Take back granted operations that did not run."""
        self._quotas.return_operations(team, count, self._reactor.now())

    def _may_count(self, team: str) -> bool:
        return may_count(
            self._board.quota_holders,
            self._local_vm,
            team,
            confirmed_at=self._confirmed_at(),
            now=self._reactor.now(),
        )

    def _drop_other_teams(self) -> None:
        # Another VM counts for these teams. If this VM counts for one again
        # later, it must not grant a burst that the other VM has already
        # granted.
        for team in self._quotas.teams():
            if not self._may_count(team):
                self._quotas.forget(team)
                self._reserves.pop(team, None)

    def _on_request(self, message: Any, reply: Reply) -> None:
        ask = message.quotaAsk
        answer = new_envelope()
        body = answer.init("quotaAnswer")
        if self._board.load_control and len(ask.urgencies) == CLASS_COUNT:
            by_class = self.grant_by_urgency(ask.team, list(ask.urgencies))
            if by_class is not None:
                body.counts = True
                body.count = by_class.count
                body.retriesMs = [
                    round(delay * 1000) for delay in by_class.retry_after
                ]
            reply(answer)
            return
        allowance = self.grant(ask.team, ask.wanted)
        if allowance is not None:
            body.counts = True
            body.count = allowance.count
            body.retryMs = round(allowance.retry_after * 1000)
        reply(answer)

    def _on_return(self, message: Any, _reply: Reply) -> None:
        returned = message.quotaReturn
        self.return_operations(returned.team, returned.count)
