"""What waits at a seat to be relayed to one set of receivers, and the seat's word.

Changes of a home that wait are joined into one. Homes of which only loads changed are
packed into columns.
"""

from typing import Final

import attrs

from bilberrydrum.upstreams import messages, records, relayed_loads, table

# Homes whose renewals are older than this are told apart.
LATE_HOME_SECONDS: Final = 2.0
# Largest age that is sent; beyond it a home's word has long run out.
MAX_AGE_SECONDS: Final = 60.0


class Outgoing:
    """What this gateway relays to one set of receivers."""

    def __init__(self, known: table.Table, is_all: bool) -> None:
        self._table = known
        self._is_all = is_all
        self._sequence = 0
        # What waits, joined for each home.
        self._news_by_home: dict[str, messages.HomeChanges] = {}
        self._records: list[records.Record] = []

    @property
    def has_news(self) -> bool:
        """Tell whether more than loads waits to be relayed."""
        return bool(self._records) or any(
            _is_urgent(news.changes) for news in self._news_by_home.values()
        )

    def add(self, news: messages.HomeChanges) -> None:
        """Relay a home's changes with the next message."""
        waiting = self._news_by_home.get(news.home)
        if waiting is not None and waiting.incarnation == news.incarnation:
            changes = _joined(waiting.changes, news.changes)
            news = attrs.evolve(news, changes=changes)
        self._news_by_home[news.home] = news

    def add_record(self, record: records.Record) -> None:
        """Relay a record that no home has logged."""
        self._records.append(record)

    def clear(self) -> None:
        """Forget what waits: this gateway holds no seat."""
        self._news_by_home.clear()
        self._records.clear()

    def relayed(
        self, homes: set[str], topology_digest: int, now: float
    ) -> messages.Relayed:
        """Return the next message."""
        self._sequence += 1
        ages_by_home = {home: now - self._vouched_at(home, now) for home in homes}
        in_time = [age for age in ages_by_home.values() if age <= LATE_HOME_SECONDS]
        late_homes = tuple(
            messages.LateHome(home, int(1000 * min(age, MAX_AGE_SECONDS)))
            for home, age in ages_by_home.items()
            if age > LATE_HOME_SECONDS
        )
        loads_by_home = {
            home: news.changes
            for home, news in self._news_by_home.items()
            if not _is_urgent(news.changes)
        }
        message = messages.Relayed(
            int(now * 1000),
            self._sequence,
            topology_digest,
            self._is_all,
            # Rounded up, so that the receiver believes no more than is known.
            int(1000 * max(in_time, default=0.0)) + 1,
            late_homes,
            self._late(homes, now),
            tuple(
                news
                for home, news in self._news_by_home.items()
                if home not in loads_by_home
            ),
            relayed_loads.pack(loads_by_home),
            tuple(self._records),
        )
        self.clear()
        return message

    def vector(
        self, homes: set[str], fetch: messages.FetchVector, now: float
    ) -> messages.Vector:
        """Return how far this seat knows the homes."""
        views_by_home = self._table.views_by_home
        known = sorted(home for home in homes if home in views_by_home)
        own = self._table.process_id
        return messages.Vector(
            fetch.asked_at,
            int(now * 1000),
            self._is_all,
            self._sequence,
            (*known, own),
            (
                *(views_by_home[home].change for home in known),
                self._table.own.change,
            ),
        )

    def _vouched_at(self, home: str, now: float) -> float:
        if home == self._table.process_id:
            return now - self._table.own.standing(now).age / 1000
        view = self._table.views_by_home.get(home)
        return table.NEVER if view is None else view.vouched_at

    def _late(self, homes: set[str], now: float) -> tuple[messages.Late, ...]:
        late = [
            attrs.evolve(entry, home=self._table.process_id)
            for entry in self._table.own.standing(now).late
        ]
        for home in homes:
            view = self._table.views_by_home.get(home)
            late_by_id = {} if view is None else view.late_by_id()
            late.extend(
                messages.Late(upstream_id, int((now - at) * 1000) + 1, home)
                for upstream_id, at in late_by_id.items()
            )
        return tuple(late)


def _is_urgent(changes: messages.Changes) -> bool:
    # Without loads, too, it may be the mark that the receivers must ask the home.
    return bool(changes.items) or not changes.loads


def _joined(first: messages.Changes, second: messages.Changes) -> messages.Changes:
    """Return two changes of a home, one after the other, as one."""
    if second.previous > first.change or not (second.items or second.loads):
        # Between them something is missing here, and the receiver must ask as well.
        return messages.Changes(second.sent_at, second.change, second.change)
    items_by_id = {item.upstream_id: item for item in (*first.items, *second.items)}
    loads_by_id = {load.upstream_id: load for load in first.loads}
    for item in second.items:
        loads_by_id.pop(item.upstream_id, None)
    for load in second.loads:
        loads_by_id[load.upstream_id] = load
    return messages.Changes(
        second.sent_at,
        first.previous,
        second.change,
        tuple(items_by_id.values()),
        tuple(loads_by_id.values()),
    )
