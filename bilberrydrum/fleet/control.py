"""The control group's leader: answers requests and sends changes to subscribers.

The decisions are made in `commands` and `liveness`; this module passes messages between
them, the log and the subscribers. Requests about the stores are in `store_calls`.
"""

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, Final

import attrs
import eliot
import eventlet
import eventlet.event

from bilberrydrum import clock, log_rate_limit, tasks, transport
from bilberrydrum.fleet import (
    commands,
    crash_calls,
    feeds,
    incarnations,
    liveness,
    messages,
    model,
    store_calls,
    subscribers,
    upstream_health,
)
from bilberrydrum.state import leader_service, replica

if TYPE_CHECKING:
    # Only processes that report usage import it, as it imports an HTTP client.
    from bilberrydrum.usage import reporter

# How often the leader looks for silent upstreams, in seconds.
_SWEEP_SECONDS: Final = 0.3
# Announcements that differ only in loaded weight versions are collected for this long,
# in seconds, and committed together. In a large fleet some engine loads weights every
# few milliseconds, and the delay does no harm: the process that orders a load asks the
# engine itself.
_LOADS_COMMIT_SECONDS: Final = 0.25
# A silent upstream is removed after this many times the interval after which it is
# marked silent. Until then gateways that can reach it may go on using it.
_REMOVAL_FACTOR: Final = 8


@attrs.frozen
class ControlOptions:
    """Options of the control group's leader."""

    # An upstream without an announcement for this many seconds is marked silent.
    silent_seconds: float = 4.0
    # Number of voting replicas of the stores' group.
    n_store_voters: int = 3


