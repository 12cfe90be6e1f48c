"""A process's copy of the policy and the registry, kept up by the control leader.

The leader pushes each change at once; the renewal, twice a second, fetches what was
lost on the way and finds a new leader. A copy never goes back: what comes with a lower
index is older and is dropped. A process that reaches no leader goes on with what it
has, as its requests would gain nothing by being refused; only keys are judged no longer
than the policy's lease runs (see `policy_lease`).
"""

from collections.abc import Callable
from typing import Any, Final

import attrs
import eliot
import eventlet
import eventlet.event
import result

from bilberrydrum import clock, codec, quarantine, transport
from bilberrydrum.fleet import changes, messages, model, policy, policy_lease
from bilberrydrum.state import leader_calls

RENEW_SECONDS: Final = 0.5
# Shortest time between two renewals, whoever asks for one, in seconds: callers with
# wrong keys must not make each gateway ask the leader as fast as it answers.
_MIN_RENEW_SECONDS: Final = 0.1
# Time for one renewal, over all control processes.
_CALL_SECONDS: Final = 2.0


class Subscriber:
    """The task that keeps the copy."""

    def __init__(
        self,
        carrier: transport.Transport,
        calls: leader_calls.LeaderCalls,
        make_request: Callable[[], messages.Subscribe] = messages.Subscribe,
        revocation_seconds: float = 0.0,
        on_answer: Callable[[messages.Feed, float], None] = lambda feed, asked_at: None,
    ) -> None:
        """Make the task; nothing runs before `start`.

        Parameters
        ----------
        make_request : callable
            Returns a renewal with what this process tells of itself.
        revocation_seconds : float
            Time within which a key that was taken away must be dead; 0: no bound.
        on_answer : callable
            Told the answer to each renewal, and when the renewal was sent, in seconds
            of `clock.now`; it must not block.
        """
        self._carrier = carrier
        self._calls = calls
        self._make_request = make_request
        self._on_answer = on_answer
        self.routes = policy.RouteTable(policy.Policy(0))
        self.registry = model.Registry()
        self.policy_lease = policy_lease.PolicyLease(revocation_seconds)
        # What is held against requests that end upstreams.
        self.crashes = quarantine.CrashHistory()
        self.crashes_index = 0
        self._policy_index = 0
        self._is_connected = False
        self._watchers: list[Callable[[], None]] = []
        self._task: Any = None
        # Sent when somebody asks for a renewal before its time.
        self._hurried = eventlet.event.Event()
        # Sent after each renewal that was answered.
        self._confirmed = eventlet.event.Event()

    @property
    def has_policy(self) -> bool:
        """Whether there is a policy to act on."""
        return self._policy_index > 0

    def is_policy_confirmed(self) -> bool:
        """Tell whether keys may be judged by the policy here."""
        return self.policy_lease.is_valid(clock.now())

    def confirm(self, timeout: float) -> bool:
        """Wait until the leader has said that there is no newer policy as of now.

        Returns
        -------
        bool
            False if it has not said so within `timeout` seconds.
        """
        asked_at = clock.now()
        with eventlet.Timeout(timeout, False):
            while self.policy_lease.confirmed_at < asked_at:
                if not self._hurried.ready():
                    self._hurried.send(None)
                self._confirmed.wait()
        return self.policy_lease.confirmed_at >= asked_at

    def watch(self, callback: Callable[[], None]) -> None:
        """Call `callback()` after each change; it must not block."""
        self._watchers.append(callback)

    def unwatch(self, callback: Callable[[], None]) -> None:
        """Call `callback` no more."""
        self._watchers.remove(callback)

    def start(self) -> None:
        """Start to renew."""
        self._carrier.on(messages.Feed, self._on_feed)
        self._task = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop to renew."""
        if self._task is not None:
            self._task.kill()
            self._task = None

    def _run(self) -> None:
        while True:
            asked_at = clock.now()
            try:
                self.renew()
            except Exception:
                # Were this task to end, this process would refuse all work as soon as
                # its policy's time is up.
                eliot.write_traceback()
            self._wait_for_renewal(asked_at)

    def renew(self, timeout: float = _CALL_SECONDS) -> None:
        """Ask the leader for what is new, and take it."""
        asked_at = clock.now()
        request = attrs.evolve(
            self._make_request(),
            policy_index=self._policy_index,
            registry_index=self.registry.index,
            crashes_index=self.crashes_index,
            unix_time=clock.unix_now(),
        )
        answer = self._calls.call(request, timeout)
        self._note_connection(answer.is_ok())
        if isinstance(answer, result.Ok):
            self._take(answer.ok_value)
            self._on_answer(answer.ok_value, asked_at)
            self.policy_lease.confirm(asked_at)
            self._confirmed.send(None)
            self._confirmed = eventlet.event.Event()

    def _wait_for_renewal(self, asked_at: float) -> None:
        with eventlet.Timeout(RENEW_SECONDS, False):
            self._hurried.wait()
        self._hurried = eventlet.event.Event()
        clock.sleep(max(asked_at + _MIN_RENEW_SECONDS - clock.now(), 0.0))

    def _note_connection(self, is_connected: bool) -> None:
        if is_connected == self._is_connected:
            return
        self._is_connected = is_connected
        version = self.routes.policy.version
        index = self.registry.index
        if is_connected:
            eliot.log_message(
                message_type="control:regained",
                policy_version=version,
                registry_index=index,
            )
        else:
            eliot.log_message(
                message_type="control:lost",
                policy_version=version,
                registry_index=index,
            )

    def _on_feed(self, sender: transport.Sender, feed: messages.Feed) -> None:
        self._take(feed)

    def _take(self, feed: messages.Feed) -> None:
        self._calls.learn(feed.control_addresses)
        is_changed = False
        try:
            for take in (self._take_policy, self._take_registry, self._take_crashes):
                is_changed |= take(feed)
        finally:
            if is_changed:
                for callback in self._watchers:
                    callback()

    def _take_policy(self, feed: messages.Feed) -> bool:
        """Take a newer policy; return whether there is one."""
        if not feed.policy or feed.policy_index <= self._policy_index:
            return False
        # Read before it is held for known: what cannot be read would not be sent again,
        # and the next renewal would confirm the policy of before.
        self.routes = policy.RouteTable(codec.decode(feed.policy))
        self._policy_index = feed.policy_index
        eliot.log_message(
            message_type="policy:in-force", version=self.routes.policy.version
        )
        return True

    def _take_registry(self, feed: messages.Feed) -> bool:
        """Take a newer registry; return whether there is one."""
        registry = self._fed_registry(feed)
        if registry is None:
            return False
        before, self.registry = self.registry, registry
        _log_registry(before, registry)
        return True

    def _take_crashes(self, feed: messages.Feed) -> bool:
        """Take what is newly held against requests; return whether there is any."""
        if not feed.crashes or feed.crashes_index <= self.crashes_index:
            return False
        self.crashes = codec.decode(feed.crashes)
        self.crashes_index = feed.crashes_index
        _log_crashes(self.crashes_index, self.crashes)
        return True

    def _fed_registry(self, feed: messages.Feed) -> model.Registry | None:
        """Return the newer registry in `feed`; None: there is none.

        A change for another state follows one that was lost; the next renewal tells
        what is here and fetches what lacks.
        """
        if feed.registry_index <= self.registry.index:
            return None
        if feed.registry:
            whole: model.Registry = codec.decode(feed.registry)
            return whole
        if feed.registry_change:
            return changes.changed(self.registry, codec.decode(feed.registry_change))
        return None


def _log_crashes(index: int, book: quarantine.CrashHistory) -> None:
    standings = {
        fingerprint: each.standing()
        for fingerprint, each in book.evidence_by_fingerprint.items()
    }
    eliot.log_message(
        message_type="crashes:taken",
        index=index,
        n_requests=len(standings),
        quarantined=sorted(
            fingerprint
            for fingerprint, standing in standings.items()
            if standing is quarantine.Standing.QUARANTINED
        ),
    )


def _log_registry(before: model.Registry, after: model.Registry) -> None:
    known = before.upstreams_by_id.keys()
    present = after.upstreams_by_id.keys()
    eliot.log_message(
        message_type="registry:taken",
        index=after.index,
        index_before=before.index,
        n_upstreams=len(present),
        new_ids=sorted(present - known),
        gone_ids=sorted(known - present),
        leaving_ids=[e.upstream_id for e in after.upstreams if e.is_leaving],
        silent_ids=[e.upstream_id for e in after.upstreams if e.is_silent],
        versions_by_model=after.versions_by_model,
    )
