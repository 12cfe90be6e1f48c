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
from collections.abc import Mapping
from typing import Any, Final

import attrs

from bilberrydrum import reasons
from bilberrydrum.upstreams import events, loads, messages, records, table, views

# Questions to one home are at least this far apart.
FETCH_INTERVAL_SECONDS: Final = 0.2
# Gateways, beside the one that hears it, that must know of a leave.
N_WITNESSES: Final = 2
# Witnesses that did not answer are asked again after this.
WITNESS_INTERVAL_SECONDS: Final = 0.3
# Share of the renewals' interval within which a home answers a renewal passed on.
FORWARD_TIMEOUT: Final = 0.8
# The task ticks ten times a second; without a step for this long it was stopped.
STOPPED_SECONDS: Final = 1.0
# Longest time that a process that was stopped waits for the others.
DOUBT_SECONDS: Final = 0.5
# A gateway that has just started waits this long for the others' records.
SYNC_SECONDS: Final = 1.0


@attrs.frozen
class _Forwarding:
    """A renewal that was passed on."""

    event: events.Renewed
    heard_at: float


class Directory:
    """The decisions of one gateway."""

    def __init__(
        self,
        process_id: str,
        incarnation: int,
        lease_seconds: float,
        renew_seconds: float,
        standing_seconds: float,
    ) -> None:
        self._process_id = process_id
        self._renew_seconds = renew_seconds
        self._standing_seconds = standing_seconds
        self._table = table.Table(
            process_id, incarnation, lease_seconds, 2 * renew_seconds
        )
        self._zones_by_id: dict[str, str] = {}
        self._stood_at = table.NEVER
        self._started_at: float | None = None
        # Renewals passed on to the home and not answered yet.
        self._forwards_by_id: dict[str, _Forwarding] = {}
        # Gateways that know of a leave, by upstream, until enough do.
        self._witnesses_by_id: dict[str, set[str]] = {}
        self._asked_witnesses_at = table.NEVER
        self._stepped_at = table.NEVER
        # After a stop of this process: gateways not heard since, and until when
        # they are waited for.
        self._unheard: set[str] = set()
        self._doubt_until = table.NEVER
        self._effects: list[events.Effect] = []

    def step(self, now: float, event: events.Event) -> list[events.Effect]:
        """Take one event at `now`, in seconds, and return what is to be done."""
        self._effects = []
        if self._started_at is not None and self._was_stopped(now):
            self._doubt(now)
        self._stepped_at = now
        self._take(event, now)
        self._effects.extend(self._table.corrections)
        self._table.corrections.clear()
        if self._table.has_urgent():
            self._tell(now)
        return self._effects

    def standing_by_id(self, now: float) -> dict[str, records.Record]:
        """Return the records of the upstreams whose lease stands at `now`."""
        is_in_doubt = now < self._doubt_until or self._was_stopped(now)
        return {
            upstream_id: record
            for upstream_id, record in self._table.records_by_id.items()
            if now < self._table.expires_at(record)
            and not (is_in_doubt and record.home == self._process_id)
        }

    def expires_at(self, record: records.Record) -> float:
        """Return when the lease of a standing record ends."""
        return self._table.expires_at(record)

    def records_by_id(self) -> Mapping[str, records.Record]:
        """Return the newest record of each upstream, whether it stands or not."""
        return self._table.records_by_id

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
        views_by_home = self._table.views_by_home
        for home in views_by_home.keys() - event.zones_by_id.keys():
            del views_by_home[home]
        own = self._table.own
        for upstream_id in own.expired_ids(now):
            self._end(own.records_by_id[upstream_id], records.STATE_LAPSED, now)
        self._take_over_unanswered(now)
        if now - self._asked_witnesses_at >= WITNESS_INTERVAL_SECONDS:
            self._ask_all_for_witness(now)
        self._tell(now)
        if now - self._stood_at >= self._standing_seconds:
            self._stood_at = now
            self._effects.append(events.SendAll(own.standing(now)))
            self._table.forget(now)
        for peer in self._peers():
            view = self._table.view(peer, 0)
            if not view.clock.is_known:
                self._fetch(peer, view, now)

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
        self._ask_witnesses(record, now)

    @_take.register
    def _drain_asked(self, event: events.DrainAsked, now: float) -> None:
        record = self._table.records_by_id.get(event.upstream_id)
        if record is None or record.state == records.STATE_LEFT:
            self._effects.append(events.Reply(reasons.Reason.NOT_FOUND))
            return
        number = max(record.drain_number + 1, event.wall_milliseconds)
        drained = attrs.evolve(record, is_drained=event.is_drained, drain_number=number)
        expires_at = self._table.expires_at(record)
        if now < expires_at:
            self._table.answer_for(drained, expires_at - self._table.lease_seconds)
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
        self._effects.append(events.Drop(reasons.Reason.MESSAGE_UNKNOWN_TYPE))

    @_hear.register
    def _hear_standing(
        self, message: messages.Standing, sender: str, now: float
    ) -> None:
        view = self._table.views_by_home[sender]
        if not view.stand(message, now):
            is_behind = message.change > view.change
            self._fetch(sender, view, now, since=view.change if is_behind else 0)

    @_hear.register
    def _hear_changes(self, message: messages.Changes, sender: str, now: float) -> None:
        view = self._table.views_by_home[sender]
        is_whole = view.apply(message, now)
        self._merge_changes(message, view, now)
        if not is_whole:
            self._fetch(sender, view, now, since=view.change)

    @_hear.register
    def _hear_fetch(self, message: messages.Fetch, sender: str, now: float) -> None:
        self._tell(now)
        self._send(sender, self._table.own.fetched(message, now))

    @_hear.register
    def _hear_fetched(self, message: messages.Fetched, sender: str, now: float) -> None:
        view = self._table.views_by_home[sender]
        view.clock.answer(message.standing.sent_at, message.asked_at, now)
        if message.asked_at / 1000 >= self._doubt_until - DOUBT_SECONDS - 0.001:
            self._unheard.discard(sender)
        if not message.is_full:
            view.apply(message.changes, now)
        elif message.changes.change >= view.change:
            view.replace(message, now)
        self._merge_changes(message.changes, view, now)
        if not view.stand(message.standing, now):
            self._fetch(sender, view, now)
        if not self._unheard:
            self._doubt_until = table.NEVER

    @_hear.register
    def _hear_forward(self, message: messages.Forward, sender: str, now: float) -> None:
        upstream_id = message.upstream_id
        record = self._table.records_by_id.get(upstream_id)
        is_home = (
            record is not None
            and self._table.is_own(record)
            and record.life == message.life
        )
        if record is not None and is_home:
            renewal = events.Renewed(
                upstream_id, message.load, message.models, message.role
            )
            self._renew(record, renewal, now)
        elif record is not None:
            self._send(sender, messages.News((record,)))
        self._send(sender, messages.Forwarded(upstream_id, is_home))

    @_hear.register
    def _hear_forwarded(
        self, message: messages.Forwarded, sender: str, now: float
    ) -> None:
        record = self._table.records_by_id.get(message.upstream_id)
        if record is None or record.home != sender:
            return
        forwarding = self._forwards_by_id.pop(message.upstream_id, None)
        if forwarding is not None and not message.is_home:
            # It has not even a newer record: nobody answers for the upstream.
            self._take_over(record, forwarding.event, forwarding.heard_at)

    @_hear.register
    def _hear_news(self, message: messages.News, sender: str, now: float) -> None:
        for record in message.records:
            is_news = self._merge(record, now)
            held = self._table.records_by_id[record.upstream_id]
            if held.version() > record.version():
                self._send(sender, messages.News((held,)))
            if not message.is_witness:
                continue
            self._send(sender, messages.NewsHeard(record.upstream_id, record.life))
            if is_news:
                # The gateway that heard it may die before it has told the others.
                self._effects.append(events.SendAll(messages.News((record,))))

    @_hear.register
    def _hear_news_heard(
        self, message: messages.NewsHeard, sender: str, now: float
    ) -> None:
        record = self._table.records_by_id.get(message.upstream_id)
        witnesses = self._witnesses_by_id.get(message.upstream_id)
        if record is None or witnesses is None or record.life != message.life:
            return
        witnesses.add(sender)
        self._check_witnesses(record, now)

    # Helpers.

    def _was_stopped(self, now: float) -> bool:
        """Tell whether this process took no step for longer than it ever should."""
        return now - self._stepped_at >= STOPPED_SECONDS

    def _doubt(self, now: float) -> None:
        """Ask the others before own leases are believed again.

        While this process was stopped, an upstream may have left through another
        gateway; a renewal sent before that may still wait in a socket here, and would
        be taken for a new one.
        """
        self._unheard = set(self._peers())
        self._doubt_until = now + DOUBT_SECONDS if self._unheard else table.NEVER
        for peer in self._unheard:
            self._send(peer, messages.Fetch(0, int(now * 1000)))

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
        self._forwards_by_id.pop(record.upstream_id, None)
        taken = attrs.evolve(
            record, upstream=_reported(record, event), state=records.STATE_STANDS
        )
        self._table.answer_for(taken, heard_at)
        self._note("taken-over", record)

    def _take_over_unanswered(self, now: float) -> None:
        """Take over the upstreams whose home did not answer a renewal in time.

        Its death shows here before its word runs out, so that the upstream is listed
        without a gap.
        """
        for upstream_id, forwarding in list(self._forwards_by_id.items()):
            waited = now - forwarding.heard_at
            if waited < FORWARD_TIMEOUT * self._renew_seconds:
                continue
            record = self._table.records_by_id[upstream_id]
            if waited < self._table.lease_seconds:
                self._take_over(record, forwarding.event, forwarding.heard_at)
            else:
                del self._forwards_by_id[upstream_id]

    def _forward(
        self, record: records.Record, event: events.Renewed, now: float
    ) -> None:
        self._forwards_by_id.setdefault(record.upstream_id, _Forwarding(event, now))
        message = messages.Forward(
            record.upstream_id, record.life, event.load, event.models, event.role
        )
        self._send(record.home, message)

    def _end(self, record: records.Record, state: str, now: float) -> records.Record:
        ended = self._table.end(record, state, now)
        self._forwards_by_id.pop(record.upstream_id, None)
        self._note(state, ended)
        return ended

    def _merge_changes(
        self, changes: messages.Changes, view: views.View, now: float
    ) -> None:
        for item in changes.items:
            if item.record is not None:
                self._merge(item.record, now)
        for load in changes.loads:
            held = view.records_by_id.get(load.upstream_id)
            if held is not None:
                self._merge(held, now)

    def _merge(self, record: records.Record, now: float) -> bool:
        if not self._table.merge(record, now):
            return False
        self._forwards_by_id.pop(record.upstream_id, None)
        return True

    def _ask_witnesses(self, record: records.Record, now: float) -> None:
        """Have enough others know of a leave before it is answered.

        This gateway may die next, with its messages to the others unsent. Witnesses
        in other availability zones go first, since a zone may fail as a whole.
        """
        self._witnesses_by_id[record.upstream_id] = set()
        own_zone = self._zones_by_id.get(self._process_id)
        peers = sorted(
            self._live_peers(now), key=lambda peer: self._zones_by_id[peer] == own_zone
        )
        for peer in peers[: N_WITNESSES + 1]:
            self._send(peer, messages.News((record,), is_witness=True))
        self._asked_witnesses_at = now
        self._check_witnesses(record, now)

    def _ask_all_for_witness(self, now: float) -> None:
        """Ask further gateways when those asked first have not answered."""
        self._asked_witnesses_at = now
        for upstream_id, heard in list(self._witnesses_by_id.items()):
            record = self._table.records_by_id.get(upstream_id)
            if record is None or record.state != records.STATE_LEFT:
                del self._witnesses_by_id[upstream_id]
                continue
            for peer in self._live_peers(now):
                if peer not in heard:
                    self._send(peer, messages.News((record,), is_witness=True))
            self._check_witnesses(record, now)

    def _check_witnesses(self, record: records.Record, now: float) -> None:
        n_needed = min(N_WITNESSES, len(self._live_peers(now)))
        if len(self._witnesses_by_id[record.upstream_id]) >= n_needed:
            del self._witnesses_by_id[record.upstream_id]
            self._effects.append(events.LeaveKnown(record.upstream_id, record.life))

    def _tell(self, now: float) -> None:
        changes = self._table.untold(now)
        if changes is not None:
            self._effects.append(events.SendAll(changes))

    def _fetch(self, home: str, view: views.View, now: float, since: int = 0) -> None:
        if now - view.asked_at >= FETCH_INTERVAL_SECONDS:
            view.asked_at = now
            self._send(home, messages.Fetch(since, int(now * 1000)))

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
