"""Decide what this gateway knows of the upstreams, and what it tells the others.

`Directory.step` takes an event and returns effects; it reads no clock and no socket.

An upstream's home is the gateway that answers for its lease. Renewals come through a
balancer and may land anywhere: a gateway that is not the home passes them on. It takes
the upstream over, under a higher epoch, when the home is silent or does not answer. The
home tells the others each change at once and, every interval, that all the rest still
stands; `views` replicates that. What is listed is checked against the clock at each
question.
"""

import functools
from typing import Any, Final

import attrs

from bilberrydrum import reasons
from bilberrydrum.upstreams import (
    events,
    exchange,
    forwards,
    leaves,
    listing,
    loads,
    messages,
    records,
    stops,
    table,
)

# Questions to one home are at least this far apart.
FETCH_INTERVAL_SECONDS: Final = 0.2
# Standing messages that may be missed, beyond the lease, until a home isn't believed.
STANDINGS_MISSED: Final = 1.5
# How often upstreams that are long gone are looked for.
FORGET_INTERVAL_SECONDS: Final = 5.0
# Share of the lease after which a home that answers no renewal is taken for silent. It
# leaves time to tell a take-over to all before the home's word runs out anywhere.
SILENT_SHARE: Final = 0.6
# A gateway that has just started waits this long for the others' records.
SYNC_SECONDS: Final = 1.0


