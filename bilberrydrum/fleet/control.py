"""The control group's leader: answers processes and tells them of changes.

The decisions are in `commands`, `liveness` and `retirement`; this module carries
messages between them, the log and the subscribers.
"""

from collections.abc import Mapping
from typing import Any, Final

import attrs
import eliot
import eventlet
import eventlet.event

from bilberrydrum import clock, transport
from bilberrydrum.fleet import (
    commands,
    feeds,
    liveness,
    messages,
    model,
    retirement,
)
from bilberrydrum.state import leader_calls, replica

# Time for a change to be committed before the caller is sent on to ask again.
COMMIT_SECONDS: Final = 3.0
# A subscriber that did not renew for this long is told nothing more; six renewals.
SUBSCRIBER_SECONDS: Final = 3.0
# How often silences are looked for.
_SWEEP_SECONDS: Final = 0.3
# Stores that start with the deployment are waited for this long after the first one,
# so that the group starts with all of them; they start within 0.3 s of each other and
# need some 0.5 s to get here.
GATHER_SECONDS: Final = 1.5
# An upstream that is not heard is removed after this many times the silence that marks
# it: until then gateways that reach it may go on using it.
_GONE_FACTOR: Final = 8


@attrs.frozen
class ControlOptions:
    """Options of the control leader."""

    # An upstream not heard from for this long is marked silent.
    silent_seconds: float = 4.0
    # Replicas that the stores' group keeps.
    n_store_voters: int = 3


@attrs.define
class _Subscriber:
    """One process that is told of changes."""

    heard_at: float
    policy_index: int
    registry_index: int
    request: messages.Subscribe


