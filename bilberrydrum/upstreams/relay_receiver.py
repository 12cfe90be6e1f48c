"""Confirm renewals of other owners' upstreams from the messages of relay nodes.

A relay node relays the changes of owners in order, and states with each message the
largest age of the renewals that it confirms. The receiver tracks, for each relay node,
up to which change that node knows each owner. A message confirms renewals only for
owners whose view here has reached that change: otherwise, a change that is missing here
may have removed an upstream that is still in the view. A missing message shows as a gap
in the sequence numbers, and the receiver then asks the relay node how far it knows all
owners.
"""

from typing import Final

import attrs

from bilberrydrum.upstreams import messages, table, views

# Minimum time between two vector requests to one relay node.
VECTOR_INTERVAL_SECONDS: Final = 0.3


@attrs.define
class _Stream:
    """The messages of one relay node to its group, or to other relay nodes."""

    clock: views.SenderClock = attrs.field(factory=views.SenderClock)
    # Sequence number of the last message applied. None: it is not known how far the
    # relay node knows the owners.
    sequence: int | None = None
    changes_by_owner: dict[str, int] = attrs.field(factory=dict)
    # The message that revealed a gap, and the owners that it covers.
    pending: messages.Relayed | None = None
    owners: set[str] = attrs.field(factory=set)
    asked_at: float = table.NEVER

    def record_change(self, owner: str, change: int) -> None:
        """Record that the relay node knows an owner up to `change`."""
        known = self.changes_by_owner.get(owner, 0)
        self.changes_by_owner[owner] = max(known, change)


class Receiver:
    """The messages of all relay nodes, as received here."""

    def __init__(self, known: table.Table) -> None:
        self._table = known
        self._streams_by_key: dict[tuple[str, int, bool], _Stream] = {}
        self._behind: set[str] = set()

    def receive(
        self,
        sender: str,
        incarnation: int,
        message: messages.Relayed,
        owners: set[str],
        now: float,
    ) -> bool:
        """Apply a message on `owners`, whose changes have been applied to the views.

        Returns
        -------
        bool
            False if the relay node must be asked how far it knows the owners.
        """
        stream = self._stream(sender, incarnation, message.is_all)
        if stream.sequence is not None and message.sequence <= stream.sequence:
            return True
        for update in message.news:
            stream.record_change(update.home, update.changes.change)
        columns = zip(message.loads.homes, message.loads.changes, strict=True)
        for owner, change in columns:
            stream.record_change(owner, change)
        if stream.sequence is None or message.sequence != stream.sequence + 1:
            stream.sequence = None
            stream.pending = message
            stream.owners = owners
            return self._is_vector_requested(stream, now)
        stream.sequence = message.sequence
        sent_at = stream.clock.local_time(message.sent_at, now)
        if sent_at is not None:
            self._confirm_renewals(stream, message, owners, sent_at)
        return True

    def apply_vector(
        self, sender: str, incarnation: int, vector: messages.Vector, now: float
    ) -> None:
        """Record how far a relay node knows the owners."""
        stream = self._stream(sender, incarnation, vector.is_all)
        stream.clock.calibrate(vector.sent_at, vector.asked_at, now)
        if not stream.clock.is_known:
            return
        stream.sequence = vector.sequence
        columns = zip(vector.homes, vector.changes, strict=True)
        stream.changes_by_owner.update(columns)
        pending, stream.pending = stream.pending, None
        if pending is None or pending.sequence > vector.sequence:
            return
        sent_at = stream.clock.local_time(pending.sent_at, now)
        if sent_at is not None:
            self._confirm_renewals(stream, pending, stream.owners, sent_at)

    def take_behind(self) -> set[str]:
        """Return the owners whose view here is behind that of a relay node.

        The fetch that was sent when the change was missed may be lost, and no later
        change may follow. So they are returned after each message.
        """
        behind, self._behind = self._behind, set()
        return behind

    def forget(self, process_ids: set[str]) -> None:
        """Drop the state kept for all other gateways."""
        for key in list(self._streams_by_key):
            if key[0] not in process_ids:
                del self._streams_by_key[key]

    def _stream(self, sender: str, incarnation: int, is_all: bool) -> _Stream:
        key = (sender, incarnation, is_all)
        return self._streams_by_key.setdefault(key, _Stream())

    def _is_vector_requested(self, stream: _Stream, now: float) -> bool:
        if now - stream.asked_at < VECTOR_INTERVAL_SECONDS:
            return True
        stream.asked_at = now
        return False

    def _confirm_renewals(
        self,
        stream: _Stream,
        message: messages.Relayed,
        owners: set[str],
        sent_at: float,
    ) -> None:
        ages_by_owner = {late.home: late.age for late in message.late_homes}
        late_by_id_by_owner = _late_by_owner(message.late, sent_at)
        for owner in owners:
            view = self._table.views_by_owner.get(owner)
            change = stream.changes_by_owner.get(owner)
            if view is None or change is None:
                continue
            if view.change < change:
                self._behind.add(owner)
                continue
            age = ages_by_owner.get(owner, message.age)
            view.confirm_renewals(
                sent_at - age / 1000, late_by_id_by_owner.get(owner, {})
            )


def _late_by_owner(
    late: tuple[messages.Late, ...], sent_at: float
) -> dict[str, dict[str, float]]:
    late_by_id_by_owner: dict[str, dict[str, float]] = {}
    for entry in late:
        late_by_id = late_by_id_by_owner.setdefault(entry.home, {})
        late_by_id[entry.upstream_id] = sent_at - entry.age / 1000
    return late_by_id_by_owner
