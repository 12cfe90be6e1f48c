"""The replica of another owner's records, and when their upstreams last renewed.

Each message of an owner states how long ago its upstreams renewed. The receiver counts
the lease from that time and not from when it read the message: a message may have
waited in a socket while this process was paused or the network was partitioned.

How long it waited is computed from the sender's monotonic clock. The smallest
difference between the receiver's clock on receipt and the sender's clock on sending,
with an allowance for clock drift, counts as zero delay; anything above it is delay. The
first difference must come from the answer to a request sent shortly before, since any
other message may be of any age.
"""

from collections.abc import Mapping
from typing import Final

import attrs

from bilberrydrum.upstreams import messages, records

# Relative drift that is allowed between the clocks of two hosts; hosts stay well below.
CLOCK_DRIFT: Final = 0.001
# Largest part of an answer's round trip that is added to the smallest clock difference.
# The first message after the answer may count as newer than it is by at most this.
MAX_ROUND_TRIP_SECONDS: Final = 0.2
# An answer that took longer is ignored.
MAX_ANSWER_SECONDS: Final = 1.5


class SenderClock:
    """Converts one sender's timestamps to the receiver's clock."""

    def __init__(self) -> None:
        self._difference: float | None = None
        self._updated_at = 0.0
        self._is_exact = False

    @property
    def is_known(self) -> bool:
        """Return whether timestamps can be converted."""
        return self._difference is not None

    @property
    def is_exact(self) -> bool:
        """Return whether a fast answer was used, so that no further one is needed."""
        return self._is_exact

    def calibrate(self, sent_at: int, asked_at: int, now: float) -> None:
        """Use an answer to a request that this process sent at `asked_at`.

        `sent_at` and `asked_at` are in milliseconds, by the sender's and the receiver's
        clock. A slow answer makes later messages look older than they are, never newer;
        a faster answer corrects this.
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

    def local_time(self, sent_at: int, now: float) -> float | None:
        """Return when a message received at `now` was sent, or None if unknown.

        `sent_at` is in milliseconds by the sender's clock; the result is in seconds by
        the receiver's.
        """
        if self._difference is None:
            return None
        drift = CLOCK_DRIFT * (now - self._updated_at)
        self._difference = min(now - sent_at / 1000, self._difference + drift)
        self._updated_at = now
        return min(now, sent_at / 1000 + self._difference)


class View:
    """The replica of one owner's records."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.records_by_id: dict[str, records.Record] = {}
        self.change = 0
        self.digest = 0
        self.clock = SenderClock()
        # When any message of the owner was last received.
        self.received_at = float("-inf")
        self._heartbeat_sent_at = -1
        # When the upstreams last renewed, by this process's clock: all of them at this
        # time or later, except for those in `_renewed_at_by_id`.
        self._renewed_at = float("-inf")
        self._renewed_at_by_id: dict[str, float] = {}
        # When the last fetch was sent to the owner, and how many have had no answer. An
        # answer counts only if the clock is exact after it.
        self.asked_at = float("-inf")
        self.n_unanswered = 0

    def renewed_at(self, upstream_id: str, incarnation: int) -> float:
        """Return when the upstream last renewed, as far as the owner has reported."""
        held = self.records_by_id.get(upstream_id)
        if held is None or held.life != incarnation:
            return float("-inf")
        return self._renewed_at_by_id.get(upstream_id, self._renewed_at)

    def apply_heartbeat(self, heartbeat: messages.Heartbeat, now: float) -> bool:
        """Apply a heartbeat of the owner.

        Returns
        -------
        bool
            False if changes are missing here or the owner's clock is not known, so that
            the owner must be asked first.
        """
        if heartbeat.sent_at <= self._heartbeat_sent_at:
            # A duplicate, or older than a heartbeat that was applied before.
            return True
        if (heartbeat.change, heartbeat.digest) != (self.change, self.digest):
            return False
        sent_at = self.clock.local_time(heartbeat.sent_at, now)
        if sent_at is None:
            return False
        self._heartbeat_sent_at = heartbeat.sent_at
        self.confirm_renewals(
            sent_at - heartbeat.age / 1000,
            {late.upstream_id: sent_at - late.age / 1000 for late in heartbeat.late},
        )
        return True

    def confirm_renewals(
        self, renewed_at: float, late_by_id: Mapping[str, float]
    ) -> None:
        """Record that all upstreams renewed at `renewed_at` or later.

        `late_by_id` holds the upstreams for which this is not so, with their times.
        """
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
    def confirmed_at(self) -> float:
        """Return the time since which all upstreams but the late ones have renewed."""
        return self._renewed_at

    def late_by_id(self) -> dict[str, float]:
        """Return the late upstreams, with the times of their last renewals."""
        return {
            upstream_id: at
            for upstream_id, at in self._renewed_at_by_id.items()
            if at < self._renewed_at
        }

    def apply(self, changes: messages.Changes, now: float) -> bool:
        """Apply the owner's changes; return False if earlier ones are missing."""
        if changes.change <= self.change:
            return True
        if changes.previous > self.change:
            return False
        sent_at = None
        if changes.sent_at:
            sent_at = self.clock.local_time(changes.sent_at, now)
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
        """Replace the records by all those of the owner."""
        self.records_by_id.clear()
        self.digest = 0
        self.change = 0
        self._renewed_at = float("-inf")
        self._renewed_at_by_id.clear()
        self._heartbeat_sent_at = -1
        self.apply(fetched.changes, now)
        self.change = fetched.changes.change

    def _put(self, upstream_id: str, record: records.Record | None) -> None:
        held = self.records_by_id.pop(upstream_id, None)
        if held is not None:
            self.digest ^= held.digest()
        self._renewed_at_by_id.pop(upstream_id, None)
        if record is not None and record.state == records.STATE_ACTIVE:
            self.records_by_id[upstream_id] = record
            self.digest ^= record.digest()

    def _put_age(self, upstream_id: str, age: int, sent_at: float | None) -> None:
        if sent_at is not None and upstream_id in self.records_by_id:
            self._renewed_at_by_id[upstream_id] = sent_at - age / 1000

    def _put_load(self, item: messages.LoadItem) -> None:
        held = self.records_by_id.get(item.upstream_id)
        if held is None:
            # The digest will differ from the owner's, so that everything is fetched.
            return
        upstream = attrs.evolve(held.upstream, load=item.load, change=item.change)
        record = attrs.evolve(held, upstream=upstream)
        self.records_by_id[item.upstream_id] = record
        self.digest ^= held.digest() ^ record.digest()
