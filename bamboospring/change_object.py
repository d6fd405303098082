"""Updates of the group's object by a change of primary.

The outcome of an unanswered update is unknown: the object is read back, and
its nonce identifies the writer.
"""

from __future__ import annotations

from typing import Any

from bamboospring.change_actions import Action
from bamboospring.change_actions import GroupObject
from bamboospring.change_actions import UpdateGroup
from bamboospring.change_base import ChangeBase
from bamboospring.change_base import RESEND_INTERVAL
from bamboospring.change_plan import ChangePhase

__all__ = ["ObjectUpdates"]

MAX_TERM_STARTS = 16


class ObjectUpdates(ChangeBase):
    """Win the term and record the primary by conditional updates."""

    def on_updated(self, version: int, now: float) -> list[Action]:
        """Handle the success of an update."""
        self._call_in_flight = False
        update = self._update
        if self.is_over or update is None:
            return []
        stored = GroupObject(
            name=self.group, version=version, value=update.value
        )
        return self._resolve_update(stored, now)

    def on_conflict(self, found: GroupObject, now: float) -> list[Action]:
        """Handle an update that failed because the version differed."""
        self._call_in_flight = False
        return [] if self.is_over else self._resolve_update(found, now)

    def on_update_unanswered(self, now: float) -> list[Action]:
        """Handle an update whose outcome is unknown: read the object back."""
        self._next_call_at = now + RESEND_INTERVAL
        self._call_in_flight = False
        return []

    def _win_term(self, now: float) -> list[Action]:
        assert self._object is not None
        max_probed_term = max(probe.term for probe in self._probes.values())
        term = max(int(self._object.value.get("term", 0)), max_probed_term) + 1
        self._enter_phase(ChangePhase.WIN, now)
        return self._put({"term": term, "primary": ""})

    def _put(self, fields: dict[str, Any]) -> list[Action]:
        assert self._object is not None
        value = {**self._object.value, **fields, "steward": self.nonce}
        self._update = UpdateGroup(
            if_version=self._object.version, value=value
        )
        self._call_in_flight = True
        return [self._update]

    def _resolve_update(self, found: GroupObject, now: float) -> list[Action]:
        """Determine the outcome of the update from the object."""
        update = self._update
        assert update is not None
        self._object = found
        if found.version == update.if_version:
            # The update has not taken effect but may still do so. Sending it
            # again is harmless: only one of the two can match this version.
            self._call_in_flight = True
            return [update]
        if found.value.get("steward") != self.nonce:
            if self.term == 0 and found.value.get("term", 0) < (
                update.value["term"]
            ):
                return self._end(
                    "the object was edited during the change", now
                )
            return self._end("another steward won a term", now)
        if found.value.get("targets") != update.value.get("targets"):
            return self._end("the group's targets were edited", now)
        wanted = update.value["term"], update.value["primary"]
        if (found.value["term"], found.value["primary"]) != wanted:
            # This change has the newest term, but another field was edited
            # after its first update: apply the second update to that version.
            our_fields = ("primary", "starts", "settled")
            return self._put(
                {
                    key: update.value[key]
                    for key in our_fields
                    if key in update.value
                }
            )
        if self.phase is ChangePhase.WIN:
            return self._on_term_won(now)
        self.record = found.record()
        self._enter_phase(ChangePhase.DONE, now)
        return []

    def _put_record(self) -> list[Action]:
        assert self._object is not None
        starts = list(self._object.value.get("starts", []))
        starts.append({"term": self.term, "index": self._term_start})
        return self._put(
            {
                "primary": self.primary,
                "starts": starts[-MAX_TERM_STARTS:],
                "settled": sorted(self._targets),
            }
        )

    def _on_term_won(self, now: float) -> list[Action]:
        """Continue after the term is won."""
        raise NotImplementedError
