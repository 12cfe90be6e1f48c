"""What one other home has told: a replica of its records, and until when they stand.

A home's word is worth as much as the renewals behind it. Each of its messages says how
long ago its upstreams renewed, and the receiver counts the lease from then, not from
when the message was read: a message may have waited in a socket while this process was
stopped, or while the network was cut.

How long it waited is worked out from the sender's monotonic clock. The least difference
between receiving and sending clock, with an allowance for clocks that run at unlike
rates, is taken as no delay; what a message shows beyond it is delay. The first
difference must come from an answer to a question asked shortly before, since any other
message may be of any age.
"""

from collections.abc import Mapping
from typing import Final

import attrs

from bilberrydrum.upstreams import messages, records

# Share by which two hosts' clocks may drift apart; hosts keep well below it.
CLOCK_DRIFT: Final = 0.001
# What an answer's round trip may add to the least difference of the clocks. It is the
# most by which the first message after it may be taken for newer than it is.
MAX_ROUND_TRIP_SECONDS: Final = 0.2
# An answer that took longer is not used.
MAX_ANSWER_SECONDS: Final = 1.5


class SenderClock:
    """Dates a sender's messages by the receiver's clock."""

    def __init__(self) -> None:
        self._difference: float | None = None
        self._updated_at = 0.0
        self._is_exact = False

    @property
    def is_known(self) -> bool:
        """Tell whether messages can be dated."""
        return self._difference is not None

    @property
    def is_exact(self) -> bool:
        """Tell whether no better answer is needed."""
        return self._is_exact

    def answer(self, sent_at: int, asked_at: int, now: float) -> None:
        """Take an answer, sent after this process asked at `asked_at`.

        An answer that took long makes later messages look older than they are, never
        newer; a quicker one mends that.
        """
        round_trip = now - asked_at / 1000
        if round_trip > MAX_ANSWER_SECONDS:
            return
        least = (asked_at - sent_at) / 1000
        if self._difference is None:
            self._difference = least + min(round_trip, MAX_ROUND_TRIP_SECONDS)
            self._updated_at = now
        else:
            self._difference = max(self._difference, least)
        if round_trip <= MAX_ROUND_TRIP_SECONDS:
            self._is_exact = True

    def date(self, sent_at: int, now: float) -> float | None:
        """Return when a message received now was sent; None: not known."""
        if self._difference is None:
            return None
        drift = CLOCK_DRIFT * (now - self._updated_at)
        self._difference = min(now - sent_at / 1000, self._difference + drift)
        self._updated_at = now
        return min(now, sent_at / 1000 + self._difference)


class View:
    """The replica of one home's records."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.records_by_id: dict[str, records.Record] = {}
        self.change = 0
        self.digest = 0
        self.clock = SenderClock()
        # When the home was last heard, whatever it said.
        self.heard_at = float("-inf")
        self._standing_sent_at = -1
        # When the upstreams renewed, by this process's clock: all of them at least
        # then, but for those named.
        self._renewed_at = float("-inf")
        self._renewed_at_by_id: dict[str, float] = {}
        # When the last question to the home was asked, and how many since it was heard.
        self.asked_at = float("-inf")
        self.n_unanswered = 0

    def renewed_at(self, upstream_id: str, life: int) -> float:
        """Return when the upstream renewed last, as far as the home has told."""
        held = self.records_by_id.get(upstream_id)
        if held is None or held.life != life:
            return float("-inf")
        return self._renewed_at_by_id.get(upstream_id, self._renewed_at)

    def stand(self, standing: messages.Standing, now: float) -> bool:
        """Take the home's word that its upstreams stand; False: something is missed."""
        if standing.sent_at <= self._standing_sent_at:
            # Sent twice, or overtaken by a later one.
            return True
        if (standing.change, standing.digest) != (self.change, self.digest):
            return False
        sent_at = self.clock.date(standing.sent_at, now)
        if sent_at is None:
            return False
        self._standing_sent_at = standing.sent_at
        self.vouch(
            sent_at - standing.age / 1000,
            {late.upstream_id: sent_at - late.age / 1000 for late in standing.late},
        )
        return True

    def vouch(self, renewed_at: float, late_by_id: Mapping[str, float]) -> None:
        """Take it that all upstreams renewed at `renewed_at` or later, or as given."""
        if renewed_at <= self._renewed_at:
            return
        self._renewed_at = renewed_at
        later_by_id = {
            upstream_id: at
            for upstream_id, at in self._renewed_at_by_id.items()
            if at > renewed_at
        }
        self._renewed_at_by_id = {**late_by_id, **later_by_id}

    @property
    def vouched_at(self) -> float:
        """When all upstreams but the late ones are known to have renewed."""
        return self._renewed_at

    def late_by_id(self) -> dict[str, float]:
        """Return when the upstreams renewed that are later than the others."""
        return {
            upstream_id: at
            for upstream_id, at in self._renewed_at_by_id.items()
            if at < self._renewed_at
        }

    def apply(self, changes: messages.Changes, now: float) -> bool:
        """Take the home's changes; False: earlier ones are missed."""
        if changes.change <= self.change:
            return True
        if changes.previous > self.change:
            return False
        sent_at = None
        if changes.sent_at:
            sent_at = self.clock.date(changes.sent_at, now)
        for item in changes.items:
            if item.change > self.change:
                self._put(item.upstream_id, item.record)
                self._put_age(item.upstream_id, item.age, sent_at)
        for load in changes.loads:
            if load.change > self.change:
                self._put_load(load)
                self._put_age(load.upstream_id, load.age, sent_at)
        self.change = changes.change
        return True

    def replace(self, fetched: messages.Fetched, now: float) -> None:
        """Take all that the home answers for in place of what was held."""
        self.records_by_id.clear()
        self.digest = 0
        self.change = 0
        self._renewed_at = float("-inf")
        self._renewed_at_by_id.clear()
        self._standing_sent_at = -1
        self.apply(fetched.changes, now)
        self.change = fetched.changes.change

    def _put(self, upstream_id: str, record: records.Record | None) -> None:
        held = self.records_by_id.pop(upstream_id, None)
        if held is not None:
            self.digest ^= held.digest()
        self._renewed_at_by_id.pop(upstream_id, None)
        if record is not None and record.state == records.STATE_STANDS:
            self.records_by_id[upstream_id] = record
            self.digest ^= record.digest()

    def _put_age(self, upstream_id: str, age: int, sent_at: float | None) -> None:
        if sent_at is not None and upstream_id in self.records_by_id:
            self._renewed_at_by_id[upstream_id] = sent_at - age / 1000

    def _put_load(self, item: messages.LoadItem) -> None:
        held = self.records_by_id.get(item.upstream_id)
        if held is None:
            # The digest will not agree, and everything is fetched.
            return
        upstream = attrs.evolve(held.upstream, load=item.load, change=item.change)
        record = attrs.evolve(held, upstream=upstream)
        self.records_by_id[item.upstream_id] = record
        self.digest ^= held.digest() ^ record.digest()
