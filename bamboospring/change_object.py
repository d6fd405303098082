"""How a change of primary writes the group's object.

Of an unanswered update nothing is believed; the object is read back, and the
nonce in it tells whose it is.
"""

from __future__ import annotations

from typing import Any

from bamboospring.change_actions import Action
from bamboospring.change_actions import GroupObject
from bamboospring.change_actions import UpdateGroup
from bamboospring.change_base import ChangeBase
from bamboospring.change_base import RESEND
from bamboospring.change_plan import ChangePhase

__all__ = ["ObjectUpdates"]

STARTS_KEPT = 16


class ObjectUpdates(ChangeBase):
    """Win the term and record the primary, by conditional updates."""

    def on_updated(self, version: int, now: float) -> list[Action]:
        """Take in that our update was done."""
        self._calling = False
        update = self._update
        if self.is_over or update is None:
            return []
        stored = GroupObject(
            name=self.group, version=version, value=update.value
        )
        return self._resolve(stored, now)

    def on_conflict(self, found: GroupObject, now: float) -> list[Action]:
        """Take in that the object was at another version."""
        self._calling = False
        return [] if self.is_over else self._resolve(found, now)

    def on_update_unanswered(self, now: float) -> list[Action]:
        """Take in that nothing is known of our update: read it back."""
        self._call_again_at = now + RESEND
        self._calling = False
        return []

    def _win(self, now: float) -> list[Action]:
        assert self._object is not None
        known = max(probe.term for probe in self._probes.values())
        term = max(int(self._object.value.get("term", 0)), known) + 1
        self._enter(ChangePhase.WIN, now)
        return self._put({"term": term, "primary": ""})

    def _put(self, fields: dict[str, Any]) -> list[Action]:
        assert self._object is not None
        value = {**self._object.value, **fields, "steward": self.nonce}
        self._update = UpdateGroup(
            if_version=self._object.version, value=value
        )
        self._calling = True
        return [self._update]

    def _resolve(self, found: GroupObject, now: float) -> list[Action]:
        """Find out from the object what became of our update."""
        update = self._update
        assert update is not None
        self._object = found
        if found.version == update.if_version:
            # Not done, but it may still be on its way. The same update again
            # is harmless: only one of the two can meet this version.
            self._calling = True
            return [update]
        if found.value.get("steward") != self.nonce:
            if self.term == 0 and found.value.get("term", 0) < (
                update.value["term"]
            ):
                return self._end("object was edited meanwhile", now)
            return self._end("another steward won a term", now)
        if found.value.get("targets") != update.value.get("targets"):
            return self._end("the group's targets were edited", now)
        wanted = update.value["term"], update.value["primary"]
        if (found.value["term"], found.value["primary"]) != wanted:
            # Ours is the newest term, but somebody edited another field on
            # top of our first update: put the second one on top of that.
            ours = ("primary", "starts", "settled")
            return self._put(
                {key: update.value[key] for key in ours if key in update.value}
            )
        if self.phase is ChangePhase.WIN:
            return self._won(now)
        self.record = found.record()
        self._enter(ChangePhase.DONE, now)
        return []

    def _put_record(self) -> list[Action]:
        assert self._object is not None
        starts = list(self._object.value.get("starts", []))
        starts.append({"term": self.term, "index": self._start})
        return self._put(
            {
                "primary": self.primary,
                "starts": starts[-STARTS_KEPT:],
                "settled": sorted(self._targets),
            }
        )

    def _won(self, now: float) -> list[Action]:
        """Go on once the term is won."""
        raise NotImplementedError
