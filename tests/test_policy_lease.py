"""Keys that were taken away are dead everywhere within the bound.

BILBERRYDRUM_SCHEDULES sets how many drawn schedules are run.
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
LOST = result.Err(client.StateError(reasons.Reason.STATE_UNAVAILABLE, True))


def document(version, *keys):
    digests = tuple(accounts.digest_of(each) for each in keys)
    account = accounts.Account("acme", digests)
    return policy.Policy(version, (ROUTE,), (), accounts=(account,))


class Leader:
    """The control leader, and the way to it; what is asked moves the clock."""

    def __init__(self, clock, *keys):
        self.clock = clock
        self.policy = document(1, *keys)
        # When each key was taken away, and the change acknowledged.
        self.taken_at_by_key = {}
        self.is_reachable = True
        # Seconds until the leader has a renewal, and until its answer is there.
        self.delays = (0.001, 0.001)
        # Called when the leader has read its state, before its answer leaves.
        self.meanwhile = lambda: None

    def take_away(self, key):
        left = [
            each
            for each in ("old", "new")
            if each not in self.taken_at_by_key and each != key
        ]
        self.policy = document(self.policy.version + 1, *left)
        self.taken_at_by_key.setdefault(key, self.clock.now)

    def learn(self, addresses):
        pass

    def call(self, request, timeout):
        self.clock.advance(self.delays[0])
        if not self.is_reachable:
            self.clock.advance(timeout)
            return LOST
        index = self.policy.version
        data = codec.encode(self.policy) if request.policy_index < index else b""
        self.meanwhile()
        self.clock.advance(self.delays[1])
        return result.Ok(messages.Feed(index, data, 0, b""))


class Case(unittest.TestCase):
    def setUp(self):
        held = helpers.manual_clock()
        self.clock = held.__enter__()
        self.addCleanup(held.__exit__, None, None, None)
        self.leader = Leader(self.clock, "old", "new")
        self.view = self.make_view()
        self.view.renew()

    def make_view(self, seconds=REVOCATION_SECONDS):
        view = subscriber.Subscriber(None, self.leader, revocation_seconds=seconds)
        # Nothing here waits: a renewal that somebody asks for is made at once.
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


class Bound(Case):
    """The ways in which a gateway may miss that a key was taken away."""

    def test_cut_off(self):
        """A gateway is cut off, a key is taken away, and its holder still reaches it.

        It may be served as long as the bound allows, and not a moment longer; all other
        keys are refused too, with a time to come back, as theirs may be gone as well.
        """
        self.leader.is_reachable = False
        self.leader.take_away("old")
        self.assertIsNone(self.outcome("old"))
        self.clock.advance(REVOCATION_SECONDS - 0.01)
        self.assertIs(self.outcome("old"), EXPIRED)
        refused = self.identify("new")
        self.assertIs(refused.reason, EXPIRED)
        self.assertGreater(refused.retry_after_seconds, 0)

    def test_a_short_loss_costs_nothing(self):
        """Three seconds without a leader, as in an election: all are still served."""
        self.leader.is_reachable = False
        self.clock.advance(3.0)
        self.assertIsNone(self.outcome("new"))

    def test_frozen_with_a_request_in_hand(self):
        """The request was read before the freeze and is sent after it.

        The gateway's own clock shows the freeze; the lease is looked at right before
        the sending, so nothing goes out under a key that is dead by now.
        """
        caller = self.identify("old")
        self.leader.take_away("old")
        self.clock.advance(6.0)
        self.assertIs(caller.find_refusal(), EXPIRED)
        self.view.renew()
        self.assertIs(caller.find_refusal(), UNAUTHORIZED)

    def test_renewal_answered_late(self):
        """The answer was made before the change and arrives long after it.

        Counted from its arrival, the lease would outlive the bound by the delay.
        """
        self.leader.delays = (0.0, 3.0)
        self.leader.meanwhile = lambda: self.leader.take_away("old")
        self.view.renew()
        taken_at = self.leader.taken_at_by_key["old"]
        self.leader.is_reachable = False
        self.clock.now = taken_at + REVOCATION_SECONDS
        self.assertIs(self.outcome("old"), EXPIRED)

    def test_an_older_answer_shortens_nothing(self):
        lease = policy_lease.PolicyLease(REVOCATION_SECONDS)
        lease.confirm(100.0)
        lease.confirm(98.0)
        self.assertTrue(lease.is_valid(103.9))
        self.assertFalse(lease.is_valid(104.1))

    def test_started_again(self):
        """A gateway that starts reaches nobody who leads: it knows no key, and says so.

        401 would be taken for final by callers whose keys are in force.
        """
        self.leader.is_reachable = False
        view = self.make_view()
        view.routes = policy.RouteTable(document(1, "old"))
        self.assertIs(self.outcome("old", view), EXPIRED)
        self.assertIs(self.outcome("unknown", view), EXPIRED)

    def test_no_bound(self):
        """Where taken keys may work on for a while, a gateway cut off goes on."""
        view = self.make_view(0.0)
        view.renew()
        self.leader.is_reachable = False
        self.clock.advance(60.0)
        self.assertIsNone(self.outcome("old", view))

    def test_a_new_key_is_asked_for(self):
        """A key was added a moment ago, and the news has not come here yet."""
        self.leader.policy = document(2, "old", "new", "newest")
        self.assertIsNone(self.outcome("newest"))
        self.assertIs(self.outcome("never"), UNAUTHORIZED)

    def test_a_new_key_and_no_leader(self):
        self.leader.policy = document(2, "old", "new", "newest")
        self.leader.is_reachable = False
        self.assertIs(self.outcome("newest"), EXPIRED)


class Sending(relay_support.RelayCase):
    """A key dies between two attempts: nothing goes out after that."""

    @tools.params(
        ("taken away", UNAUTHORIZED, True),
        ("lease out", EXPIRED, True),
        ("alive", None, False),
    )
    def test_between_two_attempts(self, name, reason, is_dead):
        """The first upstream is full; meanwhile the key dies; the second is not asked.

        Its caller is told so at once, and truly: the request has not run.
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
        self.assertEqual(self.n_received(), [1, 0 if is_dead else 1], name)
        if is_dead:
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
    """Cuts, freezes, late answers and changes in any order."""

    @hypothesis.settings(
        derandomize=True, max_examples=N_SCHEDULES, deadline=None, database=None
    )
    @hypothesis.given(steps=STEPS, data=strategies.data())
    def test_no_dead_key_is_sent(self, steps, data):
        """Whatever happens, a key is not sent on later than the bound allows."""
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
                    leader.take_away(kind.removeprefix("take "))
                elif kind in ("cut", "join"):
                    leader.is_reachable = kind == "join"
                elif kind == "read":
                    read += self.read(view)
                clock.advance(seconds)
                self.check(leader, clock, read + self.read(view))

    def read(self, view):
        """Return requests that were read now, whatever becomes of them."""
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
            if caller.find_refusal() is None and key in leader.taken_at_by_key:
                late = clock.now - leader.taken_at_by_key[key]
                assert late < REVOCATION_SECONDS, (key, late)