class Directory:
    """The decisions of one gateway."""

    def __init__(
        self,
        process_id: str,
        incarnation: int,
        lease_seconds: float,
        renew_seconds: float,
        standing_seconds: float,
        max_mesh: int,
    ) -> None:
        self._process_id = process_id
        self._silent_seconds = SILENT_SHARE * lease_seconds
        # The home ends a lease and tells so at once. Whoever does not hear it relies
        # on the home's word a little longer, so that one lost message of standing
        # makes no gap; with the defaults 2.75 s, within the 3 s that an upstream may
        # be listed after it fell silent.
        self._table = table.Table(
            process_id,
            incarnation,
            lease_seconds,
            lease_seconds + STANDINGS_MISSED * standing_seconds,
            2 * renew_seconds,
        )
        self._exchange = exchange.Exchange(
            self._table, incarnation, standing_seconds, max_mesh
        )
        self._zones_by_id: dict[str, str] = {}
        self._started_at: float | None = None
        self._forgot_at = table.NEVER
        self._forwards = forwards.Forwards(renew_seconds)
        self._leaves = leaves.Leaves()
        self._stops = stops.Stops()
        self.listing = listing.Listing(self._table, self._stops)
        self._effects: list[events.Effect] = []

    def step(self, now: float, event: events.Event) -> list[events.Effect]:
        """Take one event at `now`, in seconds, and return what is to be done."""
        self._effects = []
        if self._stops.step(now):
            self._exchange.ask_all(now)
        self._take(event, now)
        self._answer_leaves(now)
        self._effects.extend(self._table.corrections)
        self._table.corrections.clear()
        if self._table.has_urgent():
            self._exchange.tell(now)
        self._effects.extend(self._exchange.take_effects())
        return self._effects

    def is_synced(self, now: float) -> bool:
        """Tell whether the others' records are here, as far as they could be had."""
        if self._started_at is None:
            return False
        if now - self._started_at >= SYNC_SECONDS:
            return True
        views_by_home = self._table.views_by_home
        return self._process_id in self._zones_by_id and all(
            peer in views_by_home and views_by_home[peer].clock.is_known
            for peer in self._peers()
        )

    # Events.

    @functools.singledispatchmethod
    def _take(self, event: Any, now: float) -> None:
        raise TypeError(f"no such event: {type(event).__name__}")

    @_take.register
    def _tick(self, event: events.Tick, now: float) -> None:
        if self._started_at is None:
            self._started_at = now
        self._zones_by_id = event.zones_by_id
        self._exchange.arrange(event.zones_by_id, now)
        own = self._table.own
        for upstream_id in own.expired_ids(now):
            self._end(own.records_by_id[upstream_id], records.STATE_LAPSED, now)
        self._take_over_unanswered(now)
        for leave in self._leaves.overdue(now):
            others = set(self._live_peers(now)) - leave.witnesses
            self._ask_witnesses(leave.record, sorted(others))
        self._exchange.tick(now)
        if now - self._forgot_at >= FORGET_INTERVAL_SECONDS:
            self._forgot_at = now
            self._table.forget(now)
            self._forwards.keep_only(self._table.records_by_id)

    @_take.register
    def _announced(self, event: events.Announced, now: float) -> None:
        known = self._table.records_by_id.get(event.upstream.upstream_id)
        life = _life(known, event)
        if known is not None and _is_stale(life, known):
            # A late copy of an announcement must not bring back what has left.
            self._effects.append(events.Reply(reasons.Reason.ANNOUNCEMENT_STALE))
            return
        record = records.Record(event.upstream, "", life, 0)
        if known is not None and known.life == life:
            record = attrs.evolve(known, upstream=event.upstream)
        record = attrs.evolve(record, state=records.STATE_STANDS)
        if known is not None and self._is_repeated(known, event):
            self._table.own.renew(event.upstream.upstream_id, now)
        else:
            self._leaves.end(record.upstream_id)
            self._table.answer_for(record, now)
            self._note("announced", record)
        self._effects.append(events.Reply())

    @_take.register
    def _renewed(self, event: events.Renewed, now: float) -> None:
        record = self._table.records_by_id.get(event.upstream_id)
        if record is None:
            self._effects.append(events.Reply(reasons.Reason.NOT_FOUND))
            return
        if record.state == records.STATE_LEFT:
            self._effects.append(events.Reply(reasons.Reason.UPSTREAM_LEFT))
            return
        self._effects.append(events.Reply())
        if self._stops.is_in_doubt(now):
            return
        self._table.note_renewal(record, now)
        if self._table.is_own(record):
            self._renew(record, event, now)
        elif self._must_take_over(record, now):
            self._take_over(record, event, now)
        else:
            self._forward(record, event, now)

    @_take.register
    def _leaving(self, event: events.Leaving, now: float) -> None:
        record = self._table.records_by_id.get(event.upstream_id)
        if record is None:
            self._effects.append(events.Reply(reasons.Reason.NOT_FOUND))
            return
        if record.state != records.STATE_LEFT:
            record = self._end(record, records.STATE_LEFT, now)
        self._effects.append(events.Reply())
        peers = self._live_peers(now)
        own_zone = self._zones_by_id.get(self._process_id, "")
        self._ask_witnesses(
            record, self._leaves.start(record, peers, self._zones_by_id, own_zone, now)
        )

    @_take.register
    def _drain_asked(self, event: events.DrainAsked, now: float) -> None:
        record = self._table.records_by_id.get(event.upstream_id)
        if record is None or record.state == records.STATE_LEFT:
            self._effects.append(events.Reply(reasons.Reason.NOT_FOUND))
            return
        number = max(record.drain_number + 1, event.wall_milliseconds)
        drained = attrs.evolve(record, is_drained=event.is_drained, drain_number=number)
        if now < self._table.expires_at(record):
            self._table.answer_for(drained, self._table.renewed_at(record))
        else:
            self._table.end(drained, records.STATE_LAPSED, now)
        self._note("drained" if event.is_drained else "undrained", drained)
        self._effects.append(events.Reply())

    @_take.register
    def _heard(self, event: events.Heard, now: float) -> None:
        view = self._table.view(event.sender, event.incarnation)
        if event.incarnation < view.incarnation:
            self._effects.append(events.Drop(reasons.Reason.MESSAGE_STALE_SENDER))
            return
        view.heard_at = now
        self._hear(event.message, event.sender, now)

    # Messages of other gateways.

    @functools.singledispatchmethod
    def _hear(self, message: Any, sender: str, now: float) -> None:
        self._exchange.hear(message, sender, now)

    @_hear.register
    def _hear_forward(self, message: messages.Forward, sender: str, now: float) -> None:
        # It may have waited in a socket while this process was stopped.
        heard_at = self._table.views_by_home[sender].clock.date(message.sent_at, now)
        record = self._table.records_by_id.get(message.upstream_id)
        is_home = (
            record is not None
            and self._table.is_own(record)
            and record.life == message.life
        )
        if record is not None and is_home and heard_at is not None:
            renewal = events.Renewed(
                message.upstream_id, message.load, message.models, message.role
            )
            self._renew(record, renewal, heard_at)
        elif record is not None and not is_home:
            self._send(sender, messages.News(record))
        self._send(sender, messages.Forwarded(message.upstream_id, is_home))

    @_hear.register
    def _hear_forwarded(
        self, message: messages.Forwarded, sender: str, now: float
    ) -> None:
        record = self._table.records_by_id.get(message.upstream_id)
        if record is None or record.home != sender:
            return
        forwarding = self._forwards.end(message.upstream_id)
        if forwarding is not None and not message.is_home:
            # It has not even a newer record: nobody answers for the upstream.
            self._take_over(record, forwarding.renewal, forwarding.heard_at)

    @_hear.register
    def _hear_news(self, message: messages.News, sender: str, now: float) -> None:
        record = message.record
        is_news = self._table.merge(record, now)
        held = self._table.records_by_id[record.upstream_id]
        if held.version() > record.version():
            self._send(sender, messages.News(held))
        if message.is_witness:
            self._send(sender, messages.NewsHeard(record.upstream_id, record.life))
        if is_news and (message.is_witness or self._exchange.relays):
            # The gateway that heard it may die before it has told the others.
            self._exchange.spread(record, sender, now)

    @_hear.register
    def _hear_news_heard(
        self, message: messages.NewsHeard, sender: str, now: float
    ) -> None:
        self._leaves.hear(message.upstream_id, message.life, sender)

    # Helpers.

    def _peers(self) -> list[str]:
        return [peer for peer in self._zones_by_id if peer != self._process_id]

    def _live_peers(self, now: float) -> list[str]:
        views_by_home = self._table.views_by_home
        return [
            peer
            for peer in self._peers()
            if peer in views_by_home
            and now - views_by_home[peer].heard_at < self._table.lease_seconds
        ]

    def _is_repeated(self, known: records.Record, event: events.Announced) -> bool:
        if not self._table.is_own(known):
            return False
        same = attrs.evolve(event.upstream, change=known.upstream.change)
        return same == known.upstream

    def _renew(self, record: records.Record, event: events.Renewed, now: float) -> None:
        """Take a renewal as the home of `record`."""
        self._table.own.renew(record.upstream_id, now)
        reported = _reported(record, event)
        told = record.upstream
        if attrs.evolve(reported, load=told.load) != told:
            self._table.answer_for(attrs.evolve(record, upstream=reported), now)
        elif loads.alters_choice(told.load, reported.load, told.max_concurrency):
            self._table.answer_for_load(record, reported.load)

    def _must_take_over(self, record: records.Record, now: float) -> bool:
        return now >= self._table.expires_at(record)

    def _take_over(
        self, record: records.Record, event: events.Renewed, heard_at: float
    ) -> None:
        self._forwards.end(record.upstream_id)
        taken = attrs.evolve(
            record, upstream=_reported(record, event), state=records.STATE_STANDS
        )
        self._table.answer_for(taken, heard_at)
        self._note("taken-over", record)

    def _take_over_unanswered(self, now: float) -> None:
        """Take over the upstreams whose home answers no renewal and has grown silent.

        It is done before the home's word runs out, so that the upstream is listed
        without a gap. A home whose word is fresh is only slow: on a busy host, taking
        its upstreams over made more work, and more homes slow.
        """
        for forwarding in self._forwards.overdue(now):
            upstream_id = forwarding.renewal.upstream_id
            record = self._table.records_by_id.get(upstream_id)
            if (
                record is None
                or record.home != forwarding.home
                or record.state == records.STATE_LEFT
                or now - forwarding.heard_at >= self._table.lease_seconds
            ):
                self._forwards.end(upstream_id)
            elif now - self._table.told_at(
                record
            ) >= self._silent_seconds and self._forwards.may_move(forwarding, now):
                self._take_over(record, forwarding.renewal, forwarding.heard_at)

    def _forward(
        self, record: records.Record, event: events.Renewed, now: float
    ) -> None:
        self._forwards.add(event, record.home, now)
        message = messages.Forward(
            record.upstream_id,
            record.life,
            int(now * 1000),
            event.load,
            event.models,
            event.role,
        )
        self._send(record.home, message)

    def _end(self, record: records.Record, state: str, now: float) -> records.Record:
        ended = self._table.end(record, state, now)
        self._forwards.end(record.upstream_id)
        self._note(state, ended)
        return ended

    def _ask_witnesses(self, record: records.Record, peers: list[str]) -> None:
        for peer in peers:
            self._send(peer, messages.News(record, is_witness=True))

    def _answer_leaves(self, now: float) -> None:
        if not self._leaves.are_open:
            return
        for record in self._leaves.take_known(len(self._live_peers(now))):
            self._effects.append(events.LeaveKnown(record.upstream_id, record.life))

    def _send(self, process_id: str, message: Any) -> None:
        self._effects.append(events.Send(process_id, message))

    def _note(self, kind: str, record: records.Record) -> None:
        self._effects.append(events.Note(kind, record.upstream_id))


def _life(known: records.Record | None, event: events.Announced) -> int:
    """Return the life that an announcement belongs to."""
    if event.incarnation is not None:
        return event.incarnation
    if known is None:
        return event.wall_milliseconds
    if known.state == records.STATE_LEFT:
        return max(known.life + 1, event.wall_milliseconds)
    return known.life


def _is_stale(life: int, known: records.Record) -> bool:
    if life < known.life:
        return True
    return life == known.life and known.state == records.STATE_LEFT


def _reported(record: records.Record, event: events.Renewed) -> Any:
    upstream = record.upstream
    return attrs.evolve(
        upstream,
        load=upstream.load if event.load is None else event.load,
        models=upstream.models if event.models is None else event.models,
        role=upstream.role if event.role is None else event.role,
    )