class ControlService:
    """The leader's answers and its pushes, beside one replica."""

    def __init__(
        self,
        options: ControlOptions,
        replica_: replica.Replica,
        carrier: transport.Transport,
    ) -> None:
        self._options = options
        self._replica = replica_
        self._carrier = carrier
        self._service = leader_calls.LeaderService(replica_, carrier)
        self._liveness = liveness.Liveness(
            options.silent_seconds, options.silent_seconds * _GONE_FACTOR
        )
        self._subscribers_by_address: dict[str, _Subscriber] = {}
        self._founders: dict[str, float] = {}
        self._term = 0
        self._led_since = 0.0
        self._changed = eventlet.event.Event()
        self._feeds = feeds.Feeds()
        self._tasks: list[Any] = []

    def start(self) -> None:
        """Start to answer."""
        handlers: Mapping[type[Any], leader_calls.Handler] = {
            messages.Announce: self._on_announce,
            messages.Depart: self._on_depart,
            messages.SubmitPolicy: self._on_submit_policy,
            messages.ReadPolicy: self._on_read_policy,
            messages.PublishVersion: self._on_publish_version,
            messages.Subscribe: self._on_subscribe,
            messages.BeginRetirement: self._on_begin_retirement,
            messages.ReadRetirement: self._on_read_retirement,
        }
        for message_class, handler in handlers.items():
            self._service.serve(message_class, handler)
        self._replica.watch(self._on_applied)
        self._tasks = [eventlet.spawn(self._push), eventlet.spawn(self._sweep)]

    def stop(self) -> None:
        """Stop to push; answers end with the replica."""
        for task in self._tasks:
            task.kill()
        self._tasks.clear()

    def _section(self) -> commands.Section:
        return commands.section_of(self._replica.state())

    def _commit(self, command: object) -> bool:
        return self._replica.propose(command, COMMIT_SECONDS).is_ok()

    # Upstreams

    def _on_announce(self, sender: transport.Sender, message: messages.Announce) -> Any:
        self._notice_leadership()
        given = message.upstream
        section = self._section()
        if given.upstream_id in section.departed_by_id:
            return messages.Done()
        if not self._liveness.heard(given, clock.now()):
            return messages.Done()
        known = section.upstreams_by_id.get(given.upstream_id)
        if known is not None and _says_nothing_new(known, given):
            return messages.Done()
        is_committed = self._commit(commands.PutUpstream(given))
        eliot.log_message(
            message_type="upstreams:announced",
            upstream_id=given.upstream_id,
            service=given.service,
            address=given.address,
            is_leaving=given.is_leaving,
            versions_by_model=given.versions_by_model,
            sequence=given.sequence,
            sequence_before=known.sequence if known is not None else None,
            is_committed=is_committed,
        )
        return messages.Done() if is_committed else None

    def _on_depart(self, sender: transport.Sender, message: messages.Depart) -> Any:
        if message.upstream_id in self._section().departed_by_id:
            return messages.Done()
        command = commands.RemoveUpstreams((message.upstream_id,))
        is_committed = self._commit(command)
        eliot.log_message(
            message_type="upstreams:departed",
            upstream_id=message.upstream_id,
            is_committed=is_committed,
        )
        return messages.Done() if is_committed else None

    # Policy and versions

    def _on_submit_policy(
        self, sender: transport.Sender, message: messages.SubmitPolicy
    ) -> Any:
        version = message.policy.version
        command = commands.PutPolicy(message.policy, message.document)
        is_newer = self._section().policy.version < version
        if is_newer and not self._commit(command):
            return None
        eliot.log_message(
            message_type="policy:taken",
            version=version,
            version_in_force=self._section().policy.version,
        )
        return messages.Done()

    def _on_read_policy(
        self, sender: transport.Sender, message: messages.ReadPolicy
    ) -> Any:
        section = self._section()
        return messages.PolicyDocument(section.policy.version, section.document)

    def _on_publish_version(
        self, sender: transport.Sender, message: messages.PublishVersion
    ) -> Any:
        named = self._section().versions_by_model.get(message.model, -1)
        if named >= message.version:
            return messages.Done()
        command = commands.NameVersion(message.model, message.version)
        is_committed = self._commit(command)
        eliot.log_message(
            message_type="weights:named",
            model=message.model,
            version=message.version,
            version_before=named,
            is_committed=is_committed,
        )
        return messages.Done() if is_committed else None

    # Stores

    def _on_begin_retirement(
        self, sender: transport.Sender, message: messages.BeginRetirement
    ) -> Any:
        if not self._has_heard_all():
            return None
        section = self._section()
        known = section.stores_by_name.get(message.name)
        if known is None:
            return messages.Retirement(is_known=False)
        if known.retiring_index:
            return messages.Retirement()
        live = self._live_store_addresses()
        if not retirement.may_retire(
            known, section.stores_by_name.values(), live, self._options.n_store_voters
        ):
            return messages.Retirement(is_refused=True)
        if not self._commit(commands.RetireStore(message.name)):
            return None
        eliot.log_message(
            message_type="stores:retiring",
            name=message.name,
            live_addresses=sorted(live),
        )
        return messages.Retirement()

    def _on_read_retirement(
        self, sender: transport.Sender, message: messages.ReadRetirement
    ) -> Any:
        known = self._section().stores_by_name.get(message.name)
        if known is None or not known.retiring_index:
            return messages.Retirement(is_known=known is not None)
        reports = [
            retirement.Report(
                each.request.store_term,
                each.registry_index,
                each.request.store_voter_addresses,
            )
            for each in self._live_subscribers().values()
            if each.request.store_term
        ]
        n_voters = self._options.n_store_voters
        is_done = retirement.is_done(known, reports, n_voters)
        return messages.Retirement(is_done=is_done)

    def _live_store_addresses(self) -> set[str]:
        return {
            each.request.store_address
            for each in self._live_subscribers().values()
            if each.request.store_address
        }

    def _has_heard_all(self) -> bool:
        """Tell whether this leader has led for long enough to know who is there."""
        self._notice_leadership()
        return clock.now() - self._led_since > SUBSCRIBER_SECONDS

    def _choose_founders(self) -> None:
        if not self._founders or self._section().founder_addresses:
            return
        if clock.now() - min(self._founders.values()) < GATHER_SECONDS:
            return
        addresses = tuple(sorted(self._founders)[: self._options.n_store_voters])
        if self._commit(commands.FoundStores(addresses)):
            eliot.log_message(message_type="stores:founded", addresses=addresses)

    # Subscribers

    def _on_subscribe(
        self, sender: transport.Sender, message: messages.Subscribe
    ) -> Any:
        self._notice_leadership()
        now = clock.now()
        self._subscribers_by_address[sender.address] = _Subscriber(
            now, message.policy_index, message.registry_index, message
        )
        if message.store_name:
            self._note_store(message, now)
        return self._feed_for(self._subscribers_by_address[sender.address])

    def _note_store(self, message: messages.Subscribe, now: float) -> None:
        known = self._section().stores_by_name.get(message.store_name)
        if known is None or known.address != message.store_address:
            self._commit(commands.PutStore(message.store_name, message.store_address))
        if message.may_found:
            self._founders.setdefault(message.store_address, now)

    def _live_subscribers(self) -> dict[str, _Subscriber]:
        since = clock.now() - SUBSCRIBER_SECONDS
        return {
            address: each
            for address, each in self._subscribers_by_address.items()
            if each.heard_at >= since
        }

    def _feed_for(self, subscriber: _Subscriber) -> messages.Feed:
        return self._feeds.make(
            self._section(),
            subscriber.policy_index,
            subscriber.registry_index,
            self._replica.leader_hint().addresses,
        )

    def _on_applied(self, command: object, answer: Any) -> None:
        if not self._changed.ready():
            self._changed.send(None)

    def _push(self) -> None:
        while True:
            self._changed.wait()
            self._changed = eventlet.event.Event()
            if self._replica.leadership() is None:
                continue
            section = self._section()
            for address, each in self._live_subscribers().items():
                feed = self._feed_for(each)
                if not (feed.policy or feed.registry or feed.registry_change):
                    continue
                each.policy_index = section.policy_index
                each.registry_index = section.registry_index
                self._carrier.send(address, feed)

    def _notice_leadership(self) -> None:
        held = self._replica.leadership()
        if held is not None and held.term != self._term:
            self._term = held.term
            self._led_since = clock.now()
            self._liveness.begin(self._led_since)
            self._subscribers_by_address.clear()
            self._feeds.clear()
            self._founders.clear()
            eliot.log_message(message_type="control:leads", term=held.term)

    def _sweep(self) -> None:
        while True:
            clock.sleep(_SWEEP_SECONDS)
            if self._replica.leadership() is None:
                continue
            self._notice_leadership()
            self._choose_founders()
            due = self._liveness.due(
                clock.now(), self._section().upstreams_by_id.values()
            )
            if due.silent_ids:
                eliot.log_message(message_type="upstreams:silent", ids=due.silent_ids)
                self._commit(commands.MarkSilent(due.silent_ids))
            if due.gone_ids:
                eliot.log_message(message_type="upstreams:gone", ids=due.gone_ids)
                self._commit(commands.RemoveUpstreams(due.gone_ids))


def _says_nothing_new(known: model.FleetUpstream, given: model.FleetUpstream) -> bool:
    same = attrs.evolve(given, sequence=known.sequence, cold_seconds=known.cold_seconds)
    if known.is_leaving:
        same = attrs.evolve(same, is_leaving=True)
    return same == known
