"""Revoked keys are refused everywhere within the bound.

BILBERRYDRUM_SCHEDULES sets how many random schedules are run.
"""

import os
import random
import unittest

import hypothesis
import result
from hypothesis import strategies
from nose2 import tools

from bilberrydrum import codec, reasons
from bilberrydrum.fleet import accounts, messages, policy, policy_lease, subscriber
from bilberrydrum.relay import callers, model
from bilberrydrum.state import client
from tests import helpers, relay_support

REVOCATION_SECONDS = 5.0
N_SCHEDULES = int(os.environ.get("BILBERRYDRUM_SCHEDULES", "60"))
ROUTE = policy.Route(
    "r", "h", "/", policy.RouteKind.IDEMPOTENT, (policy.Share("s", 1.0),), 2.0
)
UNREACHABLE = result.Err(client.StateError(reasons.Reason.STATE_UNAVAILABLE, True))


def document(version, *keys):
    digests = tuple(accounts.digest_of(each) for each in keys)
    account = accounts.Account("acme", digests)
    return policy.Policy(version, (ROUTE,), (), accounts=(account,))


class Leader:
    """The control leader and the calls to it; each call advances the clock."""

    def __init__(self, clock, *keys):
        self.clock = clock
        self.policy = document(1, *keys)
        # When each key was revoked and the change acknowledged.
        self.revoked_at_by_key = {}
        self.is_reachable = True
        # Seconds until the leader receives a renewal, and until its answer arrives.
        self.delays = (0.001, 0.001)
        # Called after the leader has read its state, before it sends its answer.
        self.on_state_read = lambda: None

    def revoke(self, key):
        left = [
            each
            for each in ("old", "new")
            if each not in self.revoked_at_by_key and each != key
        ]
        self.policy = document(self.policy.version + 1, *left)
        self.revoked_at_by_key.setdefault(key, self.clock.now)

    def learn(self, addresses):
        pass

    def call(self, request, timeout):
        self.clock.advance(self.delays[0])
        if not self.is_reachable:
            self.clock.advance(timeout)
            return UNREACHABLE
        index = self.policy.version
        data = codec.encode(self.policy) if request.policy_index < index else b""
        self.on_state_read()
        self.clock.advance(self.delays[1])
        return result.Ok(messages.Feed(index, data, 0, b""))


class LeaseCase(unittest.TestCase):
    def setUp(self):
        held = helpers.manual_clock()
        self.clock = held.__enter__()
        self.addCleanup(held.__exit__, None, None, None)
        self.leader = Leader(self.clock, "old", "new")
        self.view = self.make_view()
        self.view.renew()

    def make_view(self, seconds=REVOCATION_SECONDS):
        view = subscriber.Subscriber(None, self.leader, revocation_seconds=seconds)
        # No task renews here, so a requested renewal is made at once.
        view.confirm = lambda timeout: self.confirm(view)
        return view

    def confirm(self, view):
        asked_at = self.clock.now
        view.renew()
        return view.policy_lease.confirmed_at >= asked_at

    def identify(self, key, view=None):
        found = callers.Callers(view or self.view, random.Random(1))
        return found.of_request("r1", ROUTE, key)

    def outcome(self, key, view=None):
        found = self.identify(key, view)
        return found.reason if isinstance(found, model.Refused) else None


EXPIRED = reasons.Reason.BUNDLE_LEASE_EXPIRED
UNAUTHORIZED = reasons.Reason.UNAUTHORIZED


