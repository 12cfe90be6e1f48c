"""What the word of a seat is worth to the receiver.

A seat passes on the changes of homes, in order, and says with each message how old the
renewals behind its word are at most. The receiver keeps, for each seat, up to which
change the seat knows each home. Only homes whose replica here is as far as that are
vouched for: a seat's word on a state that this gateway has not seen says nothing of the
state that it has. A missing message shows in the sequence, and the receiver asks the
seat how far it knows all homes.
"""

from typing import Final

import attrs

from bilberrydrum.upstreams import messages, table, views

# Questions to one seat are at least this far apart.
ASK_INTERVAL_SECONDS: Final = 0.3


@attrs.define
class _Stream:
    """What one seat has told, to its group or to other seats."""

    clock: views.SenderClock = attrs.field(factory=views.SenderClock)
    # Last message taken; None: how far the seat knows the homes is not known.
    sequence: int | None = None
    changes_by_home: dict[str, int] = attrs.field(factory=dict)
    # The message that showed a gap, and the homes it speaks for.
    unused: messages.Relayed | None = None
    homes: set[str] = attrs.field(factory=set)
    asked_at: float = table.NEVER

    def note(self, home: str, change: int) -> None:
        """Note that the seat knows a home up to `change`."""
        known = self.changes_by_home.get(home, 0)
        self.changes_by_home[home] = max(known, change)


class Receiver:
    """The words of all seats, as heard here."""

    def __init__(self, known: table.Table) -> None:
        self._table = known
        self._streams_by_key: dict[tuple[str, int, bool], _Stream] = {}
        self._behind: set[str] = set()

    def hear(
        self,
        sender: str,
        incarnation: int,
        message: messages.Relayed,
        homes: set[str],
        now: float,
    ) -> bool:
        """Take a seat's word on `homes`; its news have been applied to the views.

        Returns
        -------
        bool
            False if the seat must be asked how far it knows the homes.
        """
        stream = self._stream(sender, incarnation, message.is_all)
        if stream.sequence is not None and message.sequence <= stream.sequence:
            return True
        for news in message.news:
            stream.note(news.home, news.changes.change)
        columns = zip(message.loads.homes, message.loads.changes, strict=True)
        for home, change in columns:
            stream.note(home, change)
        if stream.sequence is None or message.sequence != stream.sequence + 1:
            stream.sequence = None
            stream.unused = message
            stream.homes = homes
            return self._was_asked(stream, now)
        stream.sequence = message.sequence
        sent_at = stream.clock.date(message.sent_at, now)
        if sent_at is not None:
            self._vouch(stream, message, homes, sent_at)
        return True

    def take_vector(
        self, sender: str, incarnation: int, vector: messages.Vector, now: float
    ) -> None:
        """Take how far a seat knows the homes."""
        stream = self._stream(sender, incarnation, vector.is_all)
        stream.clock.answer(vector.sent_at, vector.asked_at, now)
        if not stream.clock.is_known:
            return
        stream.sequence = vector.sequence
        columns = zip(vector.homes, vector.changes, strict=True)
        stream.changes_by_home.update(columns)
        unused, stream.unused = stream.unused, None
        if unused is None or unused.sequence > vector.sequence:
            return
        sent_at = stream.clock.date(unused.sent_at, now)
        if sent_at is not None:
            self._vouch(stream, unused, stream.homes, sent_at)

    def take_behind(self) -> set[str]:
        """Return the homes of which a seat knew more than the replica here holds.

        The question that was asked when the change was missed may be lost, and no
        later change may come: so they are returned with each message.
        """
        behind, self._behind = self._behind, set()
        return behind

    def forget(self, process_ids: set[str]) -> None:
        """Keep only the words of these gateways."""
        for key in list(self._streams_by_key):
            if key[0] not in process_ids:
                del self._streams_by_key[key]

    def _stream(self, sender: str, incarnation: int, is_all: bool) -> _Stream:
        key = (sender, incarnation, is_all)
        return self._streams_by_key.setdefault(key, _Stream())

    def _was_asked(self, stream: _Stream, now: float) -> bool:
        if now - stream.asked_at < ASK_INTERVAL_SECONDS:
            return True
        stream.asked_at = now
        return False

    def _vouch(
        self,
        stream: _Stream,
        message: messages.Relayed,
        homes: set[str],
        sent_at: float,
    ) -> None:
        ages_by_home = {late.home: late.age for late in message.late_homes}
        late_by_id_by_home = _by_home(message.late, sent_at)
        for home in homes:
            view = self._table.views_by_home.get(home)
            change = stream.changes_by_home.get(home)
            if view is None or change is None:
                continue
            if view.change < change:
                self._behind.add(home)
                continue
            age = ages_by_home.get(home, message.age)
            view.vouch(sent_at - age / 1000, late_by_id_by_home.get(home, {}))


def _by_home(
    late: tuple[messages.Late, ...], sent_at: float
) -> dict[str, dict[str, float]]:
    late_by_id_by_home: dict[str, dict[str, float]] = {}
    for entry in late:
        late_by_id = late_by_id_by_home.setdefault(entry.home, {})
        late_by_id[entry.upstream_id] = sent_at - entry.age / 1000
    return late_by_id_by_home