class ControlService:
    """Answers requests and pushes changes while one replica leads."""

    def __init__(
        self,
        options: ControlOptions,
        replica_: replica.Replica,
        carrier: transport.Transport,
        usage: "reporter.UsageReporter | None" = None,
    ) -> None:
        """Make the service; it answers no requests before `start`.

        `usage` is None where usage is not reported.
        """
        self._usage = usage
        self._options = options
        self._replica = replica_
        self._carrier = carrier
        self._service = leader_service.LeaderService(replica_, carrier)
        self._liveness = liveness.Liveness(
            options.silent_seconds, options.silent_seconds * _REMOVAL_FACTOR
        )
        self._subscribers = subscribers.Subscribers()
        self._stores = store_calls.StoreCalls(
            replica_, self._subscribers, options.n_store_voters, self._seconds_as_leader
        )
        self._crashes = crash_calls.CrashCalls(replica_)
        self._health = upstream_health.UpstreamHealth()
        self._term = 0
        self._leader_since = 0.0
        # Announcements of newly loaded weight versions that are not committed yet.
        self._pending_loads_by_id: dict[str, model.FleetUpstream] = {}
        self._changed = eventlet.event.Event()
        self._feeds = feeds.Feeds()
        self._rejection_lines = log_rate_limit.LogRateLimit()
        self._tasks: list[Any] = []

    def start(self) -> None:
        """Start answering requests and pushing changes."""
        handlers: Mapping[type[Any], leader_service.Handler] = {
            messages.Announce: self._on_announce,
            messages.Depart: self._on_depart,
            messages.SubmitPolicy: self._on_submit_policy,
            messages.ReadPolicy: self._on_read_policy,
            messages.PublishVersion: self._on_publish_version,
            messages.Subscribe: self._on_subscribe,
            messages.BeginRetirement: self._stores.on_begin_retirement,
            messages.ReadRetirement: self._stores.on_read_retirement,
            messages.ReportCrashes: self._crashes.on_report,
            messages.AskTrial: self._on_ask_trial,
            messages.ListCrashes: self._crashes.on_list,
            messages.LiftQuarantine: self._crashes.on_lift,
        }
        for message_class, handler in handlers.items():
            self._service.serve(message_class, handler)
        if self._usage is not None:
            self._usage.start()
        self._replica.watch(self._on_applied)
        tasks = (self._push, self._sweep, self._commit_loads)
        self._tasks = [eventlet.spawn(each) for each in tasks]

    def stop(self) -> None:
        """Stop pushing changes; answers stop when the replica stops."""
        for task in self._tasks:
            task.kill()
        self._tasks.clear()
        if self._usage is not None:
            self._usage.stop()

    def _section(self) -> commands.Section:
        return commands.section_of(self._replica.state())

    def _commit(self, command: object) -> bool:
        return self._replica.propose(command, commands.COMMIT_SECONDS).is_ok()

    # Upstreams

    def _on_announce(self, sender: transport.Sender, message: messages.Announce) -> Any:
        self._reset_for_new_term()
        announced = message.upstream
        section = self._section()
        known = section.upstreams_by_id.get(announced.upstream_id)
        if section.names_unknown_service(announced):
            return self._reject_announcement(
                announced, "the policy has no such service"
            )
        if known is not None:
            if not self._liveness.record_announcement(announced, clock.now()):
                return messages.Done()
            if _is_unchanged(known, announced):
                return messages.Done()
            if _changes_loads_only(known, announced):
                # If this leader is lost before the commit, the upstream's next
                # announcement brings the versions again.
                self._pending_loads_by_id[announced.upstream_id] = announced
                return messages.Done()
        assessment = section.assess(announced)
        decision = assessment.decision
        if decision is incarnations.Decision.STALE:
            return messages.Done()
        if decision is incarnations.Decision.INCOMPLETE:
            return self._reject_announcement(announced, "its start time is missing")
        is_unconfirmed = decision is incarnations.Decision.UNCONFIRMED
        if is_unconfirmed and not self._liveness.is_established(
            announced, assessment.replaced_ids, clock.now()
        ):
            return self._reject_announcement(
                announced, "another incarnation has replaced it"
            )
        return self._put(announced, known, assessment, is_unconfirmed)

    def _put(
        self,
        announced: model.FleetUpstream,
        known: model.FleetUpstream | None,
        assessment: incarnations.Assessment,
        is_established: bool,
    ) -> Any:
        # Recorded before the commit, as a sweep in between would mark it as silent.
        self._liveness.record_announcement(announced, clock.now())
        is_committed = self._commit(commands.PutUpstream(announced, is_established))
        eliot.log_message(
            message_type="upstreams:announced",
            upstream_id=announced.upstream_id,
            service=announced.service,
            address=announced.address,
            is_leaving=announced.is_leaving,
            versions_by_model=announced.versions_by_model,
            sequence=announced.sequence,
            sequence_before=known.sequence if known is not None else None,
            decision=assessment.decision.value,
            replaced_ids=assessment.replaced_ids,
            is_committed=is_committed,
        )
        return messages.Done() if is_committed else None

    def _commit_loads(self) -> None:
        while True:
            clock.sleep(_LOADS_COMMIT_SECONDS)
            # If this task ended, loaded versions would be acknowledged and never
            # committed or published.
            with tasks.errors_recorded("control-loads"):
                self._commit_pending_loads()

    def _commit_pending_loads(self) -> None:
        loaded_by_id, self._pending_loads_by_id = self._pending_loads_by_id, {}
        if not loaded_by_id or self._replica.leadership() is None:
            return
        command = commands.PutUpstreams(tuple(loaded_by_id.values()))
        is_committed = self._commit(command)
        eliot.log_message(
            message_type="upstreams:loaded",
            versions_by_upstream_id={
                each.upstream_id: each.versions_by_model
                for each in loaded_by_id.values()
            },
            is_committed=is_committed,
        )

    def _reject_announcement(
        self, announced: model.FleetUpstream, why: str
    ) -> messages.AnnouncementRejected:
        n_before = self._rejection_lines.admit(clock.now())
        if n_before is not None:
            eliot.log_message(
                message_type="upstreams:announcement-rejected",
                upstream_id=announced.upstream_id,
                service=announced.service,
                address=announced.address,
                sequence=announced.sequence,
                why=why,
                n_not_logged=n_before,
            )
        return messages.AnnouncementRejected(why)

    def _on_depart(self, sender: transport.Sender, message: messages.Depart) -> Any:
        announced_id, started_at_ms = message.announced_id, message.started_at_ms
        if self._section().is_departure_known(announced_id, started_at_ms):
            return messages.Done()
        command = commands.RecordDeparture(announced_id, started_at_ms)
        is_committed = self._commit(command)
        eliot.log_message(
            message_type="upstreams:departed",
            announced_id=announced_id,
            started_at_ms=started_at_ms,
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
            message_type="policy:accepted",
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
        announced = self._section().versions_by_model.get(message.model, -1)
        if announced >= message.version:
            return messages.Done()
        command = commands.AnnounceVersion(message.model, message.version)
        is_committed = self._commit(command)
        eliot.log_message(
            message_type="weights:named",
            model=message.model,
            version=message.version,
            version_before=announced,
            is_committed=is_committed,
        )
        return messages.Done() if is_committed else None

    # Subscribers

    def _on_subscribe(
        self, sender: transport.Sender, message: messages.Subscribe
    ) -> Any:
        self._reset_for_new_term()
        subscriber = self._subscribers.record_renewal(sender.address, message)
        if message.store_name:
            self._stores.record_store(message)
        feed = self._feed_for(subscriber)
        if not message.store_address:
            feed = self._with_observations(feed, sender, message)
        if self._usage is None:
            return feed
        self._usage.handle_renewal(sender.address, message.unix_time, message.usage)
        return attrs.evolve(
            feed,
            unix_time=self._usage.unix_time(),
            usage_closed_before=self._usage.closed_before(),
        )

    def _with_observations(
        self,
        feed: messages.Feed,
        gateway: transport.Sender,
        message: messages.Subscribe,
    ) -> messages.Feed:
        """Record a gateway's observations of upstreams, and add those of others."""
        now = clock.now()
        if message.observations:
            known_ids = self._section().upstreams_by_id
            changes = self._health.record(
                gateway.address, message.observations, known_ids, now
            )
            for each in changes:
                _log_health(each)
        missing = self._health.missing_after(message.observations_index, now)
        if not missing.observations:
            return feed
        return attrs.evolve(
            feed,
            observations=missing.observations,
            observations_index=missing.index,
        )

    def _on_ask_trial(
        self, sender: transport.Sender, message: messages.AskTrial
    ) -> Any:
        self._reset_for_new_term()
        return self._crashes.on_ask_trial(sender, message)

    def _feed_for(self, subscriber: subscribers.Subscriber) -> messages.Feed:
        return self._feeds.make(
            self._section(),
            self._crashes.section(),
            subscriber.request,
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
            # If this task ended, changes would reach processes only with their
            # renewals.
            with tasks.errors_recorded("control-push"):
                self._push_changes()

    def _push_changes(self) -> None:
        section = self._section()
        for address, each in self._subscribers.live().items():
            if self._can_wait(each, section):
                continue
            feed = self._feed_for(each)
            if not _has_changes(feed):
                continue
            each.request = attrs.evolve(
                each.request,
                policy_index=feed.policy_index,
                registry_index=feed.registry_index,
                crashes_index=feed.crashes_index,
            )
            self._carrier.send(address, feed)

    def _can_wait(
        self, subscriber: subscribers.Subscriber, section: commands.Section
    ) -> bool:
        known = subscriber.request
        is_store = bool(known.store_address)
        if is_store or known.policy_index < section.policy_index:
            return False
        if known.crashes_index < self._crashes.section().index:
            return False
        return self._feeds.can_wait(section, known.registry_index)

    def _seconds_as_leader(self) -> float:
        """Return for how many seconds this replica has been the leader."""
        self._reset_for_new_term()
        return clock.now() - self._leader_since

    def _reset_for_new_term(self) -> None:
        held = self._replica.leadership()
        if held is not None and held.term != self._term:
            self._term = held.term
            self._leader_since = clock.now()
            self._liveness.reset(self._leader_since)
            self._subscribers.clear()
            self._feeds.clear()
            self._stores.clear()
            self._crashes.begin(self._leader_since)
            self._health = upstream_health.UpstreamHealth(held.term)
            self._pending_loads_by_id.clear()
            eliot.log_message(message_type="control:leads", term=held.term)

    def _sweep(self) -> None:
        while True:
            clock.sleep(_SWEEP_SECONDS)
            if self._replica.leadership() is None:
                continue
            # If this task ended, requests would be sent to crashed upstreams until
            # another process becomes the leader.
            with tasks.errors_recorded("control-sweep"):
                self._sweep_once()

    def _sweep_once(self) -> None:
        self._reset_for_new_term()
        self._stores.choose_initial_members()
        self._crashes.expire()
        self._health.expire(clock.now())
        due = self._liveness.due(clock.now(), self._section().upstreams_by_id.values())
        if due.silent_ids:
            eliot.log_message(message_type="upstreams:silent", ids=due.silent_ids)
            self._commit(commands.MarkSilent(due.silent_ids))
        if due.gone_ids:
            eliot.log_message(message_type="upstreams:gone", ids=due.gone_ids)
            self._commit(commands.RemoveUpstreams(due.gone_ids))


def _log_health(change: upstream_health.Change) -> None:
    if change.is_answer:
        eliot.log_message(
            message_type="upstreams:failure-ended",
            upstream_id=change.upstream_id,
            gateways=change.gateways,
        )
        return
    eliot.log_message(
        message_type="upstreams:failure-shared",
        upstream_id=change.upstream_id,
        gateways=change.gateways,
    )


def _has_changes(feed: messages.Feed) -> bool:
    return bool(feed.policy or feed.registry or feed.registry_change or feed.crashes)


def _changes_loads_only(
    known: model.FleetUpstream, announced: model.FleetUpstream
) -> bool:
    """Return whether nothing but the loaded weight versions differs."""
    same = attrs.evolve(announced, versions_by_model=known.versions_by_model)
    return _is_unchanged(known, same)


def _is_unchanged(known: model.FleetUpstream, announced: model.FleetUpstream) -> bool:
    same = attrs.evolve(
        announced, sequence=known.sequence, cold_seconds=known.cold_seconds
    )
    if known.is_leaving:
        same = attrs.evolve(same, is_leaving=True)
    return same == known