class Bound(LeaseCase):
    """Situations in which a gateway may not know that a key was revoked."""

    def test_cut_off(self):
        """A gateway is partitioned, a key is revoked, and its holder still reaches it.

        The holder may be served for as long as the bound allows, but no longer. After
        that all other keys are refused too, with a retry time, as they may have been
        revoked as well.
        """
        self.leader.is_reachable = False
        self.leader.revoke("old")
        self.assertIsNone(self.outcome("old"))
        self.clock.advance(REVOCATION_SECONDS - 0.01)
        self.assertIs(self.outcome("old"), EXPIRED)
        refused = self.identify("new")
        self.assertIs(refused.reason, EXPIRED)
        self.assertGreater(refused.retry_after_seconds, 0)

    def test_short_loss_of_the_leader_refuses_nothing(self):
        """All keys are served through 3 s without a leader, as in an election."""
        self.leader.is_reachable = False
        self.clock.advance(3.0)
        self.assertIsNone(self.outcome("new"))

    def test_frozen_with_a_request_in_hand(self):
        """A request is read before the process is suspended and sent after it.

        The gateway's own clock shows the suspension. The lease is checked right before
        each attempt, so no request is sent with a key that was revoked meanwhile.
        """
        caller = self.identify("old")
        self.leader.revoke("old")
        self.clock.advance(6.0)
        self.assertIs(caller.find_refusal(), EXPIRED)
        self.view.renew()
        self.assertIs(caller.find_refusal(), UNAUTHORIZED)

    def test_renewal_answered_late(self):
        """The answer to a renewal precedes the revocation and arrives long after it.

        If the lease began with its arrival, it would exceed the bound by the delay.
        """
        self.leader.delays = (0.0, 3.0)
        self.leader.on_state_read = lambda: self.leader.revoke("old")
        self.view.renew()
        revoked_at = self.leader.revoked_at_by_key["old"]
        self.leader.is_reachable = False
        self.clock.now = revoked_at + REVOCATION_SECONDS
        self.assertIs(self.outcome("old"), EXPIRED)

    def test_older_answer_does_not_shorten_the_lease(self):
        lease = policy_lease.PolicyLease(REVOCATION_SECONDS)
        lease.confirm(100.0)
        lease.confirm(98.0)
        self.assertTrue(lease.is_valid(103.9))
        self.assertFalse(lease.is_valid(104.1))

    def test_started_again(self):
        """A restarted gateway reaches no leader, so it cannot check keys.

        It must not answer 401, as callers with valid keys would take that as final.
        """
        self.leader.is_reachable = False
        view = self.make_view()
        view.routes = policy.RouteTable(document(1, "old"))
        self.assertIs(self.outcome("old", view), EXPIRED)
        self.assertIs(self.outcome("unknown", view), EXPIRED)

    def test_no_bound(self):
        """Without a bound on revocation a partitioned gateway continues to serve."""
        view = self.make_view(0.0)
        view.renew()
        self.leader.is_reachable = False
        self.clock.advance(60.0)
        self.assertIsNone(self.outcome("old", view))

    def test_new_key_causes_a_renewal(self):
        """A key was added, and the new policy has not arrived here yet."""
        self.leader.policy = document(2, "old", "new", "newest")
        self.assertIsNone(self.outcome("newest"))
        self.assertIs(self.outcome("never"), UNAUTHORIZED)

    def test_new_key_without_a_leader(self):
        self.leader.policy = document(2, "old", "new", "newest")
        self.leader.is_reachable = False
        self.assertIs(self.outcome("newest"), EXPIRED)


class Sending(relay_support.RelayCase):
    """A key becomes invalid between two attempts: no further attempt is made."""

    @tools.params(
        ("key revoked", UNAUTHORIZED, True),
        ("lease expired", EXPIRED, True),
        ("alive", None, False),
    )
    def test_between_two_attempts(self, name, reason, is_refused):
        """The first upstream is full, and the key becomes invalid before the retry.

        The second upstream must get nothing. The caller is refused at once, and the
        answer states correctly that the request has not run.
        """
        found = []

        def full(connection, received):
            found.append(reason)
            relay_support.FULL(connection, received)

        relay_ = self.relay(full, relay_support.OK)
        inbound = model.Inbound(
            "r1",
            "h",
            "POST",
            "/x",
            "/x",
            {},
            b"",
            1e9,
            find_refusal=lambda: found[-1] if found else None,
        )
        answer = relay_.handle(inbound, ROUTE)
        self.assertEqual(self.n_received(), [1, 0 if is_refused else 1], name)
        if is_refused:
            self.assertIs(answer.reason, reason)
            self.assertFalse(answer.may_have_run)
            has_time = answer.retry_after_seconds > 0
            self.assertEqual(has_time, reason is EXPIRED)


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["renew", "renew", "take old", "take new", "cut", "join", "wait", "read"]
        ),
        strategies.floats(0.0, 3.0),
        strategies.floats(0.0, 2.0),
    ),
    min_size=4,
    max_size=40,
)


class Schedules(unittest.TestCase):
    """Partitions, suspensions, late answers and changes in any order."""

    @hypothesis.settings(
        derandomize=True, max_examples=N_SCHEDULES, deadline=None, database=None
    )
    @hypothesis.given(steps=STEPS, data=strategies.data())
    def test_no_revoked_key_is_sent(self, steps, data):
        """No request is sent with a revoked key after the bound."""
        with helpers.manual_clock() as clock:
            leader = Leader(clock, "old", "new")
            view = subscriber.Subscriber(
                None, leader, revocation_seconds=REVOCATION_SECONDS
            )
            read = []
            for kind, seconds, delay in steps:
                leader.delays = (delay / 2, delay)
                if kind == "renew":
                    view.renew()
                elif kind.startswith("take"):
                    leader.revoke(kind.removeprefix("take "))
                elif kind in ("cut", "join"):
                    leader.is_reachable = kind == "join"
                elif kind == "read":
                    read += self.read(view)
                clock.advance(seconds)
                self.check(leader, clock, read + self.read(view))

    def read(self, view):
        """Return the callers of requests that the gateway reads now."""
        if view.routes.accounts is None:
            return []
        view.confirm = lambda timeout: False
        found = []
        for key in ("old", "new"):
            caller = callers.Callers(view, random.Random(1)).of_request("r", ROUTE, key)
            if isinstance(caller, callers.Caller):
                found.append((key, caller))
        return found

    def check(self, leader, clock, read):
        for key, caller in read:
            if caller.find_refusal() is None and key in leader.revoked_at_by_key:
                late = clock.now - leader.revoked_at_by_key[key]
                assert late < REVOCATION_SECONDS, (key, late)
