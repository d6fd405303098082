"""Counts teams' operations for the VMs of this VM's availability zone."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from bamboospring.peers import new_envelope
from bamboospring.peers import Peers
from bamboospring.peers import Reply
from bamboospring.reactor import Reactor
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.quota_holders import may_count
from bamboospring.sessions.quota_holders import parts_of
from bamboospring.sessions.quota_holders import QuotaHolders
from bamboospring.sessions.quota_holders import QuotaVm
from bamboospring.sessions.team_quota import Allowance
from bamboospring.sessions.team_quota import TeamQuotas
from bamboospring.sessions.team_quota import Tolerance

__all__ = ["QuotaCounter"]


class QuotaCounter:
    """Answers how many operations of a team may run.

    `confirmed_at` returns when the choice of who counts was last confirmed.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: SessionBoard,
        peers: Peers,
        me: QuotaVm,
        confirmed_at: Callable[[], float],
        tolerance: Tolerance,
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._me = me
        self._confirmed_at = confirmed_at
        self._quotas = TeamQuotas(tolerance=tolerance)
        self._holders: QuotaHolders | None = None
        self.asked = 0
        peers.add_handler("quotaAsk", self._on_ask)
        peers.add_handler("quotaReturn", self._on_return)

    @property
    def me(self) -> QuotaVm:
        """Return this VM as the choice of who counts names it."""
        return self._me

    def take(self, team: str, wanted: int) -> Allowance | None:
        """Let up to `wanted` operations in; None if this VM can't say."""
        self.asked += 1
        holders, catalog = self._board.quota_holders, self._board.catalog
        if holders != self._holders:
            self._holders = holders
            self._forget_others()
        limits = (catalog.teams or {}).get(team) if catalog else None
        if holders is None or limits is None or not self._counts(team):
            return None
        now = self._reactor.now()
        parts = parts_of(holders)
        return self._quotas.take(limits, wanted, parts=parts, now=now)

    def give_back(self, team: str, count: int) -> None:
        """Take back what was let in and did not run."""
        self._quotas.give_back(team, count, self._reactor.now())

    def _counts(self, team: str) -> bool:
        return may_count(
            self._board.quota_holders,
            self._me,
            team,
            confirmed_at=self._confirmed_at(),
            now=self._reactor.now(),
        )

    def _forget_others(self) -> None:
        # Another VM counts for these from now on. Should this one do so again
        # it must not let in a burst that the other has let in already.
        for team in self._quotas.teams():
            if not self._counts(team):
                self._quotas.forget(team)

    def _on_ask(self, message: Any, reply: Reply) -> None:
        ask = message.quotaAsk
        allowance = self.take(ask.team, ask.wanted)
        answer = new_envelope()
        body = answer.init("quotaAnswer")
        if allowance is not None:
            body.counts = True
            body.count = allowance.count
            body.retryMs = round(allowance.retry_after * 1000)
        reply(answer)

    def _on_return(self, message: Any, _reply: Reply) -> None:
        returned = message.quotaReturn
        self.give_back(returned.team, returned.count)
